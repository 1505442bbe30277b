package frontend

import (
	"strings"
	"testing"
	"time"

	"fawnplank/internal/membudget"
)

// Guards against an answer after the client's time, and against a connection that is cut off, where no memory becomes
// available for a request: it is read to its end and rejected by half of its time.
func TestMemory_RequestRejectedInTime(t *testing.T) {
	budget := membudget.New(1 << 20)
	h := newHarness(t, harnessOptions{server: Options{Budget: budget}})
	if _, ok := budget.Acquire(1<<20, time.Now()); !ok {
		t.Fatal("the budget is not free")
	}
	c := h.dial()
	start := time.Now()
	c.sendInBackground(respCommand("SVC.SUBMIT", testTenant, "1", lookupFields, strings.Repeat("b", 4<<20)))
	c.expectLine("-BUSY")
	const margin = 250 * time.Millisecond // for a busy machine
	if elapsed := time.Since(start); elapsed > statedDeadline/memoryWaitDivisor+margin {
		t.Errorf("rejected after %v, the request states %v", elapsed, statedDeadline)
	}
	c.ping() // the connection is still in use
}
