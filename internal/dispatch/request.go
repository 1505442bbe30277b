package dispatch

import (
	"time"

	"fawnplank/policy"
)

// Action is what a step asks for. All but Send are final.
type Action uint8

// The actions.
const (
	Send    Action = iota // pass the attempt to its backend
	Respond               // answer with the response
	Reject                // answer that nothing ran, perhaps with the time after which to retry
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

// Step is what is to be done next for a request.
type Step struct {
	Action     Action
	Attempt    *Attempt      // of Send
	Response   []byte        // of Respond
	RetryAfter time.Duration // of Reject; 0: no advice
}

// maxPendingAttempts is how many attempts of a request may wait for NextStep. Its owner calls it at once, so
// that two are rare already, whatever the settings allow; eight leave a wide margin.
const maxPendingAttempts = 8

// RequestSpec says what a request is.
type RequestSpec struct {
	Class  policy.ClassID
	Plan   policy.PlanID
	Tenant policy.TenantID
	// Timeout is the time until the client gives up.
	Timeout time.Duration
	Units   float64
	// The tenant's requests come in through EntryPoints instances in a row, from FirstInstance on.
	EntryPoints   int
	FirstInstance int
}

// Request is a request in flight. The dispatcher's lock guards its fields, but for those that Submit sets,
// and for finalStep, which is set before its reader is woken.
type Request struct {
	dispatcher    *Dispatcher
	id            policy.RequestID
	class         policy.ClassID
	engineRequest *policy.Request // nil until the engine's Submit has returned
	deadlineNanos int64
	attempts      []*Attempt
	// steps carries the attempts to be sent, and nil once finalStep is set. It has capacity for
	// maxPendingAttempts and that nil: nothing blocks under the lock.
	steps     chan *Attempt
	finalStep Step
	finished  bool
}

// Submit hands a request to the engine.
func (d *Dispatcher) Submit(spec RequestSpec) *Request {
	r := &Request{dispatcher: d, class: spec.Class, steps: make(chan *Attempt, maxPendingAttempts+1)}
	d.do(func(now int64) {
		d.lastRequest++
		r.id = d.lastRequest
		r.deadlineNanos = now + int64(spec.Timeout)
		d.requests[r.id] = r
		r.engineRequest = d.engine.Submit(now, policy.RequestSpec{
			ID:            r.id,
			Class:         spec.Class,
			Plan:          spec.Plan,
			Tenant:        spec.Tenant,
			Remaining:     int64(spec.Timeout),
			Units:         spec.Units,
			EntryPoints:   spec.EntryPoints,
			FirstInstance: spec.FirstInstance,
		})
		r.release()
	})
	return r
}

// NextStep waits for the next step. After a final step it is not called again.
func (r *Request) NextStep() Step {
	if attempt := <-r.steps; attempt != nil {
		return Step{Action: Send, Attempt: attempt}
	}
	return r.finalStep
}

// HandleClientGone says that the client is gone. After a final step it does nothing.
func (r *Request) HandleClientGone() {
	r.dispatcher.do(func(now int64) {
		if r.finished {
			return
		}
		r.finish(Step{Action: Discard})
		r.engineRequest.HandleClientGone(now)
		r.release()
	})
}

// finish sets the final step; only the first counts. The dispatcher's lock is held.
func (r *Request) finish(step Step) {
	if r.finished {
		return
	}
	r.finished = true
	r.finalStep = step
	r.cancelWaitingAttempts()
	r.steps <- nil
	r.release() // it may be finished with no attempt out, by the counter's result or a timer
}

// cancelWaitingAttempts guards against an attempt that waits for its connection and is written after the
// final answer, or after the client has gone, where the settings allow no cancellation. It ends as NotSent,
// which says nothing against its backend.
func (r *Request) cancelWaitingAttempts() {
	for _, attempt := range r.attempts {
		if attempt.state.leaveWaiting(attemptCanceled) {
			r.dispatcher.noteEnded(attempt, policy.NotSent)
		}
	}
}

// release forgets the request once nothing more can come for it. It does nothing while the engine has not
// returned its part of the request. The dispatcher's lock is held.
func (r *Request) release() {
	if r.engineRequest != nil && r.engineRequest.Done() {
		delete(r.dispatcher.requests, r.id)
	}
}
