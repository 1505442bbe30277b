package model

import (
	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
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

// submit makes a client submit a request that was due at dueNanos.
func (w *world) submit(request workload.Request, dueNanos int64, retries int) {
	to := w.instances[w.workload.Instance(request)]
	w.lastSubmission++
	s := &submission{request: request, retries: retries, instance: to, Event: invariants.Event{
		AtNanos:       w.nowNanos,
		Kind:          invariants.Submitted,
		Submission:    w.lastSubmission,
		Instance:      to.index,
		Tenant:        request.Tenant,
		Class:         request.Class,
		Plan:          request.Plan,
		Units:         request.Units,
		DeadlineNanos: request.DeadlineNanos,
		DueNanos:      dueNanos,
		IsRetry:       retries > 0,
	}}
	if to.engine == nil {
		w.handleConnectionRefused(request, dueNanos, retries)
		return
	}
	w.recorder.Observe(s.Event)
	incarnation := to.incarnation
	w.after(w.oneWayDelayNanos(), func() {
		if to.incarnation == incarnation {
			to.receive(s)
		} else {
			s.lose()
		}
	})
}

// handleConnectionRefused makes the client try another instance, or give up once it has no retry or time
// left.
func (w *world) handleConnectionRefused(request workload.Request, dueNanos int64, retries int) {
	w.after(w.roundTripNanos(), func() {
		if retries < w.scenario.Load.Retries+workload.ExtraConnectRetries && w.nowNanos < request.DeadlineNanos {
			w.submit(request, dueNanos, retries+1)
		} else {
			w.recorder.CountNotSent(w.nowNanos)
		}
	})
}

// answer sends a final answer to the client.
func (s *submission) answer(kind invariants.Kind, retryAfterNanos int64) {
	w := s.instance.world
	s.isAnswered = true
	w.after(0, func() { // once the engine has returned: the request may have ended without an attempt in flight
		if s.instance.incarnation == s.incarnation {
			s.instance.forgetIfDone(s)
		}
	})
	w.after(w.oneWayDelayNanos(), func() { s.handleAnswerArrived(kind, retryAfterNanos) })
}

// handleAnswerArrived records an answer that has reached the client, and makes the client retry a rejected
// request while it has retries and time left.
func (s *submission) handleAnswerArrived(kind invariants.Kind, retryAfterNanos int64) {
	w := s.instance.world
	w.recorder.Observe(invariants.Event{
		AtNanos:    w.nowNanos,
		Kind:       kind,
		Submission: s.Submission,
		Instance:   s.instance.index,
	})
	if kind != invariants.Rejected || s.retries >= w.scenario.Load.Retries {
		return
	}
	delayNanos := w.workload.RetryDelay(s.retries, retryAfterNanos)
	if w.nowNanos+delayNanos < s.DeadlineNanos {
		w.after(delayNanos, func() { w.submit(s.request, w.nowNanos, s.retries+1) })
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
		AtNanos:    w.nowNanos,
		Kind:       invariants.Abandoned,
		Submission: s.Submission,
	})
	mayRunTwice := w.scenario.Classes[s.Class].IsIdempotent()
	if s.retries < w.scenario.Load.Retries && mayRunTwice && w.nowNanos < s.DeadlineNanos {
		w.after(w.roundTripNanos(), func() { w.submit(s.request, w.nowNanos, s.retries+1) })
	}
}
