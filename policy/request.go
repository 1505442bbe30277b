package policy

// Request is the handle of a submitted request.
type Request struct {
	engine          *Engine
	id              RequestID
	class           *class
	plan            *plan
	tenant          *tenant
	units           float64
	entryPoints     float64
	entryPointIndex int // index of this instance among the tenant's entry points

	submittedAt Instant
	answerDueAt Instant // see answerDue
	deadline    Instant // when the client gives up

	hardQuotaUnits    float64 // drawn from the hard quota
	withinQuota       bool    // charged to the quota; false: beyond the quota, or not admitted yet
	waitingForCounter bool
	responseStarted   bool
	finished          bool

	attempts []*attempt
	inFlight int
}

func newRequest(e *Engine, now Instant, spec RequestSpec) *Request {
	instances := e.instances()
	return &Request{
		engine:          e,
		id:              spec.ID,
		units:           max(spec.Units, 0),
		entryPoints:     float64(max(spec.EntryPoints, 1)),
		entryPointIndex: ((e.settings.InstanceIndex-spec.FirstInstance)%instances + instances) % instances,
		submittedAt:     now,
		deadline:        now.Add(max(spec.Remaining, 0)),
	}
}

// abortUnknownClassOrPlan aborts a request whose class or plan is not in the settings.
func (r *Request) abortUnknownClassOrPlan(spec RequestSpec) {
	r.engine.effects.LogUnknownClassOrPlan(spec.Class, spec.Plan)
	r.finished = true
	r.engine.effects.Abort(r.id)
}

// HandleResponseStarted handles the start of an attempt's response. The response is streamed to the client, so no other
// attempt may follow.
func (r *Request) HandleResponseStarted(now Instant, id AttemptID) {
	r.responseStarted = true
	if int(id) < len(r.attempts) {
		r.attempts[id].backend.lastAnswerAt = now
	}
}

// Done reports whether the request is finished and has no attempt in flight: the caller may then drop the handle.
func (r *Request) Done() bool { return r.finished && r.inFlight == 0 }

// finish ends the request. It refunds the request's units if no attempt was sent, and cancels the attempts in flight
// where the settings allow it and no response has begun.
func (r *Request) finish() {
	r.finished = true
	if r.waitingForCounter {
		r.waitingForCounter = false
		r.tenant.waiting--
	}
	if len(r.attempts) == 0 {
		r.refundUnits()
	}
	if r.engine.settings.Cancellation && !r.responseStarted {
		r.cancelInFlight()
	}
}

// refundUnits returns the units that the request drew from the hard quota and those that were charged to the quota.
func (r *Request) refundUnits() {
	t := r.tenant
	t.hardQuotaBucket.Units += r.hardQuotaUnits
	if r.withinQuota {
		t.unreportedUnits -= r.units
		t.localUsage.Units -= r.units
	}
}

// cancelInFlight cancels all attempts in flight.
func (r *Request) cancelInFlight() {
	for id, a := range r.attempts {
		if a.inFlight {
			r.engine.effects.Cancel(r.id, AttemptID(id))
		}
	}
}
