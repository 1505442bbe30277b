package dispatch

import (
	"errors"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/quick"
	"testing/synctest"
	"time"

	"fawnplank/policy"
)

// world stands in for the network: every call of the counter, every shot and every probe ends in a way and at a
// time given by chance. Its clock is that of a synctest bubble.
type world struct {
	t       *testing.T
	f       *Dispatcher
	chance  *rand.Rand // of the play
	network *rand.Rand
	mu      sync.Mutex
	stages  map[policy.BackendID]policy.EndpointState // as told, once it was told
	follows atomic.Int32
}

// wire is the line of one shot.
type wire struct {
	mu      sync.Mutex
	slow    bool // in the middle of writing
	dropped chan struct{}
}

func (l *wire) Abandon(*Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dropped)
	return l.slow
}

// written ends the writing; it tells whether the line was dropped meanwhile.
func (l *wire) written() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = false
	select {
	case <-l.dropped:
		return true
	default:
		return false
	}
}

func (w *world) Add(name policy.CounterKey, units float64, lifetime time.Duration) {
	w.mu.Lock()
	wait, kind := time.Duration(w.network.Intn(90))*time.Millisecond, w.network.Intn(8)
	w.mu.Unlock()
	time.AfterFunc(wait, func() {
		switch kind {
		case 0:
			w.f.HandleCounterResult(name, 0, ErrRejected)
		case 1:
			w.f.HandleCounterResult(name, 0, ErrTimeout)
		default:
			w.f.HandleCounterResult(name, units, nil)
		}
	})
}
func (w *world) Flush()          {}
func (w *world) WatchEndpoints() { w.follows.Add(1) }
func (w *world) CheckHealth(b policy.BackendID) {
	time.AfterFunc(10*time.Millisecond, func() { w.f.HandleHealthCheck(b, nil) })
}

var terms = policy.Settings{Instances: 1, MaxAttempts: 3, Hedging: true, Cancellation: true, HealthChecks: true, RetryAfter: true,
	MaxRetryAfter: 1e9, CounterEnabled: true, CounterTimeout: 80e6, SlowStartShare: 0.2, SlowStartDuration: 5e9, OverloadMultiple: 2,
	OverloadWindow: 1e9, Classes: []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 1500e6},
		{LatencyObjective: 500e6, Deadline: 1500e6, Idempotency: policy.NonIdempotent}},
	Plans: []policy.PlanSettings{{}, {Rate: 50, Burst: 20}}}

// run plays a world in a bubble of its own.
func run(t *testing.T, seed int64, terms policy.Settings, play func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, f: New(), chance: rand.New(rand.NewSource(seed)),
			network: rand.New(rand.NewSource(seed)), stages: map[policy.BackendID]policy.EndpointState{}}
		w.f.Start(Config{Seed: 9, Settings: terms, Counter: w, HealthChecker: w, EndpointWatcher: w})
		w.list(policy.CachedSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady},
			policy.Endpoint{Backend: 2, State: policy.EndpointReady})
		play(w)
		w.f.Stop()
		synctest.Wait()
	})
}

func (w *world) list(how policy.UpdateKind, list ...policy.Endpoint) {
	w.f.UpdateEndpoints(how, list)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range list {
		w.stages[l.Backend] = l.State
	}
}

// carry does what a front would for a transaction: it picks steps up to the last, which it gives.
func (w *world) carry(t *Request, shoot func(*Attempt)) Step {
	for {
		s := t.NextStep()
		if s.Action != Send {
			return s
		}
		go shoot(s.Attempt)
	}
}

// by chance: dials, perhaps never begins, writes, perhaps not whole, and ends in any way.
func (w *world) byChance(harmed *atomic.Int32) func(*Attempt) {
	seed := w.chance.Int63()
	return func(s *Attempt) {
		chance := rand.New(rand.NewSource(seed + int64(s.number)))
		time.Sleep(time.Duration(chance.Intn(100)) * time.Millisecond)
		l := &wire{slow: chance.Intn(4) == 0, dropped: make(chan struct{})}
		slow := l.slow
		w.mu.Lock()
		ready := w.stages[s.Backend] == policy.EndpointReady
		w.mu.Unlock()
		if !s.Begin(l) {
			return
		}
		if !ready {
			w.t.Errorf("shot begun at backend %d, known not to be ready", s.Backend)
		}
		if s.Remaining() < 0 {
			w.t.Error("shot begun after its time")
		}
		if slow {
			select {
			case <-l.dropped: // closing a connection ends the writing at once
			case <-time.After(time.Duration(chance.Intn(2000)) * time.Millisecond):
			}
			if l.written() { // broke off, on its own or since it was dropped
				s.Report(nil, 0, &NetworkError{Writing, io.ErrShortWrite})
				return
			}
		}
		harmed.Add(1)
		select {
		case <-l.dropped:
			return
		case <-time.After(time.Duration(chance.Intn(700)) * time.Millisecond):
		}
		ends := []error{nil, nil, ErrBackendFailed, ErrRejected, &NetworkError{Written, io.EOF}, &NetworkError{Answering, io.EOF}}
		err := ends[chance.Intn(len(ends))]
		if err == ErrRejected {
			harmed.Add(-1)
		}
		s.Report([]byte("value"), 0, err)
	}
}

func TestEveryTransactionEndsOnceInItsTime(t *testing.T) {
	prove := func(seed int64) bool {
		run(t, seed, terms, func(w *world) {
			for n := 0; n < 60; n++ {
				left, profile := time.Duration(1+w.chance.Intn(1500))*time.Millisecond, w.chance.Intn(2)
				h := w.f.Submit(RequestSpec{Class: policy.ClassID(profile), Plan: policy.PlanID(w.chance.Intn(2)),
					Tenant: policy.TenantID(n % 3), Timeout: left, Units: 1, Entries: 1})
				taken, leaves, harmed := time.Now(), w.chance.Intn(10) == 0, new(atomic.Int32)
				shoot := w.byChance(harmed)
				go func() {
					s := w.carry(h, shoot)
					if took := time.Since(taken); took > left+time.Millisecond {
						t.Errorf("answered after %v of %v", took, left)
					}
					if profile == 1 && s.Action == Reject && harmed.Load() > 0 {
						t.Error("dismissed an at-most-once transaction that may have run")
					}
					if s.Action == Respond && string(s.Response) != "value" || s.Action == Discard && !leaves {
						t.Errorf("ended as %+v", s)
					}
					select {
					case s := <-h.steps:
						t.Errorf("a step %+v after the last", s)
					case <-time.After(3 * time.Second):
					}
				}()
				if leaves {
					time.AfterFunc(left/2, h.HandleClientGone)
				}
				time.Sleep(time.Duration(w.chance.Intn(30)) * time.Millisecond)
				if w.chance.Intn(15) == 0 {
					stage := policy.EndpointState(w.chance.Intn(2))
					w.list(policy.Delta, policy.Endpoint{Backend: policy.BackendID(1 + w.chance.Intn(2)), State: stage})
				}
			}
			time.Sleep(5 * time.Second)
			if n := w.f.OpenRequests(); n > 0 {
				t.Errorf("%d transactions are still held", n)
			}
		})
		return !t.Failed()
	}
	if err := quick.Check(prove, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(4))}); err != nil {
		t.Error(err)
	}
}

// A shot that waits for its connection while its backend is told to drain must not go out: connecting may take
// longer than the grace.
func TestDrainStopsAShotThatWaitsForItsConnection(t *testing.T) {
	for name, tell := range map[string]func(w *world, b policy.BackendID){
		"draining": func(w *world, b policy.BackendID) {
			w.list(policy.Delta, policy.Endpoint{Backend: b, State: policy.EndpointDraining})
		},
		"gone": func(w *world, b policy.BackendID) {
			w.list(policy.Delta, policy.Endpoint{Backend: b, State: policy.EndpointGone})
		},
		"not listed": func(w *world, b policy.BackendID) {
			w.list(policy.FullSnapshot, policy.Endpoint{Backend: 3 - b, State: policy.EndpointReady})
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, terms, func(w *world) {
				h := w.f.Submit(RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, Entries: 1})
				first := h.NextStep().Attempt
				tell(w, first.Backend)
				if first.Begin(&wire{}) {
					t.Error("the shot went out")
				}
				if s := h.NextStep(); s.Action != Send || s.Attempt.Backend == first.Backend {
					t.Errorf("not sent elsewhere: %+v", s)
				}
				h.HandleClientGone()
			})
		})
	}
}

// Failure: where the settings allow no recalls, a shot that waited for its connection when its client left went out all
// the same once the connection came up; where they do, its backend was taken for one that cannot be reached.
func TestNothingBeginsForAClientWhoHasLeft(t *testing.T) {
	for _, recalls := range []bool{false, true} {
		terms := terms
		terms.Cancellation = recalls
		run(t, 1, terms, func(w *world) {
			w.list(policy.FullSnapshot, policy.Endpoint{Backend: 1, State: policy.EndpointReady})
			h := w.f.Submit(RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, Entries: 1})
			s := h.NextStep().Attempt
			h.HandleClientGone()
			if s.Begin(&wire{}) {
				t.Error("begun for a client who has left")
			}
			next := w.f.Submit(RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, Entries: 1})
			if step := next.NextStep(); step.Action != Send {
				t.Errorf("the only backend is not sent to: %+v", step)
			}
			next.HandleClientGone()
			if n := w.f.OpenRequests(); n > 0 {
				t.Errorf("%d are kept", n)
			}
		})
	}
}

// Failure: a repeat of a numbered transaction, decided on within the memory of the first shot, waited for its connection
// and went out when the memory was over.
func TestARepeatBeginsWithinTheMemory(t *testing.T) {
	const memory = 300 * time.Millisecond
	terms := terms
	terms.Classes = []policy.ClassSettings{{LatencyObjective: 500e6, Deadline: 1500e6, Idempotency: policy.IdempotentWithKey,
		DedupWindow: int64(memory)}}
	for wait, want := range map[time.Duration]bool{50 * time.Millisecond: true, 199 * time.Millisecond: true,
		200 * time.Millisecond: false, 250 * time.Millisecond: false} {
		run(t, 1, terms, func(w *world) {
			h := w.f.Submit(RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, Entries: 1})
			first := h.NextStep().Attempt
			first.Begin(&wire{dropped: make(chan struct{})})
			time.Sleep(100 * time.Millisecond)
			first.Report(nil, 0, ErrBackendFailed) // it may have run
			second := h.NextStep()
			if second.Action != Send {
				t.Errorf("%+v", second)
				return
			}
			time.Sleep(wait)
			if got := second.Attempt.Begin(&wire{dropped: make(chan struct{})}); got != want {
				t.Errorf("begun %v after the first: %t", 100*time.Millisecond+wait, got)
			}
			if !want {
				if last := h.NextStep(); last.Action != Reject { // all backends know its number, and the client's memory is no other
					t.Errorf("%+v", last)
				}
			}
			h.HandleClientGone()
		})
	}
}

// What was being written when it was given up has run only if it got out whole; its writer knows.
func TestShotGivenUpWhileBeingWritten(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want Action
	}{
		"not whole": {&NetworkError{Writing, io.ErrShortWrite}, Reject},
		"whole":     {&NetworkError{Written, io.EOF}, Abort},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, terms, func(w *world) {
				h := w.f.Submit(RequestSpec{Class: 1, Tenant: 1, Timeout: 400 * time.Millisecond, Units: 1, Entries: 1})
				s, l := h.NextStep().Attempt, &wire{slow: true, dropped: make(chan struct{})}
				s.Begin(l)
				<-l.dropped
				s.Report(nil, 0, c.err)
				if got := h.NextStep(); got.Action != c.want {
					t.Errorf("%+v, wanted %v", got, c.want)
				}
			})
		})
	}
}

func TestOutcomesOfErrors(t *testing.T) {
	for want, errs := range map[policy.Outcome][]error{
		policy.Succeeded:      {nil},
		policy.Failed:         {ErrBackendFailed},
		policy.Rejected:       {ErrRejected, errors.Join(ErrRejected)},
		policy.TimedOut:       {ErrTimeout},
		policy.ConnectFailed:  {&NetworkError{Dialing, io.EOF}, &NetworkError{Writing, io.EOF}},
		policy.ConnectionLost: {&NetworkError{Written, io.EOF}, &NetworkError{Answering, io.EOF}, io.EOF},
	} {
		for _, err := range errs {
			if got := outcome(err); got != want {
				t.Errorf("%v: %d, wanted %d", err, got, want)
			}
		}
	}
}

// A gate that broke must not keep the lock: other connections go on.
func TestPanicLeavesTheLockFree(t *testing.T) {
	run(t, 1, terms, func(w *world) {
		func() {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			w.f.do(func(int64) { panic("broken") })
		}()
		h := w.f.Submit(RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, Entries: 1})
		if s := h.NextStep(); s.Action != Send {
			t.Errorf("%+v", s)
		}
		h.HandleClientGone()
	})
}

// Lists on request are asked for at the start, and again after a failure.
func TestFollowsOnRequest(t *testing.T) {
	asking := terms
	asking.PollEndpoints, asking.PollTimeout = true, 10e9
	run(t, 1, asking, func(w *world) {
		time.Sleep(500 * time.Millisecond) // far more than a few doors take to ask one after another
		if n := w.follows.Load(); n != 1 {
			t.Errorf("followed %d times", n)
		}
		w.f.UpdateEndpoints(policy.UpdateFailed, nil)
		time.Sleep(2 * time.Second)
		if n := w.follows.Load(); n != 2 {
			t.Errorf("followed %d times", n)
		}
	})
}
