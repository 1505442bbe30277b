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
	f       *Facade
	chance  *rand.Rand // of the play
	network *rand.Rand
	mu      sync.Mutex
	stages  map[policy.BackendID]policy.Stage // as told, once it was told
	follows atomic.Int32
}

// wire is the line of one shot.
type wire struct {
	mu      sync.Mutex
	slow    bool // in the middle of writing
	dropped chan struct{}
}

func (l *wire) Drop(*Shot) bool {
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

func (w *world) Bump(name policy.CountID, units float64, lifetime int64) {
	w.mu.Lock()
	wait, kind := time.Duration(w.network.Intn(90))*time.Millisecond, w.network.Intn(8)
	w.mu.Unlock()
	time.AfterFunc(wait, func() {
		switch kind {
		case 0:
			w.f.Counted(name, 0, TurnedAway)
		case 1:
			w.f.Counted(name, 0, Unanswered)
		default:
			w.f.Counted(name, units, nil)
		}
	})
}
func (w *world) Flush()  {}
func (w *world) Follow() { w.follows.Add(1) }
func (w *world) Probe(b policy.BackendID) {
	time.AfterFunc(10*time.Millisecond, func() { w.f.Probed(b, nil) })
}

var terms = policy.Terms{Doors: 1, MostShots: 3, SecondCopies: true, Recalls: true, Probes: true, Advice: true,
	LongestAdvice: 1e9, Counter: true, CounterTimeout: 80e6, ColdShare: 0.2, WarmUp: 5e9, FallMultiple: 2,
	FallSpan: 1e9, Profiles: []policy.ProfileTerms{{Promised: 500e6, HardLimit: 1500e6},
		{Promised: 500e6, HardLimit: 1500e6, Effect: policy.AtMostOnce}},
	Plans: []policy.PlanTerms{{}, {Rate: 50, Burst: 20}}}

// run plays a world in a bubble of its own.
func run(t *testing.T, seed int64, terms policy.Terms, play func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, f: New(), chance: rand.New(rand.NewSource(seed)),
			network: rand.New(rand.NewSource(seed)), stages: map[policy.BackendID]policy.Stage{}}
		w.f.Run(9, terms, w, w, w)
		w.list(policy.Cached, policy.Listed{Backend: 1, Stage: policy.Ready},
			policy.Listed{Backend: 2, Stage: policy.Ready})
		play(w)
		w.f.Stop()
		synctest.Wait()
	})
}

func (w *world) list(how policy.Listing, list ...policy.Listed) {
	w.f.Backends(how, list)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range list {
		w.stages[l.Backend] = l.Stage
	}
}

// carry does what a front would for a transaction: it picks steps up to the last, which it gives.
func (w *world) carry(t *Transaction, shoot func(*Shot)) Step {
	for {
		s := t.Pick()
		if s.Do != Send {
			return s
		}
		go shoot(s.Shot)
	}
}

// by chance: dials, perhaps never begins, writes, perhaps not whole, and ends in any way.
func (w *world) byChance(harmed *atomic.Int32) func(*Shot) {
	seed := w.chance.Int63()
	return func(s *Shot) {
		chance := rand.New(rand.NewSource(seed + int64(s.number)))
		time.Sleep(time.Duration(chance.Intn(100)) * time.Millisecond)
		l := &wire{slow: chance.Intn(4) == 0, dropped: make(chan struct{})}
		slow := l.slow
		w.mu.Lock()
		ready := w.stages[s.Backend] == policy.Ready
		w.mu.Unlock()
		if !s.Begin(l) {
			return
		}
		if !ready {
			w.t.Errorf("shot begun at backend %d, known not to be ready", s.Backend)
		}
		if s.Left() < 0 {
			w.t.Error("shot begun after its time")
		}
		if slow {
			select {
			case <-l.dropped: // closing a connection ends the writing at once
			case <-time.After(time.Duration(chance.Intn(2000)) * time.Millisecond):
			}
			if l.written() { // broke off, on its own or since it was dropped
				s.Report(nil, 0, &Fault{Writing, io.ErrShortWrite})
				return
			}
		}
		harmed.Add(1)
		select {
		case <-l.dropped:
			return
		case <-time.After(time.Duration(chance.Intn(700)) * time.Millisecond):
		}
		ends := []error{nil, nil, Answered, TurnedAway, &Fault{Written, io.EOF}, &Fault{Answering, io.EOF}}
		err := ends[chance.Intn(len(ends))]
		if err == TurnedAway {
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
				h := w.f.Take(policy.ProfileID(profile), policy.PlanID(w.chance.Intn(2)), policy.CustomerID(n%3),
					left, 1, 1, 0)
				taken, leaves, harmed := time.Now(), w.chance.Intn(10) == 0, new(atomic.Int32)
				shoot := w.byChance(harmed)
				go func() {
					s := w.carry(h, shoot)
					if took := time.Since(taken); took > left+time.Millisecond {
						t.Errorf("answered after %v of %v", took, left)
					}
					if profile == 1 && s.Do == Dismiss && harmed.Load() > 0 {
						t.Error("dismissed an at-most-once transaction that may have run")
					}
					if s.Do == Fulfil && string(s.Answer) != "value" || s.Do == Leave && !leaves {
						t.Errorf("ended as %+v", s)
					}
					select {
					case s := <-h.steps:
						t.Errorf("a step %+v after the last", s)
					case <-time.After(3 * time.Second):
					}
				}()
				if leaves {
					time.AfterFunc(left/2, h.Leave)
				}
				time.Sleep(time.Duration(w.chance.Intn(30)) * time.Millisecond)
				if w.chance.Intn(15) == 0 {
					stage := policy.Stage(w.chance.Intn(2))
					w.list(policy.Changes, policy.Listed{Backend: policy.BackendID(1 + w.chance.Intn(2)), Stage: stage})
				}
			}
			time.Sleep(5 * time.Second)
			if n := w.f.Open(); n > 0 {
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
			w.list(policy.Changes, policy.Listed{Backend: b, Stage: policy.Draining})
		},
		"gone": func(w *world, b policy.BackendID) {
			w.list(policy.Changes, policy.Listed{Backend: b, Stage: policy.Gone})
		},
		"not listed": func(w *world, b policy.BackendID) {
			w.list(policy.Whole, policy.Listed{Backend: 3 - b, Stage: policy.Ready})
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, terms, func(w *world) {
				h := w.f.Take(0, 0, 1, time.Second, 1, 1, 0)
				first := h.Pick().Shot
				tell(w, first.Backend)
				if first.Begin(&wire{}) {
					t.Error("the shot went out")
				}
				if s := h.Pick(); s.Do != Send || s.Shot.Backend == first.Backend {
					t.Errorf("not sent elsewhere: %+v", s)
				}
				h.Leave()
			})
		})
	}
}

// Failure: where the settings allow no recalls, a shot that waited for its connection when its client left went out all
// the same once the connection came up; where they do, its backend was taken for one that cannot be reached.
func TestNothingBeginsForAClientWhoHasLeft(t *testing.T) {
	for _, recalls := range []bool{false, true} {
		terms := terms
		terms.Recalls = recalls
		run(t, 1, terms, func(w *world) {
			w.list(policy.Whole, policy.Listed{Backend: 1, Stage: policy.Ready})
			h := w.f.Take(0, 0, 1, time.Second, 1, 1, 0)
			s := h.Pick().Shot
			h.Leave()
			if s.Begin(&wire{}) {
				t.Error("begun for a client who has left")
			}
			next := w.f.Take(0, 0, 1, time.Second, 1, 1, 0)
			if step := next.Pick(); step.Do != Send {
				t.Errorf("the only backend is not sent to: %+v", step)
			}
			next.Leave()
			if n := w.f.Open(); n > 0 {
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
	terms.Profiles = []policy.ProfileTerms{{Promised: 500e6, HardLimit: 1500e6, Effect: policy.Numbered,
		Memory: int64(memory)}}
	for wait, want := range map[time.Duration]bool{50 * time.Millisecond: true, 199 * time.Millisecond: true,
		200 * time.Millisecond: false, 250 * time.Millisecond: false} {
		run(t, 1, terms, func(w *world) {
			h := w.f.Take(0, 0, 1, time.Second, 1, 1, 0)
			first := h.Pick().Shot
			first.Begin(&wire{dropped: make(chan struct{})})
			time.Sleep(100 * time.Millisecond)
			first.Report(nil, 0, Answered) // it may have run
			second := h.Pick()
			if second.Do != Send {
				t.Errorf("%+v", second)
				return
			}
			time.Sleep(wait)
			if got := second.Shot.Begin(&wire{dropped: make(chan struct{})}); got != want {
				t.Errorf("begun %v after the first: %t", 100*time.Millisecond+wait, got)
			}
			if !want {
				if last := h.Pick(); last.Do != Dismiss { // all backends know its number, and the client's memory is no other
					t.Errorf("%+v", last)
				}
			}
			h.Leave()
		})
	}
}

// What was being written when it was given up has run only if it got out whole; its writer knows.
func TestShotGivenUpWhileBeingWritten(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want Action
	}{
		"not whole": {&Fault{Writing, io.ErrShortWrite}, Dismiss},
		"whole":     {&Fault{Written, io.EOF}, BreakOff},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, terms, func(w *world) {
				h := w.f.Take(1, 0, 1, 400*time.Millisecond, 1, 1, 0)
				s, l := h.Pick().Shot, &wire{slow: true, dropped: make(chan struct{})}
				s.Begin(l)
				<-l.dropped
				s.Report(nil, 0, c.err)
				if got := h.Pick(); got.Do != c.want {
					t.Errorf("%+v, wanted %v", got, c.want)
				}
			})
		})
	}
}

func TestOutcomesOfErrors(t *testing.T) {
	for want, errs := range map[policy.Outcome][]error{
		policy.Fulfilled: {nil},
		policy.Errored:   {Answered},
		policy.Rejected:  {TurnedAway, errors.Join(TurnedAway)},
		policy.TimedOut:  {Unanswered},
		policy.Unreached: {&Fault{Dialling, io.EOF}, &Fault{Writing, io.EOF}},
		policy.CutOff:    {&Fault{Written, io.EOF}, &Fault{Answering, io.EOF}, io.EOF},
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
		h := w.f.Take(0, 0, 1, time.Second, 1, 1, 0)
		if s := h.Pick(); s.Do != Send {
			t.Errorf("%+v", s)
		}
		h.Leave()
	})
}

// Lists on request are asked for at the start, and again after a failure.
func TestFollowsOnRequest(t *testing.T) {
	asking := terms
	asking.ListOnRequest, asking.AskWithin = true, 10e9
	run(t, 1, asking, func(w *world) {
		time.Sleep(500 * time.Millisecond) // far more than a few doors take to ask one after another
		if n := w.follows.Load(); n != 1 {
			t.Errorf("followed %d times", n)
		}
		w.f.Backends(policy.ListFailed, nil)
		time.Sleep(2 * time.Second)
		if n := w.follows.Load(); n != 2 {
			t.Errorf("followed %d times", n)
		}
	})
}
