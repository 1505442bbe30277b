// Package facade wraps the decisions of policy.Gate in calls that block: a transaction is taken, its next step
// picked, the end of a shot reported. It owns the lock round the gate, the clock, the timers and the handles of
// open transactions, and it alone sees the gate's events and actions. It must never decide anything itself, and
// never wait for the network under its lock.
package dispatch

import (
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// Counter is what the facade needs of the counter. Bump must not block; Flush sends what was bumped.
type Counter interface {
	Bump(name policy.CountID, units float64, lifetime int64)
	Flush()
}

// Prober tests a backend and brings the outcome to Facade.Probed. It must not block.
type Prober interface{ Probe(b policy.BackendID) }

// Follower starts to follow the list of backends. It must not block.
type Follower interface{ Follow() }

// Line is the connection that a shot is out on. Drop gives the shot up; it does nothing once the line has gone
// on to another. It tells whether the shot's end will be reported all the same, at once, since it is just being
// written and may not get out whole.
type Line interface{ Drop(s *Shot) (reports bool) }

// Facade is one front door's gate with its clock and timers.
type Facade struct {
	mu       sync.Mutex
	gate     *policy.Gate
	epoch    int64     // Unix time at the start
	start    time.Time // the same moment on the monotonic clock
	counter  Counter
	prober   Prober
	follower Follower
	open     map[policy.TransactionID]*Transaction
	last     policy.TransactionID
	due      timerqueue.Queue[dueEntry]
	timer    *time.Timer
	mark     uint64 // of the latest wake asked for; those before are needless
	armed    int64  // when the timer goes off; 0: not set
	ended    []ending
	bumped   bool
	probes   []policy.BackendID
	stopped  chan struct{}
}

// dueEntry is a wake that the gate asked for, or the end of a shot's time.
type dueEntry struct {
	mark  uint64
	shot  *Shot
	begin bool // the time by which the shot has to have begun
}

// ending is the end of a shot that was called off, told to the gate once it has returned.
type ending struct {
	shot    *Shot
	outcome policy.Outcome
}

// New makes a facade; Run starts it.
func New() *Facade {
	f := &Facade{start: time.Now(), open: map[policy.TransactionID]*Transaction{}, stopped: make(chan struct{})}
	f.epoch = f.start.UnixNano()
	f.timer = time.NewTimer(time.Hour)
	return f
}

// Run starts the decisions and the timers.
func (f *Facade) Run(seed uint64, terms policy.Terms, c Counter, p Prober, l Follower) {
	f.counter, f.prober, f.follower = c, p, l
	f.do(func(now int64) { f.gate = policy.New(now, seed, terms, door{f}) })
	go f.tick()
}

// Retune gives the decisions new terms, whose rows of profiles and plans extend the old ones.
func (f *Facade) Retune(terms policy.Terms) { f.do(func(int64) { f.gate.Retune(terms) }) }

// Stop ends the timers.
func (f *Facade) Stop() { close(f.stopped) }

// now is Unix time at the start plus the monotonic time since: all front doors name the same windows, and no
// step of the system's clock can turn time back.
func (f *Facade) now() int64 { return f.epoch + int64(time.Since(f.start)) }

// Open tells how many transactions are open.
func (f *Facade) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// do runs one call into the gate under the lock, and then, without it, what the gate asked of the network. A
// panic passes on to the connection that brought the call, and leaves the lock free.
func (f *Facade) do(what func(now int64)) {
	bumped, probes := f.locked(what)
	if bumped {
		f.counter.Flush()
	}
	for _, b := range probes {
		f.prober.Probe(b)
	}
}

func (f *Facade) locked(what func(now int64)) (bumped bool, probes []policy.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.arm() // after a panic too: else what is due would wait for the next call
	what(f.now())
	for len(f.ended) > 0 { // shots that the gate called off: it is told once it has returned
		e := f.ended[0]
		f.ended = f.ended[1:]
		f.settle(e.shot, e.outcome, 0)
	}
	bumped, probes = f.bumped, f.probes
	f.bumped, f.probes = false, nil
	return bumped, probes
}

// arm sets the timer for the earliest due time that still matters.
func (f *Facade) arm() {
	if next, ok := f.due.Next(f.needless); ok && next != f.armed {
		f.armed = next
		f.timer.Reset(time.Duration(next - f.now()))
	}
}

func (f *Facade) needless(e dueEntry) bool {
	return e.shot != nil && (e.shot.settled || e.begin && e.shot.state.Load() != waiting) ||
		e.shot == nil && e.mark != 0 && e.mark != f.mark
}

// tick waits for the timer and does what is due.
func (f *Facade) tick() {
	for {
		select {
		case <-f.timer.C:
		case <-f.stopped:
			return
		}
		f.whatIsDue()
	}
}

func (f *Facade) whatIsDue() {
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked("facade", x, debug.Stack())
		}
	}()
	f.do(func(now int64) {
		f.armed = 0
		for e, ok := f.due.Take(now); ok; e, ok = f.due.Take(f.now()) {
			switch {
			case f.needless(e):
			case e.shot == nil:
				f.gate.Wake(f.now(), e.mark)
			case e.begin:
				if e.shot.state.Load() == waiting {
					e.shot.stop(policy.Unreached)
				}
			default:
				e.shot.stop(policy.TimedOut)
			}
		}
	})
}

// Backends brings the list of backends, or changes to it. Shots decided on before that are still waiting for a
// connection do not go out to a backend that is now known to drain or to be gone.
func (f *Facade) Backends(how policy.Listing, list []policy.Listed) {
	f.do(func(now int64) {
		f.gate.Backends(now, how, list)
		stages := make(map[policy.BackendID]policy.Stage, len(list))
		for _, l := range list {
			stages[l.Backend] = l.Stage
		}
		for _, id := range slices.Sorted(maps.Keys(f.open)) {
			for _, s := range f.open[id].shots {
				if stage, listed := stages[s.Backend]; (listed && stage != policy.Ready || !listed &&
					(how == policy.Whole || how == policy.Cached)) && s.state.Load() == waiting {
					s.stop(policy.Moot)
				}
			}
		}
	})
}

// Counted brings the answer to the oldest unanswered call for the count.
func (f *Facade) Counted(name policy.CountID, total float64, err error) {
	f.do(func(now int64) { f.gate.Counted(now, outcome(err), name, total) })
}

// Quota tells what is known of a customer's quota, and counts nothing.
func (f *Facade) Quota(c policy.CustomerID, pl policy.PlanID, entries int) (q policy.Quota, ok bool) {
	f.do(func(now int64) { q, ok = f.gate.Quota(now, c, pl, entries) })
	return q, ok
}

// Outages tells figures on the counter's failures.
func (f *Facade) Outages() (o policy.Outages) {
	f.do(func(int64) { o = f.gate.Outages() })
	return o
}

// Learned tells what is known of the backends' answer times.
func (f *Facade) Learned() (l policy.Learned) {
	f.do(func(int64) { l = f.gate.Learned() })
	return l
}

// Relearn takes over what an earlier life knew, so long ago.
func (f *Facade) Relearn(l policy.Learned, age time.Duration) {
	f.do(func(now int64) { f.gate.Relearn(now, l, int64(age)) })
}

// Probed brings the answer to a probe.
func (f *Facade) Probed(b policy.BackendID, err error) {
	f.do(func(now int64) { f.gate.Probed(now, b, outcome(err)) })
}

// door is the facade as the gate sees it; the lock is held in all its calls.
type door struct{ *Facade }

func (d door) Shoot(id policy.TransactionID, b policy.BackendID, expire, begin int64) {
	t := d.open[id]
	until := t.limit
	if expire > 0 {
		until = min(until, expire)
	}
	s := &Shot{Backend: b, t: t, number: policy.ShotID(len(t.shots)), sent: d.now(), until: until, begin: begin}
	t.shots = append(t.shots, s)
	if len(t.steps) == mostWaiting { // never sent
		s.state.Store(calledOff)
		d.ended = append(d.ended, ending{s, policy.Moot})
		return
	}
	d.due.Add(until, dueEntry{shot: s})
	if begin < until {
		d.due.Add(begin, dueEntry{shot: s, begin: true})
	}
	t.steps <- s
}

func (d door) Recall(id policy.TransactionID, n policy.ShotID) {
	if t := d.open[id]; t != nil && int(n) < len(t.shots) && !t.shots[n].settled {
		t.shots[n].stop(policy.Recalled)
	}
}

func (d door) Dismiss(id policy.TransactionID, comeBack int64) {
	d.open[id].end(Step{Do: Dismiss, ComeBack: comeBack})
}

func (d door) BreakOff(id policy.TransactionID) { d.open[id].end(Step{Do: BreakOff}) }

func (d door) Grant(id policy.TransactionID) { d.open[id].end(Step{Do: Grant}) }

func (d door) Wake(at int64, mark uint64) {
	if mark != 0 {
		d.mark = mark
	}
	d.due.Add(at, dueEntry{mark: mark})
}

func (d door) Count(c policy.CountID, units float64, lifetime int64) {
	d.counter.Bump(c, units, lifetime)
	d.bumped = true
}

func (d door) Probe(b policy.BackendID) { d.probes = append(d.probes, b) }
func (d door) Follow()                  { d.follower.Follow() }
func (d door) Note(text string)         { logging.For("policy").Warn(text) }

// Shot is one sending of a transaction to a backend.
type Shot struct {
	Backend policy.BackendID
	t       *Transaction
	number  policy.ShotID
	sent    int64
	until   int64
	begin   int64          // not begun then or later
	settled bool           // by the facade's lock, like the next two
	halted  bool           // given up while it was being written: its writer reports
	as      policy.Outcome // how a halted shot ends, if it got out whole
	state   atomic.Uint32
	line    Line
}

// A shot's states. Only one of Begin and stop gets it out of waiting.
const (
	waiting uint32 = iota
	begun
	calledOff
)

// Begin says that the shot's first byte is about to be written. Where it gives false the shot has been called
// off, or its time to begin is over, and nothing may be written.
func (s *Shot) Begin(l Line) bool {
	if s.t.f.now() >= s.begin { // the timer that calls it off may come late
		return false
	}
	s.line = l
	return s.state.CompareAndSwap(waiting, begun)
}

// Profile is the profile of the shot's transaction.
func (s *Shot) Profile() policy.ProfileID { return s.t.profile }

// Left is how long the shot's answer will be waited for.
func (s *Shot) Left() time.Duration { return time.Duration(s.until - s.t.f.now()) }

// stop calls the shot off. It ends as o, unless its last byte was never written. The gate hears of it once it
// has returned.
func (s *Shot) stop(o policy.Outcome) {
	switch f := s.t.f; {
	case s.settled || s.halted || s.state.Load() == calledOff:
	case s.state.CompareAndSwap(waiting, calledOff):
		f.ended = append(f.ended, ending{s, policy.Unreached})
	case s.line.Drop(s):
		s.halted, s.as = true, o
	default:
		f.ended = append(f.ended, ending{s, o})
	}
}

// Report tells how the shot ended: with an answer, which the facade keeps, or an error. trueUnits is what the
// transaction really counted, where the backend says so.
func (s *Shot) Report(answer []byte, trueUnits float64, err error) {
	f := s.t.f
	f.do(func(int64) {
		if s.settled {
			return
		}
		o := outcome(err)
		if s.halted && o == policy.CutOff {
			o = s.as
		}
		if o == policy.Fulfilled {
			s.t.end(Step{Do: Fulfil, Answer: answer})
		}
		f.settle(s, o, trueUnits)
	})
}

// settle tells the gate how a shot ended.
func (f *Facade) settle(s *Shot, o policy.Outcome, trueUnits float64) {
	if s.settled {
		return
	}
	s.settled = true
	now := f.now()
	s.t.handle.Settled(now, s.number, o, now-s.sent, s.t.ended, trueUnits)
	s.t.keep()
}

// Action is what a step asks for.
type Action uint8

const (
	Send     Action = iota // the shot, to its backend
	Fulfil                 // with the answer
	Dismiss                // with the advice to come back
	BreakOff               // with no promise
	Leave                  // the client is gone: nothing is owed
	Grant                  // counted, and nothing is sent: the profile only counts
)

// Step is what is to be done next for a transaction. All but Send are final.
type Step struct {
	Do       Action
	Shot     *Shot
	Answer   []byte
	ComeBack int64
}

// mostWaiting is how many shots of a transaction may wait to be picked. They are picked at once, so that even
// two are rare, whatever the settings allow.
const mostWaiting = 8

// Transaction is one that was taken.
type Transaction struct {
	f       *Facade
	id      policy.TransactionID
	profile policy.ProfileID
	handle  *policy.Transaction
	limit   int64
	shots   []*Shot
	// steps brings the shots to be sent, and nil once last stands. It has room for mostWaiting shots and that:
	// nothing blocks under the lock.
	steps chan *Shot
	last  Step
	ended bool
}

// Take takes a transaction.
func (f *Facade) Take(pr policy.ProfileID, pl policy.PlanID, c policy.CustomerID, left time.Duration,
	units float64, entries, first int) *Transaction {
	t := &Transaction{f: f, profile: pr, steps: make(chan *Shot, mostWaiting+1)}
	f.do(func(now int64) {
		f.last++
		t.id, t.limit = f.last, now+int64(left)
		f.open[t.id] = t
		t.handle = f.gate.Take(now, t.id, pr, pl, c, int64(left), units, entries, first)
		t.keep()
	})
	return t
}

// Pick waits for the next step.
func (t *Transaction) Pick() Step {
	if s := <-t.steps; s != nil {
		return Step{Do: Send, Shot: s}
	}
	return t.last
}

// Leave tells that the client is gone.
func (t *Transaction) Leave() {
	t.f.do(func(now int64) {
		if !t.ended {
			t.end(Step{Do: Leave})
			t.handle.Left(now)
			t.keep()
		}
	})
}

// end passes the final step on; only the first counts.
func (t *Transaction) end(s Step) {
	if !t.ended {
		t.ended, t.last = true, s
		// Guards against a shot that waits for its connection and goes out after the final answer, or after the client
		// has gone, where the settings allow no recalls. It says nothing against its backend.
		for _, s := range t.shots {
			if !s.settled && s.state.CompareAndSwap(waiting, calledOff) {
				t.f.ended = append(t.f.ended, ending{s, policy.Moot})
			}
		}
		t.steps <- nil
		t.keep() // it may have ended with no shot out, by the counter's answer or a timer
	}
}

// keep forgets the transaction once nothing more can come for it. Before the gate has given its handle it is
// kept.
func (t *Transaction) keep() {
	if t.handle != nil && t.handle.Done() {
		delete(t.f.open, t.id)
	}
}
