package billingbench

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestMeasure_EveryCostIsAboveZero checks that a short measurement with one client gives costs above 0, with and
// without TLS, and that abandoned reservations are released. The cases run one after the other, because two clusters
// that search for free ports at the same time may choose the same ones.
func TestMeasure_EveryCostIsAboveZero(t *testing.T) {
	for name, withTLS := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			options := Options{TLS: withTLS, Clients: 1, Duration: 100 * time.Millisecond}
			cost, err := Measure(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			if cost.TLS != withTLS || cost.Clients != 1 {
				t.Errorf("%+v", cost)
			}
			if cost.CommandsPerSecond <= 0 || cost.CommandP50 <= 0 || cost.CommandP99 < cost.CommandP50 {
				t.Errorf("commands: %+v", cost)
			}
			if cost.ReleaseDelay <= 0 || cost.ReleaseDelayBound != 1050 || cost.RequestOverheadNanos <= 0 {
				t.Errorf("release and request overhead: %+v", cost)
			}
		})
	}
}

// TestMeasure_EndsWithContext checks that Measure returns the context's error when the context is canceled.
func TestMeasure_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Measure(ctx, Options{Clients: 2, Duration: time.Minute})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// TestWriteTable_AlignsColumns compares a table with the expected text.
func TestWriteTable_AlignsColumns(t *testing.T) {
	var text strings.Builder
	err := WriteTable(&text, []Cost{{
		TLS: true, Clients: 8, CommandsPerSecond: 2660, CommandP50: 2.9, CommandP99: 7.2,
		ReleaseDelay: 920, ReleaseDelayBound: 1050, RequestOverheadNanos: 450,
	}})
	if err != nil {
		t.Fatal(err)
	}
	const want = "TLS   clients  commands a second  p50, ms  p99, ms  " +
		"released after the lease, ms  stated, ms  ordinary path, ns\n" +
		"true  8        2660               2.90     7.20     " +
		"920                           1050        450\n"
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}
