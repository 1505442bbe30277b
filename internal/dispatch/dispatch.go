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
	Add(key policy.CounterKey, units float64, lifetime time.Duration)
	Flush()
}

// HealthChecker tests a backend and brings the outcome to Facade.Probed. It must not block.
type HealthChecker interface{ CheckHealth(b policy.BackendID) }

// EndpointWatcher starts to follow the list of backends. It must not block.
type EndpointWatcher interface{ WatchEndpoints() }

// AttemptConn is the connection that a shot is out on. Drop gives the shot up; it does nothing once the line has gone
// on to another. It tells whether the shot's end will be reported all the same, at once, since it is just being
// written and may not get out whole.
type AttemptConn interface {
	Abandon(s *Attempt) (reports bool)
}

// Dispatcher is one front door's gate with its clock and timers.
type Dispatcher struct {
	mu       sync.Mutex
	gate     *policy.Engine
	epoch    int64     // Unix time at the start
	start    time.Time // the same moment on the monotonic clock
	counter  Counter
	prober   HealthChecker
	follower EndpointWatcher
	open     map[policy.RequestID]*Request
	last     policy.RequestID
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
	shot  *Attempt
	begin bool // the time by which the shot has to have begun
}

// ending is the end of a shot that was called off, told to the gate once it has returned.
type ending struct {
	shot    *Attempt
	outcome policy.Outcome
}

// New makes a dispatcher. Start starts it: the parts that a Config names are made in between, since they report to it.
func New() *Dispatcher {
	f := &Dispatcher{start: time.Now(), open: map[policy.RequestID]*Request{}, stopped: make(chan struct{})}
	f.epoch = f.start.UnixNano()
	f.timer = time.NewTimer(time.Hour)
	return f
}

// Config is what a dispatcher works with from Start on.
type Config struct {
	Seed     uint64
	Settings policy.Settings
	// Each part may be nil where the settings never ask for it: the counter without a plan with a rate, the health
	// checker without health checks, the endpoint watcher where nobody reports failed updates.
	Counter         Counter
	HealthChecker   HealthChecker
	EndpointWatcher EndpointWatcher
}

// Start makes the engine and starts the timers. Before it, nothing but Stop may be called.
func (f *Dispatcher) Start(c Config) {
	f.counter = c.Counter
	f.prober = c.HealthChecker
	f.follower = c.EndpointWatcher
	f.do(func(now int64) { f.gate = policy.New(now, c.Seed, c.Settings, door{f}) })
	go f.tick()
}

// UpdateSettings gives the decisions new terms, whose rows of profiles and plans extend the old ones.
func (f *Dispatcher) UpdateSettings(terms policy.Settings) {
	f.do(func(int64) { f.gate.UpdateSettings(terms) })
}

// Stop ends the timers.
func (f *Dispatcher) Stop() { close(f.stopped) }

// now is Unix time at the start plus the monotonic time since: all front doors name the same windows, and no
// step of the system's clock can turn time back.
func (f *Dispatcher) now() int64 { return f.epoch + int64(time.Since(f.start)) }

// OpenRequests tells how many transactions are open.
func (f *Dispatcher) OpenRequests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// do runs one call into the gate under the lock, and then, without it, what the gate asked of the network. A
// panic passes on to the connection that brought the call, and leaves the lock free.
func (f *Dispatcher) do(what func(now int64)) {
	bumped, probes := f.locked(what)
	if bumped {
		f.counter.Flush()
	}
	for _, b := range probes {
		f.prober.CheckHealth(b)
	}
}

func (f *Dispatcher) locked(what func(now int64)) (bumped bool, probes []policy.BackendID) {
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
func (f *Dispatcher) arm() {
	if next, ok := f.due.NextDue(f.needless); ok && next != f.armed {
		f.armed = next
		f.timer.Reset(time.Duration(next - f.now()))
	}
}

func (f *Dispatcher) needless(e dueEntry) bool {
	return e.shot != nil && (e.shot.settled || e.begin && e.shot.state.Load() != waiting) ||
		e.shot == nil && e.mark != 0 && e.mark != f.mark
}

// tick waits for the timer and does what is due.
func (f *Dispatcher) tick() {
	for {
		select {
		case <-f.timer.C:
		case <-f.stopped:
			return
		}
		f.whatIsDue()
	}
}

func (f *Dispatcher) whatIsDue() {
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked("facade", x, debug.Stack())
		}
	}()
	f.do(func(now int64) {
		f.armed = 0
		for e, ok := f.due.PopDue(now); ok; e, ok = f.due.PopDue(f.now()) {
			switch {
			case f.needless(e):
			case e.shot == nil:
				f.gate.HandleTimer(f.now(), e.mark)
			case e.begin:
				if e.shot.state.Load() == waiting {
					e.shot.stop(policy.ConnectFailed)
				}
			default:
				e.shot.stop(policy.TimedOut)
			}
		}
	})
}

// UpdateEndpoints brings the list of backends, or changes to it. Shots decided on before that are still waiting for a
// connection do not go out to a backend that is now known to drain or to be gone.
func (f *Dispatcher) UpdateEndpoints(how policy.UpdateKind, list []policy.Endpoint) {
	f.do(func(now int64) {
		f.gate.UpdateEndpoints(now, how, list)
		stages := make(map[policy.BackendID]policy.EndpointState, len(list))
		for _, l := range list {
			stages[l.Backend] = l.State
		}
		for _, id := range slices.Sorted(maps.Keys(f.open)) {
			for _, s := range f.open[id].shots {
				if stage, listed := stages[s.Backend]; (listed && stage != policy.EndpointReady || !listed &&
					(how == policy.FullSnapshot || how == policy.CachedSnapshot)) && s.state.Load() == waiting {
					s.stop(policy.NotSent)
				}
			}
		}
	})
}

// HandleCounterResult brings the answer to the oldest unanswered call for the count.
func (f *Dispatcher) HandleCounterResult(name policy.CounterKey, total float64, err error) {
	f.do(func(now int64) { f.gate.HandleCounterResult(now, outcome(err), name, total) })
}

// QuotaStatus tells what is known of a customer's quota, and counts nothing.
func (f *Dispatcher) QuotaStatus(c policy.TenantID, pl policy.PlanID, entries int) (q policy.QuotaStatus, ok bool) {
	f.do(func(now int64) { q, ok = f.gate.QuotaStatus(now, c, pl, entries) })
	return q, ok
}

// CounterStats tells figures on the counter's failures.
func (f *Dispatcher) CounterStats() (o policy.CounterStats) {
	f.do(func(int64) { o = f.gate.CounterStats() })
	return o
}

// ExportState tells what is known of the backends' answer times.
func (f *Dispatcher) ExportState() (l policy.WarmStartState) {
	f.do(func(int64) { l = f.gate.ExportState() })
	return l
}

// ImportState takes over what an earlier life knew, so long ago.
func (f *Dispatcher) ImportState(l policy.WarmStartState, age time.Duration) {
	f.do(func(now int64) { f.gate.ImportState(now, l, int64(age)) })
}

// HandleHealthCheck brings the answer to a probe.
func (f *Dispatcher) HandleHealthCheck(b policy.BackendID, err error) {
	f.do(func(now int64) { f.gate.HandleHealthCheck(now, b, outcome(err)) })
}

// door is the facade as the gate sees it; the lock is held in all its calls.
type door struct{ *Dispatcher }

func (d door) Send(id policy.RequestID, b policy.BackendID, expire, begin int64) {
	t := d.open[id]
	until := t.limit
	if expire > 0 {
		until = min(until, expire)
	}
	s := &Attempt{Backend: b, t: t, number: policy.AttemptID(len(t.shots)), sent: d.now(), until: until, begin: begin}
	t.shots = append(t.shots, s)
	if len(t.steps) == mostWaiting { // never sent
		s.state.Store(calledOff)
		d.ended = append(d.ended, ending{s, policy.NotSent})
		return
	}
	d.due.Push(until, dueEntry{shot: s})
	if begin < until {
		d.due.Push(begin, dueEntry{shot: s, begin: true})
	}
	t.steps <- s
}

func (d door) Cancel(id policy.RequestID, n policy.AttemptID) {
	if t := d.open[id]; t != nil && int(n) < len(t.shots) && !t.shots[n].settled {
		t.shots[n].stop(policy.Canceled)
	}
}

func (d door) Reject(id policy.RequestID, comeBack int64) {
	d.open[id].end(Step{Action: Reject, RetryAfter: time.Duration(comeBack)})
}

func (d door) Abort(id policy.RequestID) { d.open[id].end(Step{Action: Abort}) }

func (d door) Admit(id policy.RequestID) { d.open[id].end(Step{Action: Admit}) }

func (d door) WakeAt(at int64, mark uint64) {
	if mark != 0 {
		d.mark = mark
	}
	d.due.Push(at, dueEntry{mark: mark})
}

func (d door) AddToCounter(c policy.CounterKey, units float64, lifetime int64) {
	d.counter.Add(c, units, time.Duration(lifetime))
	d.bumped = true
}

func (d door) CheckHealth(b policy.BackendID) { d.probes = append(d.probes, b) }
func (d door) WatchEndpoints()                { d.follower.WatchEndpoints() }
func (d door) Log(text string)                { logging.For("policy").Warn(text) }

// Attempt is one sending of a transaction to a backend.
type Attempt struct {
	Backend policy.BackendID
	t       *Request
	number  policy.AttemptID
	sent    int64
	until   int64
	begin   int64          // not begun then or later
	settled bool           // by the facade's lock, like the next two
	halted  bool           // given up while it was being written: its writer reports
	as      policy.Outcome // how a halted shot ends, if it got out whole
	state   atomic.Uint32
	line    AttemptConn
}

// A shot's states. Only one of Begin and stop gets it out of waiting.
const (
	waiting uint32 = iota
	begun
	calledOff
)

// Begin says that the shot's first byte is about to be written. Where it gives false the shot has been called
// off, or its time to begin is over, and nothing may be written.
func (s *Attempt) Begin(l AttemptConn) bool {
	if s.t.f.now() >= s.begin { // the timer that calls it off may come late
		return false
	}
	s.line = l
	return s.state.CompareAndSwap(waiting, begun)
}

// Class is the profile of the shot's transaction.
func (s *Attempt) Class() policy.ClassID { return s.t.profile }

// Remaining is how long the shot's answer will be waited for.
func (s *Attempt) Remaining() time.Duration { return time.Duration(s.until - s.t.f.now()) }

// stop calls the shot off. It ends as o, unless its last byte was never written. The gate hears of it once it
// has returned.
func (s *Attempt) stop(o policy.Outcome) {
	switch f := s.t.f; {
	case s.settled || s.halted || s.state.Load() == calledOff:
	case s.state.CompareAndSwap(waiting, calledOff):
		f.ended = append(f.ended, ending{s, policy.ConnectFailed})
	case s.line.Abandon(s):
		s.halted, s.as = true, o
	default:
		f.ended = append(f.ended, ending{s, o})
	}
}

// Report tells how the shot ended: with an answer, which the facade keeps, or an error. trueUnits is what the
// transaction really counted, where the backend says so.
func (s *Attempt) Report(answer []byte, trueUnits float64, err error) {
	f := s.t.f
	f.do(func(int64) {
		if s.settled {
			return
		}
		o := outcome(err)
		if s.halted && o == policy.ConnectionLost {
			o = s.as
		}
		if o == policy.Succeeded {
			s.t.end(Step{Action: Respond, Response: answer})
		}
		f.settle(s, o, trueUnits)
	})
}

// settle tells the gate how a shot ended.
func (f *Dispatcher) settle(s *Attempt, o policy.Outcome, trueUnits float64) {
	if s.settled {
		return
	}
	s.settled = true
	now := f.now()
	s.t.handle.HandleAttemptResult(now, policy.AttemptResult{
		Attempt:     s.number,
		Outcome:     o,
		Elapsed:     now - s.sent,
		RequestDone: s.t.ended,
		TrueUnits:   trueUnits,
	})
	s.t.keep()
}

// Action is what a step asks for.
type Action uint8

const (
	Send    Action = iota // the shot, to its backend
	Respond               // with the answer
	Reject                // with the advice to come back
	Abort                 // with no promise
	Discard               // the client is gone: nothing is owed
	Admit                 // counted, and nothing is sent: the profile only counts
)

// Step is what is to be done next for a transaction. All but Send are final.
type Step struct {
	Action     Action
	Attempt    *Attempt
	Response   []byte
	RetryAfter time.Duration // 0: no advice
}

// mostWaiting is how many shots of a transaction may wait to be picked. They are picked at once, so that even
// two are rare, whatever the settings allow.
const mostWaiting = 8

// Request is one that was taken.
type Request struct {
	f       *Dispatcher
	id      policy.RequestID
	profile policy.ClassID
	handle  *policy.Request
	limit   int64
	shots   []*Attempt
	// steps brings the shots to be sent, and nil once last stands. It has room for mostWaiting shots and that:
	// nothing blocks under the lock.
	steps chan *Attempt
	last  Step
	ended bool
}

// RequestSpec says what a request is.
type RequestSpec struct {
	Class  policy.ClassID
	Plan   policy.PlanID
	Tenant policy.TenantID
	// Timeout is the time until the client gives up.
	Timeout time.Duration
	Units   float64
	// The tenant's requests come in through Entries instances in a row, from FirstEntry on.
	Entries    int
	FirstEntry int
}

// Submit hands a request to the engine.
func (f *Dispatcher) Submit(spec RequestSpec) *Request {
	t := &Request{f: f, profile: spec.Class, steps: make(chan *Attempt, mostWaiting+1)}
	f.do(func(now int64) {
		f.last++
		t.id, t.limit = f.last, now+int64(spec.Timeout)
		f.open[t.id] = t
		t.handle = f.gate.Submit(now, policy.RequestSpec{
			ID:            t.id,
			Class:         spec.Class,
			Plan:          spec.Plan,
			Tenant:        spec.Tenant,
			Remaining:     int64(spec.Timeout),
			Units:         spec.Units,
			EntryPoints:   spec.Entries,
			FirstInstance: spec.FirstEntry,
		})
		t.keep()
	})
	return t
}

// NextStep waits for the next step.
func (t *Request) NextStep() Step {
	if s := <-t.steps; s != nil {
		return Step{Action: Send, Attempt: s}
	}
	return t.last
}

// HandleClientGone tells that the client is gone.
func (t *Request) HandleClientGone() {
	t.f.do(func(now int64) {
		if !t.ended {
			t.end(Step{Action: Discard})
			t.handle.HandleClientGone(now)
			t.keep()
		}
	})
}

// end passes the final step on; only the first counts.
func (t *Request) end(s Step) {
	if !t.ended {
		t.ended, t.last = true, s
		// Guards against a shot that waits for its connection and goes out after the final answer, or after the client
		// has gone, where the settings allow no recalls. It says nothing against its backend.
		for _, s := range t.shots {
			if !s.settled && s.state.CompareAndSwap(waiting, calledOff) {
				t.f.ended = append(t.f.ended, ending{s, policy.NotSent})
			}
		}
		t.steps <- nil
		t.keep() // it may have ended with no shot out, by the counter's answer or a timer
	}
}

// keep forgets the transaction once nothing more can come for it. Before the gate has given its handle it is
// kept.
func (t *Request) keep() {
	if t.handle != nil && t.handle.Done() {
		delete(t.f.open, t.id)
	}
}
