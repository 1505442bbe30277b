package backend

import (
	"errors"
	"io"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// TestConn_ClosesAfterEndlessAbandonedResponse guards against a leaked connection: an endless response that arrived a
// few bytes at a time kept its connection open forever after the attempt was abandoned.
func TestConn_ClosesAfterEndlessAbandonedResponse(t *testing.T) {
	p := newPool()
	address, conns := startBackend(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	remote := <-conns
	p.mu.Lock()
	c.discardDeadline = time.Now() // the deadline has passed
	c.abandoned.Store(true)
	p.mu.Unlock()
	if _, err := remote.Write([]byte("*1\r\n$1000\r\n")); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Second)
	for ; !stateOf(p, c).isClosed(); time.Sleep(10 * time.Millisecond) {
		_, _ = remote.Write([]byte("x")) // fails once the connection is closed, which the loop waits for
		if time.Now().After(deadline) {
			t.Fatal("the connection is still open after its discard deadline")
		}
	}
}

// TestConn_AttemptIsNotSentToFormerAddress guards against an attempt to the wrong backend: an attempt that had acquired
// its connection before its backend moved to another address or was removed was still sent to the old address, where
// another backend may listen.
func TestConn_AttemptIsNotSentToFormerAddress(t *testing.T) {
	for name, change := range map[string]func(p *Pool){
		"moved":   func(p *Pool) { p.SetAddress(1, "127.0.0.1:1") },
		"removed": func(p *Pool) { p.RemoveBackend(1) },
		// Another process listens at the address, which was taken for the former one.
		"replaced": func(p *Pool) { p.ResetConnections(1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{
				MaxConnections: 10,
				ConnectTimeout: 200 * time.Millisecond,
				IdleTimeout:    10 * time.Second,
				Metrics:        metrics.New([]string{"lookup"}),
			})
			address, conns := startBackend(t, "")
			p.SetAddress(1, address)
			idleConn(t, p, 1)
			remote := <-conns
			request := submitRequest(t)
			step := request.NextStep()
			c, _, err := p.acquire(1)
			if step.Action != dispatch.Send || c == nil || err != nil {
				t.Fatalf("acquired before the change: step %+v, connection %v, error %v", step, c, err)
			}
			change(p)
			c.write(step.Attempt, fixedCommand(ping))
			if finalStep := request.NextStep(); finalStep.Action != dispatch.Reject { // the attempt was not sent
				t.Errorf("%+v", finalStep)
			}
			if err := remote.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			if n, err := remote.Read(make([]byte, 10)); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("the backend read %d bytes, error %v; want end of file", n, err)
			}
		})
	}
}

// submitRequest submits a request with at most one attempt to a new dispatcher whose only backend is 1.
func submitRequest(t *testing.T) *dispatch.Request {
	t.Helper()
	return submitRequestFor(t, time.Second)
}

// submitRequestFor is submitRequest for a client that waits for the given time.
func submitRequestFor(t *testing.T, remaining time.Duration) *dispatch.Request {
	t.Helper()
	dispatcher := dispatch.New()
	dispatcher.Start(dispatch.Config{Seed: 9, Settings: policy.Settings{
		Instances:        1,
		MaxAttempts:      1,
		SlowStartShare:   1,
		OverloadMultiple: 2,
		OverloadWindow:   1e9,
		Plans:            []policy.PlanSettings{{}},
		Classes:          []policy.ClassSettings{{LatencyObjective: remaining, Deadline: remaining}},
	}})
	t.Cleanup(dispatcher.Stop)
	dispatcher.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
	return dispatcher.Submit(dispatch.RequestSpec{Tenant: 1, Remaining: remaining, Units: 1, EntryPoints: 1})
}

// TestConn_AbandonClosesSendingSide checks that abandoning an attempt closes the sending side of its connection
// immediately. Until then the attempt counts as in flight, so that the next attempt would be a hedged one, which the
// settings may not allow.
func TestConn_AbandonClosesSendingSide(t *testing.T) {
	p := newPool()
	address, conns := startBackend(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	attempt := &dispatch.Attempt{}
	p.mu.Lock()
	c.attempt = attempt
	c.state = stateAwaitingResponse
	p.mu.Unlock()
	if c.Abandon(attempt) {
		t.Error("Abandon returned true although the attempt was completely written")
	}
	remote := <-conns
	// The timeout is a third of abandonedReadTimeout, after which the reader would close the connection anyway.
	if err := remote.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read by the backend ended with %v, want end of file", err)
	}
}

// TestConn_BytesAfterResponseCloseConnection guards against a wrong response: stray bytes after a valid response, which
// the reader may already have read, were taken for the response to the next attempt on the connection.
func TestConn_BytesAfterResponseCloseConnection(t *testing.T) {
	p := newPool()
	address, conns := startBackend(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	if _, err := (<-conns).Write([]byte("*1\r\n$3\r\nold\r\n")); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock() // while the lock is held, the reader cannot access the connection's state
	for c.socket.IsConsumed() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // by now the reader has read the bytes
	p.mu.Unlock()
	reacquired, _, err := p.acquire(1)
	if reacquired != nil || err != nil || !stateOf(p, c).isClosed() {
		t.Errorf("acquired %v, error %v, state %v; want a closed connection", reacquired, err, stateOf(p, c))
	}
}

// TestConn_BecomesIdleAfterWriterFinishes guards against concurrent writes: after a response that arrived before the
// writer of its attempt was done, the connection became idle at once, and the next attempt was written to it meanwhile.
func TestConn_BecomesIdleAfterWriterFinishes(t *testing.T) {
	p := newPool()
	address, _ := startBackend(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	if got, _, _ := p.acquire(1); got != c {
		t.Fatal("the new connection is not idle")
	}
	attempt := &dispatch.Attempt{}
	p.mu.Lock()
	c.attempt = attempt
	c.state = stateWriting
	p.mu.Unlock()
	if c.takeAnsweredAttempt(connectionReusable) != attempt {
		t.Error("the response did not end the attempt that was being written")
	}
	if got, _, _ := p.acquire(1); got != nil {
		t.Error("the connection was acquired while it was written to")
	}
	if err := c.finishWrite(attempt, dispatch.Written, nil); err != nil {
		t.Errorf("finishWrite of an answered attempt: %v", err)
	}
	setLastUsed(p, c, time.Now().Add(-minIdle))
	if got, _, _ := p.acquire(1); got != c {
		t.Error("the connection is not idle after its writer has finished")
	}
}

// TestConn_AbandonedWriteIsNotCountedAsLost guards against needless closing of idle connections: an attempt that this
// instance abandoned while it was being written counted as evidence of a connection lost while idle.
func TestConn_AbandonedWriteIsNotCountedAsLost(t *testing.T) {
	for isAbandoned, want := range map[bool]float64{true: 0, false: 1} {
		p := newPool()
		address, _ := startBackend(t, "")
		p.SetAddress(1, address)
		idleConn(t, p, 1)
		c, _, err := p.acquire(1)
		if c == nil || err != nil {
			t.Fatalf("no idle connection, error %v", err)
		}
		attempt := &dispatch.Attempt{}
		p.mu.Lock()
		c.attempt = attempt
		c.state = stateWriting
		p.mu.Unlock()
		if isAbandoned && !c.Abandon(attempt) {
			t.Error("Abandon returned false while the attempt was being written")
		}
		if err := c.finishWrite(attempt, dispatch.Writing, io.ErrShortWrite); err == nil {
			t.Error("finishWrite returned no error for an incomplete write")
		}
		failures := 0.0
		for _, bucket := range p.idleStats.buckets {
			failures += bucket.failures
		}
		if failures != want {
			t.Errorf("abandoned %t: %v connections counted as lost, want %v", isAbandoned, failures, want)
		}
	}
}
