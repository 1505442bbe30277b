package metrics

import (
	"strings"
	"testing"
)

// renderText returns all metrics in Prometheus' text format.
func renderText(t *testing.T, r *Registry) string {
	t.Helper()
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestRegistry_ExportsEachClassFromZero(t *testing.T) {
	r := New([]string{"lookup", "pay"})
	for _, want := range []string{
		`gw_success{type="lookup"} 0`,
		`gw_overload{type="pay"} 0`,
		"gw_concurrent 0",
		"gw_reload_failure 0",
	} {
		if text := renderText(t, r); !strings.Contains(text, want+"\n") {
			t.Errorf("new registry: no %q in\n%s", want, text)
		}
	}
}

func TestRegistry_KeepsCountsOfRemovedClass(t *testing.T) {
	r := New([]string{"lookup", "pay"})
	r.RequestReceived()
	r.RequestReceived()
	r.AttemptSent(1)
	r.RequestAnswered(1, RequestSucceeded)
	r.RequestEnded()
	r.SetEndpoints(5, 2)
	r.ConfigRejected()
	r.SetClasses([]string{"", "pay", "report"}) // removes lookup, whose series stays, and adds report
	r.RequestAnswered(0, RequestAborted)        // was in flight when lookup was removed
	r.SetClasses([]string{"", "pay", "report"})
	r.RequestAnswered(1, RequestRejected)
	r.RequestAnswered(7, RequestAborted) // of an unknown class
	for _, want := range []string{
		`gw_success{type="pay"} 1`,
		`gw_dispatches{type="pay"} 1`,
		`gw_overload{type="pay"} 1`,
		`gw_success{type="lookup"} 0`,
		`gw_error{type="lookup"} 1`,
		`gw_error{type="report"} 0`,
		`gw_error{type="unknown"} 1`,
		"gw_concurrent 1",
		"gw_targets 5",
		"gw_targets_disabled 2",
		"gw_reload_failure 1",
		"gw_reload_success 0",
	} {
		if text := renderText(t, r); !strings.Contains(text, want+"\n") {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}

func TestAddGauges_ReadsSourceOnEachWrite(t *testing.T) {
	r := New(nil)
	connections := 3
	AddGauges(r, &connections, []Gauge[*int]{
		{Name: "open", Help: "open connections", Value: func(n *int) float64 { return float64(*n) }},
		{Name: "spare", Help: "unused connections of ten", Value: func(n *int) float64 { return float64(10 - *n) }},
	})
	for _, want := range []string{"# HELP gw_open open connections", "gw_open 3", "gw_spare 7"} {
		if text := renderText(t, r); !strings.Contains(text, want+"\n") {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	connections = 4
	if text := renderText(t, r); !strings.Contains(text, "gw_open 4\n") {
		t.Errorf("after a change:\n%s", text)
	}
}

// TestRegistry_NilIsNoOp calls AddGauges and each method except Write with a nil registry. A panic fails the test.
func TestRegistry_NilIsNoOp(_ *testing.T) {
	var r *Registry
	AddGauges(r, 0, []Gauge[int]{{Name: "x"}})
	r.SetClasses([]string{"lookup"})
	r.RequestReceived()
	r.RequestAnswered(0, RequestSucceeded)
	r.RequestEnded()
	r.AttemptSent(0)
	r.SetEndpoints(1, 0)
	r.ConfigReloaded()
	r.ConfigRejected()
}
