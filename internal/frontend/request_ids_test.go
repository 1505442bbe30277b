package frontend

import (
	"errors"
	"testing"
	"time"
)

// Guards against an effect that happens twice: a client left while its request was at a backend, and the same id came
// again on a new connection and ran once more. A request that is safe to repeat may run again.
func TestRequest_IDOfClientThatLeftDoesNotRunAgain(t *testing.T) {
	for class, mayRepeat := range map[string]bool{"pay": false, "lookup": true} {
		t.Run(class, func(t *testing.T) {
			h := newHarness(t, harnessOptions{server: Options{MaxUsedIDs: 10}})
			first := h.dial()
			first.send(queryCommand("1", fieldsWithClass(class)))
			h.nextAttempt()
			first.close()
			h.waitUntil("the client has left", func() bool { return h.server.OpenConnections() == 0 })
			again := h.dial()
			again.send(queryCommand("1", fieldsWithClass(class)))
			if mayRepeat {
				h.nextAttempt().respond(okBackendResponse)
				again.expect(okClientResponse)
				return
			}
			again.expectLine("-ERR id .+")
			if len(h.attempts) > 0 {
				t.Error("the request ran again")
			}
		})
	}
}

// Used ids are dropped once no client waits for them, and the oldest ones beyond the bound.
func TestRequestIDs_UsedIDsAreBounded(t *testing.T) {
	now := time.Now()
	ids := newRequestIDs(2)
	for n, id := range []string{"a", "b", "c"} {
		ids.retain(id, now.Add(time.Duration(n)*time.Second))
	}
	if err := ids.claim("a", now); err != nil {
		t.Errorf("the oldest id beyond the bound: %v", err)
	}
	if err := ids.claim("b", now); !errors.Is(err, errRequestIDUsed) {
		t.Errorf("a used id: %v", err)
	}
	if err := ids.claim("b", now.Add(1500*time.Millisecond)); err != nil {
		t.Errorf("an id for which no client waits any more: %v", err)
	}
	if err := ids.claim("b", now); !errors.Is(err, errRequestIDInUse) {
		t.Errorf("an open id: %v", err)
	}
}
