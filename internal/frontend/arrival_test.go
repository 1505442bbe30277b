package frontend

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/membudget"
)

// statedDeadline is the value of d in lookupFields.
const statedDeadline = 900 * time.Millisecond

// longBody needs memory from the budget, and the kernel receives all of it although nothing is read.
var longBody = strings.Repeat("b", 100_000)

// requireDeadlineAtMost fails the test if a backend received a deadline above the given one.
func (h *harness) requireDeadlineAtMost(attempt receivedAttempt, most time.Duration) {
	h.t.Helper()
	milliseconds, err := strconv.Atoi(attempt.deadline())
	if err != nil {
		h.t.Fatal(err)
	}
	if forwarded := time.Duration(milliseconds) * time.Millisecond; forwarded > most {
		h.t.Errorf("the backend received a deadline of %v, but the client waits for %v at most", forwarded, most)
	}
}

// Guards against answers after the client's time: the time of a request that had arrived while the reader waited for
// memory counted only from the end of that wait.
func TestArrival_MemoryWaitReducesRemainingTime(t *testing.T) {
	const wait = 300 * time.Millisecond
	budget := membudget.New(1 << 20)
	h := newHarness(t, harnessOptions{server: Options{Budget: budget}})
	held, _ := budget.Acquire(1<<20, time.Now())
	c := h.dial()
	start := time.Now()
	c.sendInBackground(respCommand("SVC.SUBMIT", testTenant, "1", lookupFields, longBody))
	time.Sleep(wait)
	budget.Release(held)
	attempt := h.nextAttempt()
	h.requireDeadlineAtMost(attempt, statedDeadline-wait+arrivalMarkInterval)
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
	if elapsed := time.Since(start); elapsed < wait {
		t.Errorf("answered after %v, before the memory was released", elapsed)
	}
}

// A wait for memory does not count for a request whose last bytes arrive only after it, since the kernel had no space
// for them.
func TestArrival_MemoryWaitDoesNotCountForLaterBytes(t *testing.T) {
	const wait = 300 * time.Millisecond
	budget := membudget.New(8 << 20)
	h := newHarness(t, harnessOptions{server: Options{Budget: budget}})
	held, _ := budget.Acquire(8<<20, time.Now())
	c := h.dial()
	c.setSmallBuffers()
	c.sendInBackground(respCommand("SVC.SUBMIT", testTenant, "1", lookupFields, strings.Repeat("b", 4<<20)))
	time.Sleep(wait)
	budget.Release(held)
	attempt := h.nextAttempt()
	milliseconds, _ := strconv.Atoi(attempt.deadline())
	if least := statedDeadline - wait/2; time.Duration(milliseconds)*time.Millisecond < least {
		t.Errorf("the backend received a deadline of %d ms, want at least %v", milliseconds, least)
	}
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
}

// Guards against answers after the client's time: the bytes of a request that arrived during a pause after an invalid
// command were read after it, and the request's time counted only from then.
func TestArrival_PauseBeforeReadReducesRemainingTime(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	const invalidCommands = 16
	c.send(strings.Repeat(respCommand("NONE"), invalidCommands))
	c.skipResponses(invalidCommands) // the last pause has begun
	c.send(queryCommand("1", lookupFields))
	attempt := h.nextAttempt()
	const margin = 50 * time.Millisecond // for the way of the last response and of the request
	h.requireDeadlineAtMost(attempt, statedDeadline-invalidCommands*invalidCommandPauseStep+margin)
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
}

// Guards against answers after the client's time: the time of a request on a connection that waited to be accepted
// counted only from its first read.
func TestArrival_WaitForAcceptReducesRemainingTime(t *testing.T) {
	const wait = 300 * time.Millisecond
	h := newHarness(t, harnessOptions{server: Options{MaxConnections: 1}})
	busy, attempt := h.openRequest("1")
	waiting := h.dial()
	waiting.send(queryCommand("2", lookupFields))
	time.Sleep(wait)
	attempt.respond(okBackendResponse)
	busy.expect(okClientResponse)
	attempt = h.nextAttempt()
	h.requireDeadlineAtMost(attempt, statedDeadline-wait+arrivalMarkInterval)
	attempt.respond(okBackendResponse)
	waiting.expect(okClientResponse)
}

// Waits for the responses to earlier commands do not count for a request, except while the connection is closing.
func TestArrivalClock_OrderedWaits(t *testing.T) {
	start := time.Now()
	clock := newArrivalClock(start)
	clock.recordRead(100, false, start)
	clock.recordHandled(60)
	clock.recordOrderedWait(2 * time.Second)
	clock.recordHandled(40)
	now := start.Add(3 * time.Second)
	if wait := clock.waitSince(now, false); wait != time.Second {
		t.Errorf("the wait is %v, want 1 s", wait)
	}
	if wait := clock.waitSince(now, true); wait != 3*time.Second {
		t.Errorf("the wait is %v while closing, want 3 s", wait)
	}
}

// Each command's wait counts from the last mark before its last byte.
func TestArrivalClock_MarksOfSeveralCommands(t *testing.T) {
	start := time.Now()
	clock := newArrivalClock(start)
	clock.recordRead(10, false, start)
	clock.mark(20, start.Add(time.Second)) // the 20 bytes after the first 10 have arrived by now
	clock.recordRead(40, false, start.Add(time.Second))
	now := start.Add(4 * time.Second)
	for _, command := range []struct {
		size int
		want time.Duration
	}{{size: 10, want: 4 * time.Second}, {size: 20, want: 4 * time.Second}, {size: 1, want: 3 * time.Second}} {
		clock.recordHandled(command.size)
		if wait := clock.waitSince(now, false); wait != command.want {
			t.Errorf("a command of %d bytes has waited for %v, want %v", command.size, wait, command.want)
		}
	}
}

// setSmallBuffers keeps the kernel from buffering much of what the client sends or receives.
func (c *testClient) setSmallBuffers() {
	c.t.Helper()
	tcpConn := c.conn.(*net.TCPConn)
	if err := errors.Join(tcpConn.SetReadBuffer(16<<10), tcpConn.SetWriteBuffer(16<<10)); err != nil {
		c.t.Error(err)
	}
}
