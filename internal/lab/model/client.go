package model

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// submission is one submission of a request to an instance.
type submission struct {
	invariants.Event
	request     workload.Request
	retries     int // before it
	instance    *instance
	incarnation int // of the instance when it received the submission
	handle      *policy.Request
	attempts    []*attempt
	isAnswered  bool
}

// submit makes a client submit a request that was due at a time.
func (w *world) submit(request workload.Request, due monotime.Instant, retries int) {
	to := w.instances[w.workload.Instance(request)]
	w.lastSubmission++
	s := &submission{request: request, retries: retries, instance: to, Event: invariants.Event{
		At:         w.now,
		Kind:       invariants.Submitted,
		Submission: w.lastSubmission,
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
		w.handleConnectionRefused(request, due, retries)
		return
	}
	w.recorder.Observe(s.Event)
	incarnation := to.incarnation
	w.after(w.oneWayDelay(), func() {
		if to.incarnation == incarnation {
			to.receive(s)
		} else {
			s.lose()
		}
	})
}

// handleConnectionRefused makes the client try another instance, or give up once it has no retry or time
// left.
func (w *world) handleConnectionRefused(request workload.Request, due monotime.Instant, retries int) {
	w.after(w.roundTrip(), func() {
		if retries < w.scenario.Load.MaxRetries+workload.ExtraConnectRetries && w.now.Before(request.Deadline) {
			w.submit(request, due, retries+1)
		} else {
			w.recorder.CountNotSent(w.now)
		}
	})
}

// answer sends a final answer to the client.
func (s *submission) answer(kind invariants.Kind, retryAfter time.Duration) {
	w := s.instance.world
	s.isAnswered = true
	w.after(0, func() { // once the engine has returned: the request may have ended without an attempt in flight
		if s.instance.incarnation == s.incarnation {
			s.instance.forgetIfDone(s)
		}
	})
	w.after(w.oneWayDelay(), func() { s.handleAnswerArrived(kind, retryAfter) })
}

// handleAnswerArrived records an answer that has reached the client, and makes the client retry a rejected
// request while it has retries and time left.
func (s *submission) handleAnswerArrived(kind invariants.Kind, retryAfter time.Duration) {
	w := s.instance.world
	w.recorder.Observe(invariants.Event{
		At:         w.now,
		Kind:       kind,
		Submission: s.Submission,
		Instance:   s.instance.index,
	})
	if kind != invariants.Rejected || s.retries >= w.scenario.Load.MaxRetries {
		return
	}
	delay := w.workload.RetryDelay(s.retries, retryAfter)
	if w.now.Add(delay).Before(s.Deadline) {
		w.after(delay, func() { w.submit(s.request, w.now, s.retries+1) })
	}
}

// lose ends a submission whose instance died. The client retries it if it is idempotent.
func (s *submission) lose() {
	w := s.instance.world
	if s.isAnswered {
		return
	}
	s.isAnswered = true
	w.recorder.Observe(invariants.Event{
		At:         w.now,
		Kind:       invariants.Abandoned,
		Submission: s.Submission,
	})
	mayRunTwice := w.scenario.Classes[s.Class].IsIdempotent()
	if s.retries < w.scenario.Load.MaxRetries && mayRunTwice && w.now.Before(s.Deadline) {
		w.after(w.roundTrip(), func() { w.submit(s.request, w.now, s.retries+1) })
	}
}
