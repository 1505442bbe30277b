package dispatch

import (
	"time"

	"fawnplank/policy"
)

// Action is what a step tells the request's owner to do. Every action but Send is final.
type Action uint8

// The actions.
const (
	Send    Action = iota // send the attempt to its backend
	Respond               // answer with the response
	Reject                // answer that a retry does no harm, perhaps with the time after which to retry
	Abort                 // answer that it failed; it may have run
	Discard               // no answer: the client is gone
	Admit                 // answer that it was counted: its class only counts, and nothing is sent
)

func (a Action) String() string {
	switch a {
	case Send:
		return "send"
	case Respond:
		return "respond"
	case Reject:
		return "reject"
	case Abort:
		return "abort"
	case Discard:
		return "discard"
	case Admit:
		return "admit"
	}
	return "unknown"
}

// Step is the next thing to do for a request. Each field but Action belongs to one action.
type Step struct {
	Action     Action
	Attempt    *Attempt      // of Send
	Response   []byte        // of Respond
	RetryAfter time.Duration // of Reject; 0: the client is not told when to come back
}

// maxPendingAttempts is how many attempts of a request may wait for NextStep. The request's owner calls
// NextStep at once, so even two waiting attempts are rare, whatever the settings allow. An attempt beyond them
// ends as NotSent, since waiting would block the engine.
const maxPendingAttempts = 8

// RequestSpec describes a request.
type RequestSpec struct {
	Class  policy.ClassID
	Plan   policy.PlanID
	Tenant policy.TenantID
	// Remaining is the time until the client gives up. A request without any time left is answered at once.
	Remaining time.Duration
	// Units is what the request adds to its tenant's count.
	Units float64
	// The tenant's requests arrive through EntryPoints consecutive instances, the first of which is
	// FirstInstance.
	EntryPoints   int
	FirstInstance int
}

// Request is a request in flight. Its methods are safe for concurrent use, but NextStep has one caller at a
// time. The dispatcher's lock guards its fields, except those that Submit sets and finalStep, which is set before
// its reader is woken.
type Request struct {
	dispatcher    *Dispatcher
	id            policy.RequestID
	class         policy.ClassID
	engineRequest *policy.Request // nil until the engine's Submit has returned
	deadline      policy.Instant
	attempts      []*Attempt
	// steps carries the attempts to send, then nil once finalStep is set. Its capacity is maxPendingAttempts
	// plus that nil, so that no send blocks while the lock is held.
	steps     chan *Attempt
	finalStep Step
	finished  bool
}

// Submit passes a request to the engine. The caller then calls NextStep until it returns a final step.
func (d *Dispatcher) Submit(spec RequestSpec) *Request {
	r := &Request{dispatcher: d, class: spec.Class, steps: make(chan *Attempt, maxPendingAttempts+1)}
	d.do(func(now policy.Instant) {
		d.lastRequest++
		r.id = d.lastRequest
		r.deadline = now.Add(spec.Remaining)
		d.requests[r.id] = r
		r.engineRequest = d.engine.Submit(now, policy.RequestSpec{
			ID:            r.id,
			Class:         spec.Class,
			Plan:          spec.Plan,
			Tenant:        spec.Tenant,
			Remaining:     spec.Remaining,
			Units:         spec.Units,
			EntryPoints:   spec.EntryPoints,
			FirstInstance: spec.FirstInstance,
		})
		r.forgetIfDone()
	})
	return r
}

// NextStep waits for the next step. It must not be called again after a final step.
func (r *Request) NextStep() Step {
	if attempt := <-r.steps; attempt != nil {
		return Step{Action: Send, Attempt: attempt}
	}
	return r.finalStep
}

// HandleClientGone tells the engine that the client is gone. After a final step it does nothing.
func (r *Request) HandleClientGone() {
	r.dispatcher.do(func(now policy.Instant) {
		if r.finished {
			return
		}
		r.finish(Step{Action: Discard})
		r.engineRequest.HandleClientGone(now)
		r.forgetIfDone()
	})
}

// finish sets the final step. Only the first call has an effect. The caller holds the dispatcher's lock.
func (r *Request) finish(step Step) {
	if r.finished {
		return
	}
	r.finished = true
	r.finalStep = step
	r.cancelWaitingAttempts()
	r.steps <- nil
	r.forgetIfDone() // a counter result or a timer may finish it with no attempt in flight
}

// cancelWaitingAttempts cancels the attempts that still wait for a connection. Without it, if the settings
// allow no cancellation, such an attempt would be written after the final answer or after the client has
// gone. The attempts end as NotSent, which does not count against their backends.
func (r *Request) cancelWaitingAttempts() {
	for _, attempt := range r.attempts {
		attempt.cancelWaiting(policy.NotSent)
	}
}

// forgetIfDone forgets the request if nothing more can happen to it, but not before the engine's Submit has
// returned. The caller holds the dispatcher's lock.
func (r *Request) forgetIfDone() {
	if r.engineRequest != nil && r.engineRequest.Done() {
		delete(r.dispatcher.requests, r.id)
	}
}
