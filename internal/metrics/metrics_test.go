package metrics

import (
	"strings"
	"testing"
)

func text(t *testing.T, f *Registry) string {
	var b strings.Builder
	if err := f.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestFiguresByClassOutliveTheirClass(t *testing.T) {
	f := New([]string{"lookup", "pay"})
	for _, want := range []string{`gw_success{type="lookup"} 0`, `gw_overload{type="pay"} 0`, "gw_concurrent 0",
		"gw_reload_failure 0"} {
		if !strings.Contains(text(t, f), want+"\n") {
			t.Errorf("before anything: no %q in\n%s", want, text(t, f))
		}
	}
	f.RequestReceived()
	f.RequestReceived()
	f.AttemptSent(1)
	f.RequestEnded(1, Success)
	f.RequestClosed()
	f.SetEndpoints(5, 2)
	f.ConfigRejected()
	f.SetClasses([]string{"", "pay", "report"}) // lookup dropped, its row stays; pay is a new row
	f.RequestEnded(0, Error)                    // open under lookup
	f.SetClasses([]string{"", "pay", "report"})
	f.RequestEnded(1, Overload)
	f.RequestEnded(7, Error) // of no class known
	for _, want := range []string{`gw_success{type="pay"} 1`, `gw_dispatches{type="pay"} 1`,
		`gw_overload{type="pay"} 1`, `gw_success{type="lookup"} 0`, `gw_error{type="lookup"} 1`, `gw_error{type="report"} 0`,
		`gw_error{type="unknown"} 1`, "gw_concurrent 1", "gw_targets 5", "gw_targets_disabled 2",
		"gw_reload_failure 1", "gw_reload_success 0"} {
		if !strings.Contains(text(t, f), want+"\n") {
			t.Errorf("no %q in\n%s", want, text(t, f))
		}
	}
	var none *Registry
	none.RequestReceived() // counts nothing, and does not fail
	none.RequestEnded(0, Success)
}
