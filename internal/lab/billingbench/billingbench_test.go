package billingbench

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestMeasure_AllCostsArePositive runs a short measurement with one client, without TLS and with it, and checks that
// every cost is above 0 and that abandoned reservations are released. The subtests run one at a time, because two
// clusters that start at once may take each other's free ports.
func TestMeasure_AllCostsArePositive(t *testing.T) {
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
				t.Errorf("invalid results of commands: %+v", cost)
			}
			if cost.ReleaseDelay <= 0 || cost.ReleaseDelayBound != 1050 || cost.RequestOverheadNanos <= 0 {
				t.Errorf("invalid results of release or request overhead: %+v", cost)
			}
		})
	}
}

// TestMeasure_EndsWhenContextIsCanceled checks that Measure returns the context's error when the context is canceled
// before the call.
func TestMeasure_EndsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Measure(ctx, Options{Clients: 2, Duration: time.Minute})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// TestWriteTable_AlignsColumns compares a table of one measurement with the expected text.
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
