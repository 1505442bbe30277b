package backend

import (
	"errors"
	"io"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// Failure: an answer that never ends, a few bytes at a time, kept its connection open for good once its
// attempt was given up.
func TestConn_AnswerWithoutEndIsLeft(t *testing.T) {
	p := newPool()
	address, conns := listen(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	remote := <-conns
	p.mu.Lock()
	c.discardDeadline = time.Now() // it is over
	c.abandoned.Store(true)
	p.mu.Unlock()
	if _, err := remote.Write([]byte("*1\r\n$1000\r\n")); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Second)
	for ; !stateOf(p, c).isClosed(); time.Sleep(10 * time.Millisecond) {
		_, _ = remote.Write([]byte("x")) // it fails once the connection is left, which is what is waited for
		if time.Now().After(deadline) {
			t.Fatal("still read")
		}
	}
}

// Failure: an attempt whose connection was at hand when its backend moved to another address, or was
// forgotten, was sent to the old one, where another backend may listen by now.
func TestConn_AttemptDoesNotGoWhereItsBackendWas(t *testing.T) {
	for name, change := range map[string]func(p *Pool){
		"moved":   func(p *Pool) { p.SetAddress(1, "127.0.0.1:1") },
		"removed": func(p *Pool) { p.RemoveBackend(1) },
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Options{
				MaxConnections: 10,
				ConnectTimeout: 200 * time.Millisecond,
				IdleTimeout:    10 * time.Second,
				Metrics:        metrics.New([]string{"lookup"}),
			})
			address, conns := listen(t, "")
			p.SetAddress(1, address)
			idleConn(t, p, 1)
			remote := <-conns
			request := submit(t)
			step := request.NextStep()
			c, _, err := p.acquire(1)
			if step.Action != dispatch.Send || c == nil || err != nil {
				t.Fatalf("%+v, %v, %v", step, c, err)
			}
			change(p)
			c.write(step.Attempt, [][]byte{[]byte(ping)})
			if last := request.NextStep(); last.Action != dispatch.Reject { // never sent
				t.Errorf("%+v", last)
			}
			if err := remote.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			if n, err := remote.Read(make([]byte, 10)); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("the backend reads %d bytes, %v", n, err)
			}
		})
	}
}

// submit gives a dispatcher of its own a request for the one backend, 1, which may be attempted once.
func submit(t *testing.T) *dispatch.Request {
	t.Helper()
	d := dispatch.New()
	d.Start(dispatch.Config{Seed: 9, Settings: policy.Settings{
		Instances:        1,
		MaxAttempts:      1,
		SlowStartShare:   1,
		OverloadMultiple: 2,
		OverloadWindow:   1e9,
		Plans:            []policy.PlanSettings{{}},
		Classes:          []policy.ClassSettings{{LatencyObjective: 1e9, Deadline: 1e9}},
	}})
	t.Cleanup(d.Stop)
	d.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
	return d.Submit(dispatch.RequestSpec{Tenant: 1, Remaining: time.Second, Units: 1, EntryPoints: 1})
}

// An attempt that is given up ends the sending on its connection at once: until then it counts as in flight,
// and where no hedged attempts are allowed the next one would be one.
func TestConn_AbandonEndsTheSending(t *testing.T) {
	p := newPool()
	address, conns := listen(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	attempt := &dispatch.Attempt{}
	p.mu.Lock()
	c.attempt = attempt
	c.state = stateAwaitingResponse
	p.mu.Unlock()
	if c.Abandon(attempt) {
		t.Error("its end is still to be reported")
	}
	remote := <-conns
	// A third of what the reader waits for the rest of an answer.
	if err := remote.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the backend reads %v", err)
	}
}

// Failure: noise behind a good answer was taken for the answer to the next attempt on the connection; its
// reader may have read it already.
func TestConn_BytesBehindAnAnswerEndTheConnection(t *testing.T) {
	p := newPool()
	address, conns := listen(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	if _, err := (<-conns).Write([]byte("*1\r\n$3\r\nold\r\n")); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock() // its reader cannot get at the pool's state meanwhile
	for c.socket.IsConsumed() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // now it has them in hand
	p.mu.Unlock()
	again, _, err := p.acquire(1)
	if again != nil || err != nil || !stateOf(p, c).isClosed() {
		t.Errorf("%v, %v, %v", again, err, stateOf(p, c))
	}
}

// Failure: an answer that came before its attempt's writer was done had the next attempt written among the
// first one's last steps.
func TestConn_IdleOnceItsWriterIsDone(t *testing.T) {
	p := newPool()
	address, _ := listen(t, "")
	p.SetAddress(1, address)
	c := idleConn(t, p, 1)
	if got, _, _ := p.acquire(1); got != c {
		t.Fatal("not idle")
	}
	attempt := &dispatch.Attempt{}
	p.mu.Lock()
	c.attempt = attempt
	c.state = stateWriting
	p.mu.Unlock()
	if c.endAttempt(connectionReusable) != attempt {
		t.Error("another attempt was answered")
	}
	if got, _, _ := p.acquire(1); got != nil {
		t.Error("acquired while it is written to")
	}
	if err := c.endWrite(attempt, dispatch.Written, nil); err != nil {
		t.Errorf("an answered attempt fails: %v", err)
	}
	setLastUsed(p, c, time.Now().Add(-minIdle))
	if got, _, _ := p.acquire(1); got != c {
		t.Error("not idle after the writer is done")
	}
}

// What large answers hold is bounded over all connections, and given back; a reader for which no memory is
// left waits for it, and gets it once another gives it back.
func TestConn_LargeAnswersAreBoundedTogether(t *testing.T) {
	const maxBytes = 8 << 20
	p := New(Options{MaxConnections: 100, Budget: membudget.New(maxBytes)})
	const start = "*3\r\n$1000000\r\n"
	head := append([]byte(start), make([]byte, plainBufferBytes-len(start))...)
	size := len(start) + 1000000 + maxLineBytes // the head of the answer, its value, and a line
	var holders []*conn
	for len(holders) < maxBytes/(size-maxUnbudgetedBytes) {
		c := &conn{pool: p}
		buffer := c.growBuffer(head)
		if len(buffer) == len(head) {
			break
		}
		if len(buffer) < 1000000 || string(buffer[:len(start)]) != start {
			t.Fatalf("%d bytes, %q", len(buffer), buffer[:len(start)])
		}
		holders = append(holders, c)
	}
	waiting := make(chan int)
	go func() { waiting <- len((&conn{pool: p}).growBuffer(head)) }()
	select {
	case n := <-waiting:
		t.Fatalf("a large answer beyond the budget got %d bytes", n)
	case <-time.After(100 * time.Millisecond):
	}
	holders[0].releaseBudget()
	if n := <-waiting; n < 1000000 {
		t.Errorf("memory given back is not acquired: %d bytes", n)
	}
	if c := (&conn{pool: p}); len(c.growBuffer(make([]byte, plainBufferBytes))) != 2*plainBufferBytes {
		t.Error("no memory for a plain answer")
	}
	for _, c := range holders[1:] {
		c.releaseBudget()
	}
	if _, ok := p.budget.Acquire(int64(maxBytes-(size-maxUnbudgetedBytes)), time.Now()); !ok {
		t.Error("memory is still reserved")
	}
}

// TestConn_AbandonedWriteIsNoLostConnection guards against idle connections that are given up for no reason: an
// attempt that this instance abandoned while it was written counted as one whose connection had been lost while it
// was idle.
func TestConn_AbandonedWriteIsNoLostConnection(t *testing.T) {
	for abandons, want := range map[bool]float64{true: 0, false: 1} {
		p := newPool()
		address, _ := listen(t, "")
		p.SetAddress(1, address)
		idleConn(t, p, 1)
		c, _, err := p.acquire(1)
		if c == nil || err != nil {
			t.Fatalf("no idle connection: %v", err)
		}
		attempt := &dispatch.Attempt{}
		p.mu.Lock()
		c.attempt = attempt
		c.state = stateWriting
		p.mu.Unlock()
		if abandons && !c.Abandon(attempt) {
			t.Error("its writer does not report")
		}
		if err := c.endWrite(attempt, dispatch.Writing, io.ErrShortWrite); err == nil {
			t.Error("nothing is reported")
		}
		failures := 0.0
		for _, bucket := range p.idleStats.buckets {
			failures += bucket.failures
		}
		if failures != want {
			t.Errorf("abandoned %t: %v connections count as lost, want %v", abandons, failures, want)
		}
	}
}
