package model

import (
	"slices"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// attempt is one request as sent to a backend.
type attempt struct {
	submission *submission
	id         policy.AttemptID
	to         *backend
	sentAt     monotime.Instant
	workNanos  float64 // of one core of a backend that has warmed up
	hasEnded   bool
	isCanceled bool // no answer is awaited: a backend that has not begun it skips it
}

// end reports the attempt's outcome to the instance. Only the first call has an effect.
func (a *attempt) end(outcome policy.Outcome) {
	s := a.submission
	w := s.instance.world
	if a.hasEnded || s.instance.incarnation != s.incarnation {
		return
	}
	a.hasEnded = true
	a.isCanceled = true
	if outcome == policy.Succeeded && !s.isAnswered {
		s.answer(invariants.Succeeded, 0)
	}
	s.handle.HandleAttemptResult(w.engineNow(), policy.AttemptResult{
		Attempt:     a.id,
		Outcome:     outcome,
		Elapsed:     w.now.Sub(a.sentAt),
		RequestDone: s.isAnswered,
	})
	s.instance.forgetIfDone(s)
}

// backend works on as many attempts at once as it has cores, and queues some more.
type backend struct {
	world       *world
	index       int
	isUp        bool
	isSilent    bool // the machine vanished: it does not even refuse connections
	state       policy.EndpointState
	startedAt   monotime.Instant // zero: long ago
	incarnation int
	running     []*attempt
	queue       []*attempt

	slowdown float64 // factor by which faults multiply the work

	// How many faults of each kind are active.
	refusing  int
	hanging   int
	resetting int
	garbling  int
	failing   int
	draining  int
	withdrawn int
}

func newBackend(w *world, index int) *backend {
	return &backend{world: w, index: index, isUp: true, state: policy.EndpointReady, slowdown: 1}
}

// capacity returns the share of its capacity that the backend has at its age.
func (b *backend) capacity() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	return b.world.scenario.CapacityShare(b.world.now.Sub(b.startedAt))
}

// arrive accepts an attempt, or refuses it.
func (b *backend) arrive(a *attempt) {
	w := b.world
	if !b.isUp && b.isSilent {
		return // the attempt times out
	}
	if !b.isUp || b.refusing > 0 {
		w.after(w.oneWayDelay(), func() { a.end(policy.ConnectFailed) })
		return
	}
	a.workNanos = w.workload.WorkNanos(w.workRandom, a.submission.Units)
	w.recorder.Observe(invariants.Event{
		At:          w.now,
		Kind:        invariants.AttemptArrived,
		Submission:  a.submission.Submission,
		Instance:    a.submission.instance.index,
		Backend:     b.index,
		StartedAt:   b.startedAt,
		WorkSeconds: a.workNanos / 1e9,
	})
	hasFreeCore := len(b.running) < w.scenario.Backends.Cores
	switch {
	case b.hanging > 0: // no answer ever
	case b.draining > 0, !hasFreeCore && len(b.queue) >= w.scenario.Backends.MaxQueued:
		b.refuse(a)
	case hasFreeCore:
		b.begin(a)
	default:
		b.queue = append(b.queue, a)
	}
}

// refuse answers that the backend has not run an attempt.
func (b *backend) refuse(a *attempt) {
	w := b.world
	w.recorder.Observe(invariants.Event{
		At:         w.now,
		Kind:       invariants.AttemptRefused,
		Submission: a.submission.Submission,
		Backend:    b.index,
	})
	w.after(w.oneWayDelay(), func() { a.end(policy.Rejected) })
}

func (b *backend) begin(a *attempt) {
	incarnation := b.incarnation
	b.running = append(b.running, a)
	b.world.after(time.Duration(a.workNanos*b.slowdown/b.capacity()), func() {
		if b.incarnation == incarnation {
			b.finish(a)
		}
	})
}

// finish ends the work on an attempt, begins the next ones, and answers.
func (b *backend) finish(a *attempt) {
	b.running = slices.DeleteFunc(b.running, func(other *attempt) bool { return other == a })
	b.beginQueued()
	outcome := policy.Succeeded
	switch {
	case b.hanging > 0:
		return
	case b.resetting > 0:
		outcome = policy.ConnectionLost
	case b.garbling > 0, b.failing > 0:
		outcome = policy.Failed
	}
	b.world.after(b.world.oneWayDelay(), func() { a.end(outcome) })
}

// beginQueued begins queued attempts on the cores that are free.
func (b *backend) beginQueued() {
	for len(b.queue) > 0 && len(b.running) < b.world.scenario.Backends.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.isCanceled { // else its connection is closed, and its answer has no reader
			b.begin(next)
		}
	}
}

// crash ends the process: it answers nothing more, and its connections break.
func (b *backend) crash() {
	for _, a := range b.stop() {
		b.world.after(b.world.oneWayDelay(), func() { a.end(policy.ConnectionLost) })
	}
}

// vanish takes the machine off the network: connections stay up without traffic, so that attempts time out.
func (b *backend) vanish() {
	b.stop()
	b.isSilent = true
}

// stop ends the incarnation, and returns the attempts that were in it.
func (b *backend) stop() (lost []*attempt) {
	lost = append(b.running, b.queue...)
	b.isUp = false
	b.isSilent = false
	b.running = nil
	b.queue = nil
	b.incarnation++
	return lost
}

// restart starts the process again, after crash or vanish.
func (b *backend) restart() {
	b.isUp = true
	b.isSilent = false
	b.startAnew()
}

// startAnew lists the backend as one that starts now.
func (b *backend) startAnew() {
	b.startedAt = b.world.now
	b.setState(policy.EndpointReady)
}

func (b *backend) setState(state policy.EndpointState) {
	b.state = state
	b.world.discovery.publish(b)
}
