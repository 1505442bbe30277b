package frontend

import (
	"testing"
	"time"

	"fawnplank/policy"
)

// Guards against incomplete responses: after a reload with longer deadlines, the write timeout for a client that reads
// slowly was still computed from the deadlines at the start.
func TestServer_WriteTimeoutFollowsReload(t *testing.T) {
	h := newOKHarness(t)
	before := h.server.writeTimeout()
	updated := *h.server.config.Load()
	updated.Settings.Classes = append(updated.Settings.Classes, policy.ClassSettings{Deadline: time.Minute})
	h.server.UpdateSettings(&updated)
	if got := h.server.writeTimeout(); got != time.Minute+writeTimeoutMargin || got <= before {
		t.Errorf("the write timeout is %v after a reload, and was %v before", got, before)
	}
	expectServing(h)
}
