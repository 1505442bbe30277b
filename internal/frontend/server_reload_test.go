package frontend

import (
	"testing"
	"time"

	"fawnplank/policy"
)

// TestServer_WriteTimeoutFollowsReload guards against responses that are cut off: after a reload with longer
// deadlines a client that reads slowly had no more time than by the deadlines at the start.
func TestServer_WriteTimeoutFollowsReload(t *testing.T) {
	h := newOKHarness(t)
	before := h.server.writeTimeout()
	updated := *h.server.config.Load()
	updated.Settings.Classes = append(updated.Settings.Classes, policy.ClassSettings{Deadline: time.Minute})
	h.server.UpdateSettings(&updated)
	if got := h.server.writeTimeout(); got != time.Minute+writeTimeoutMargin || got <= before {
		t.Errorf("%v after a reload, %v before", got, before)
	}
	expectServing(h)
}
