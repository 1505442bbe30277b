package model

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// submission is one sending of a request by a client to an instance.
type submission struct {
	invariants.Event
	request     workload.Request
	retries     int // number of the client's retries of the request up to this submission
	instance    *instance
	incarnation int // the instance's incarnation when it received the submission
	handle      *policy.Request
	attempts    []*attempt
	isAnswered  bool
}

// submit makes a client send a request to one of its instances. Latencies are measured from due.
func (sim *simulation) submit(request workload.Request, due monotime.Instant, retries int) {
	to := sim.instances[sim.workload.Instance(request)]
	sim.lastSubmission++
	s := &submission{request: request, retries: retries, instance: to, Event: invariants.Event{
		At:         sim.now,
		Kind:       invariants.Submitted,
		Submission: sim.lastSubmission,
		Instance:   to.index,
		Tenant:     request.Tenant,
		Class:      request.Class,
		Plan:       request.Plan,
		Units:      request.Units,
		Deadline:   request.Deadline,
		Due:        due,
		IsRetry:    retries > 0,
	}}
	if to.engine == nil {
		sim.handleConnectionRefused(request, due, retries)
		return
	}
	sim.recorder.Observe(s.Event)
	incarnation := to.incarnation
	sim.after(sim.drawOneWayDelay(), func() {
		if to.incarnation == incarnation {
			to.receive(s)
		} else {
			s.abandon()
		}
	})
}

// handleConnectionRefused makes the client try another instance, or counts the request as not sent if no retry
// remains or its deadline has passed.
func (sim *simulation) handleConnectionRefused(request workload.Request, due monotime.Instant, retries int) {
	sim.after(sim.drawRoundTripTime(), func() {
		if retries < sim.scenario.Load.MaxRetries+workload.ExtraConnectRetries && sim.now.Before(request.Deadline) {
			sim.submit(request, due, retries+1)
		} else {
			sim.recorder.CountNotSent(sim.now)
		}
	})
}

// answer sends a final answer to the client.
func (s *submission) answer(kind invariants.Kind, retryAfter time.Duration) {
	sim := s.instance.simulation
	s.isAnswered = true
	// The request may have ended without an attempt in flight. That is checked in an event of its own, because the
	// engine is still handling the request here.
	sim.after(0, func() {
		if s.instance.incarnation == s.incarnation {
			s.instance.removeIfDone(s)
		}
	})
	sim.after(sim.drawOneWayDelay(), func() { s.handleAnswerArrived(kind, retryAfter) })
}

// handleAnswerArrived records an answer that has reached the client. The client retries a rejected request if a
// retry remains and would begin before the deadline.
func (s *submission) handleAnswerArrived(kind invariants.Kind, retryAfter time.Duration) {
	sim := s.instance.simulation
	sim.recorder.Observe(invariants.Event{
		At:         sim.now,
		Kind:       kind,
		Submission: s.Submission,
		Instance:   s.instance.index,
	})
	if kind != invariants.Rejected || s.retries >= sim.scenario.Load.MaxRetries {
		return
	}
	delay := sim.workload.RetryDelay(s.retries, retryAfter)
	if sim.now.Add(delay).Before(s.Deadline) {
		sim.after(delay, func() { sim.submit(s.request, sim.now, s.retries+1) })
	}
}

// abandon ends an unanswered submission whose instance died. The client retries the request if it is idempotent
// and a retry and time remain.
func (s *submission) abandon() {
	sim := s.instance.simulation
	if s.isAnswered {
		return
	}
	s.isAnswered = true
	sim.recorder.Observe(invariants.Event{
		At:         sim.now,
		Kind:       invariants.Abandoned,
		Submission: s.Submission,
	})
	mayRunTwice := sim.scenario.Classes[s.Class].IsIdempotent()
	if s.retries < sim.scenario.Load.MaxRetries && mayRunTwice && sim.now.Before(s.Deadline) {
		sim.after(sim.drawRoundTripTime(), func() { sim.submit(s.request, sim.now, s.retries+1) })
	}
}
