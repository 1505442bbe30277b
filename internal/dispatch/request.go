package dispatch

import (
	"time"

	"fawnplank/policy"
)

// Action is what the owner of a request does in a step. Every action except Send is final.
type Action uint8

// The actions.
const (
	Send    Action = iota // send the attempt to its backend
	Respond               // answer with the response
	Reject                // answer that a retry is safe, optionally with the time after which to retry
	Abort                 // answer that the request failed and may have run
	Discard               // send no answer: the client is gone
	Admit                 // answer that the request was counted: requests of its class are not sent to backends
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

// Step is what the owner of a request does next. Each field except Action is set for one action only.
type Step struct {
	Action     Action
	Attempt    *Attempt       // for Send
	Response   []byte         // for Respond, unless Stream is set
	Stream     ResponseStream // for Respond: the response still arrives
	RetryAfter time.Duration  // for Reject; 0: the answer states no time
}

// maxPendingAttempts is how many attempts of a request may wait for NextStep. The request's owner calls
// NextStep without delay, so even two waiting attempts are rare, however many the settings allow. A further attempt
// ends with the outcome NotSent, since waiting for room in the channel would block the engine.
const maxPendingAttempts = 8

// RequestSpec describes a request.
type RequestSpec struct {
	Class  policy.ClassID
	Plan   policy.PlanID
	Tenant policy.TenantID
	// Remaining is the time until the client's deadline. If it is not above 0, the request is answered immediately.
	Remaining time.Duration
	// Units is the number of units that the request adds to its tenant's count.
	Units float64
	// The tenant's requests arrive through EntryPoints consecutive instances, the first of which is
	// FirstInstance.
	EntryPoints   int
	FirstInstance int
}

// Request is a request in flight. Its methods are safe for concurrent use, but NextStep has one caller at a
// time. The dispatcher's lock guards its fields, except those that only Submit sets, and finalStep, which is set
// before the nil is sent on pendingAttempts that makes NextStep read it.
type Request struct {
	dispatcher    *Dispatcher
	id            policy.RequestID
	class         policy.ClassID
	engineRequest *policy.Request // nil until the engine's Submit has returned
	deadline      policy.Instant
	attempts      []*Attempt
	// pendingAttempts carries the attempts to send, followed by nil once finalStep is set. Its capacity is
	// maxPendingAttempts plus one for the nil, so that no send on it blocks while the lock is held.
	pendingAttempts chan *Attempt
	finalStep       Step
	finished        bool
}

// Submit passes a request to the engine. The caller then calls NextStep until it returns a final step.
func (d *Dispatcher) Submit(spec RequestSpec) *Request {
	r := &Request{dispatcher: d, class: spec.Class, pendingAttempts: make(chan *Attempt, maxPendingAttempts+1)}
	d.callEngine(func(now policy.Instant) {
		d.lastRequestID++
		r.id = d.lastRequestID
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
		r.removeIfDone()
	})
	return r
}

// NextStep waits for the next step. It must not be called again after a final step.
func (r *Request) NextStep() Step {
	if attempt := <-r.pendingAttempts; attempt != nil {
		return Step{Action: Send, Attempt: attempt}
	}
	return r.finalStep
}

// HandleClientGone ends the request because its client is gone, and informs the engine. It has no effect after a
// final step.
func (r *Request) HandleClientGone() {
	r.dispatcher.callEngine(func(now policy.Instant) {
		if r.finished {
			return
		}
		r.finish(Step{Action: Discard})
		r.engineRequest.HandleClientGone(now)
		r.removeIfDone()
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
	r.cancelUnfinished()
	r.pendingAttempts <- nil
	r.removeIfDone() // a counter result or a timer may finish the request while no attempt is in flight
}

// cancelWaitingAttempts cancels the attempts that still wait for a connection. Otherwise, where the settings
// disable cancellation, such an attempt would be written after the final answer or after the client has
// disconnected. The attempts end with the outcome NotSent, which does not count against their backends.
func (r *Request) cancelWaitingAttempts() {
	for _, attempt := range r.attempts {
		attempt.cancelWaiting(policy.NotSent)
	}
}

// removeIfDone removes the request from the dispatcher if the engine is done with it, but not before the engine's
// Submit has returned. The caller holds the dispatcher's lock.
func (r *Request) removeIfDone() {
	if r.engineRequest != nil && r.engineRequest.Done() {
		delete(r.dispatcher.requests, r.id)
	}
}
