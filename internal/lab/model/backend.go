package model

import (
	"slices"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// attempt is one attempt of a request at a backend.
type attempt struct {
	submission *submission
	id         policy.AttemptID
	target     *backend
	sentAt     monotime.Instant
	workNanos  float64 // work in core-nanoseconds of a backend that has warmed up
	hasEnded   bool
	isCanceled bool // the instance awaits no answer; a backend drops the attempt if it is still queued
}

// reportOutcome reports the attempt's outcome to the instance's engine. Only the first call has an effect.
func (a *attempt) reportOutcome(outcome policy.Outcome) {
	s := a.submission
	sim := s.instance.simulation
	if a.hasEnded || s.instance.incarnation != s.incarnation {
		return
	}
	a.hasEnded = true
	a.isCanceled = true
	if outcome == policy.Succeeded && !s.isAnswered {
		s.answer(invariants.Succeeded, 0)
	}
	s.handle.HandleAttemptResult(sim.engineNow(), policy.AttemptResult{
		Attempt:     a.id,
		Outcome:     outcome,
		Elapsed:     sim.now.Sub(a.sentAt),
		RequestDone: s.isAnswered,
	})
	s.instance.removeIfDone(s)
}

// backend is a simulated backend. It runs one attempt per core and queues a bounded number of further attempts.
type backend struct {
	simulation    *simulation
	index         int
	isUp          bool
	isUnreachable bool // the host is off the network: connection attempts time out
	state         policy.EndpointState
	startedAt     monotime.Instant // zero: long before the run
	incarnation   int
	running       []*attempt
	queue         []*attempt

	slowdown float64 // product of the factors of active faults that slow down work

	// Numbers of active faults by kind.
	refusing  int
	hanging   int
	resetting int
	garbling  int
	failing   int
	draining  int
	withdrawn int
}

func newBackend(sim *simulation, index int) *backend {
	return &backend{simulation: sim, index: index, isUp: true, state: policy.EndpointReady, slowdown: 1}
}

// capacity returns the share of its full capacity that the backend has at its current age.
func (b *backend) capacity() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	return b.simulation.scenario.CapacityShare(b.simulation.now.Sub(b.startedAt))
}

// arrive handles an attempt that reaches the backend: it starts, queues, refuses or ignores the attempt.
func (b *backend) arrive(a *attempt) {
	sim := b.simulation
	if !b.isUp && b.isUnreachable {
		return // the attempt times out
	}
	if !b.isUp || b.refusing > 0 {
		sim.after(sim.drawOneWayDelay(), func() { a.reportOutcome(policy.ConnectFailed) })
		return
	}
	a.workNanos = sim.workload.WorkNanos(sim.workRandom, a.submission.Units)
	sim.recorder.Observe(invariants.Event{
		At:          sim.now,
		Kind:        invariants.AttemptArrived,
		Submission:  a.submission.Submission,
		Instance:    a.submission.instance.index,
		Backend:     b.index,
		StartedAt:   b.startedAt,
		WorkSeconds: a.workNanos / 1e9,
	})
	hasFreeCore := len(b.running) < sim.scenario.Backends.Cores
	switch {
	case b.hanging > 0: // the attempt is never answered
	case b.draining > 0, !hasFreeCore && len(b.queue) >= sim.scenario.Backends.MaxQueued:
		b.refuse(a)
	case hasFreeCore:
		b.begin(a)
	default:
		b.queue = append(b.queue, a)
	}
}

// refuse reports to the instance that the backend has not run an attempt.
func (b *backend) refuse(a *attempt) {
	sim := b.simulation
	sim.recorder.Observe(invariants.Event{
		At:         sim.now,
		Kind:       invariants.AttemptRefused,
		Submission: a.submission.Submission,
		Backend:    b.index,
	})
	sim.after(sim.drawOneWayDelay(), func() { a.reportOutcome(policy.Rejected) })
}

func (b *backend) begin(a *attempt) {
	incarnation := b.incarnation
	b.running = append(b.running, a)
	b.simulation.after(time.Duration(a.workNanos*b.slowdown/b.capacity()), func() {
		if b.incarnation == incarnation {
			b.finish(a)
		}
	})
}

// finish ends the work on an attempt, begins queued attempts on the free core, and sends the answer.
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
	b.simulation.after(b.simulation.drawOneWayDelay(), func() { a.reportOutcome(outcome) })
}

// beginQueued begins queued attempts on free cores.
func (b *backend) beginQueued() {
	for len(b.queue) > 0 && len(b.running) < b.simulation.scenario.Backends.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.isCanceled { // the connection of a canceled attempt is closed
			b.begin(next)
		}
	}
}

// crash ends the backend's process, which breaks its connections.
func (b *backend) crash() {
	for _, a := range b.stop() {
		b.simulation.after(b.simulation.drawOneWayDelay(), func() { a.reportOutcome(policy.ConnectionLost) })
	}
}

// vanish disconnects the backend's host from the network without closing connections, so that attempts time out.
func (b *backend) vanish() {
	b.stop()
	b.isUnreachable = true
}

// stop ends the current incarnation and returns its running and queued attempts.
func (b *backend) stop() (lost []*attempt) {
	lost = append(b.running, b.queue...)
	b.isUp = false
	b.isUnreachable = false
	b.running = nil
	b.queue = nil
	b.incarnation++
	return lost
}

// restart starts the process again, after crash or vanish.
func (b *backend) restart() {
	b.isUp = true
	b.isUnreachable = false
	b.publishNewIncarnation()
}

// publishNewIncarnation publishes the backend as ready with the current time as its start.
func (b *backend) publishNewIncarnation() {
	b.startedAt = b.simulation.now
	b.setState(policy.EndpointReady)
}

func (b *backend) setState(state policy.EndpointState) {
	b.state = state
	b.simulation.discovery.publish(b)
}
