package policy

import (
	"fmt"
	"math"
)

// Request is the handle of a request that was submitted.
type Request struct {
	engine      *Engine
	id          RequestID
	class       *class
	plan        *plan
	tenant      *tenant
	units       float64
	entryPoints float64
	position    int // this instance's place among the tenant's entry points

	submittedAt int64
	objectiveAt int64 // when the answer is due
	deadline    int64 // when the client gives up

	hardQuotaUnits    float64 // drawn from the hard quota
	withinQuota       bool    // counted as admitted; false: beyond the quota, or not admitted yet
	waitingForCounter bool
	responseStarted   bool
	finished          bool

	attempts []*attempt
	inFlight int
}

// attempt is one of a request's attempts.
type attempt struct {
	backend        *backend
	zone           ZoneID // of the backend, when the attempt was sent
	group          GroupID
	sentAt         int64
	concurrency    float64 // attempts in flight at the backend from this instance, with this one
	inFlight       bool
	mayHaveRun     bool
	overdue        bool // in flight for longer than the attempt timeout
	baselineSample bool // one of the first attempts of the instance
}

func newRequest(e *Engine, now int64, spec RequestSpec) *Request {
	instances := max(e.settings.Instances, 1)
	return &Request{
		engine:      e,
		id:          spec.ID,
		units:       max(spec.Units, 0),
		entryPoints: float64(max(spec.EntryPoints, 1)),
		position:    ((e.settings.InstanceIndex-spec.FirstInstance)%instances + instances) % instances,
		submittedAt: now,
		deadline:    now + max(spec.Remaining, 0),
	}
}

// abortUnknown aborts a request whose class or plan is in no table.
func (r *Request) abortUnknown(spec RequestSpec) {
	text := fmt.Sprintf("transaction of unknown profile %d or plan %d broken off", spec.Class, spec.Plan)
	r.engine.effects.Log(text)
	r.finished = true
	r.engine.effects.Abort(r.id)
}

// addAttempt records that another attempt is in flight at a backend.
func (r *Request) addAttempt(now int64, b *backend) *attempt {
	e := r.engine
	r.inFlight++
	r.tenant.inFlight++
	b.inFlight++
	e.inFlight++
	e.promptInFlight++
	a := &attempt{
		backend:        b,
		zone:           b.zone,
		group:          b.group,
		sentAt:         now,
		concurrency:    float64(b.inFlight),
		inFlight:       true,
		mayHaveRun:     true,
		baselineSample: e.attemptsSent < baselineSamples,
	}
	r.attempts = append(r.attempts, a)
	e.attemptsSent++
	b.lastSentAt = now
	if e.warmingUp(now, b) {
		b.lastSlowStartAt = now
	}
	return a
}

// removeAttempt records that an attempt is no longer in flight.
func (r *Request) removeAttempt(a *attempt, outcome Outcome) {
	a.inFlight = false
	a.mayHaveRun = outcome.mayHaveRun()
	r.inFlight--
	r.tenant.inFlight--
	a.backend.inFlight--
	r.engine.inFlight--
	if !a.overdue {
		r.engine.promptInFlight--
	}
}

// release marks the request as finished, and gives back the units that it holds if no attempt was sent.
func (r *Request) release() {
	t := r.tenant
	if r.waitingForCounter {
		t.waiting--
	}
	r.finished = true
	r.waitingForCounter = false
	if len(r.attempts) > 0 {
		return
	}
	t.hardQuota.Units += r.hardQuotaUnits
	if r.withinQuota {
		t.unreported -= r.units
		t.localUsage.Units -= r.units
	}
}

// correctUnits charges what a request within the quota really counted, where that is known only afterwards.
func (r *Request) correctUnits(result *AttemptResult) {
	known := r.engine.settings.PostPaid && result.ActualUnits > 0
	if known && result.Outcome == Succeeded && r.withinQuota {
		r.tenant.unreported += result.ActualUnits - r.units // reported with the next call
		r.tenant.localUsage.Units += result.ActualUnits - r.units
	}
}

// keyKnownUntil returns until when backends know the request's idempotency key from its earlier attempts.
func (r *Request) keyKnownUntil() int64 {
	until := int64(math.MaxInt64)
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.Idempotency == IdempotentWithKey {
			until = min(until, a.sentAt+r.class.DedupWindow)
		}
	}
	return until
}

// cancelInFlight cancels the attempts that are in flight.
func (r *Request) cancelInFlight() {
	for id, a := range r.attempts {
		if a.inFlight {
			r.engine.effects.Cancel(r.id, AttemptID(id))
		}
	}
}

// loadAt returns the backend's load; each earlier attempt of the request there adds triedLoad.
func (r *Request) loadAt(b *backend, triedLoad float64) float64 {
	load := b.load()
	for _, a := range r.attempts {
		if a.backend == b {
			load += triedLoad
		}
	}
	return load
}

// HandleResponseStarted reports that the response of an attempt has begun to stream: it belongs to the client
// from now on.
func (r *Request) HandleResponseStarted(now int64, id AttemptID) {
	r.responseStarted = true
	if int(id) < len(r.attempts) {
		r.attempts[id].backend.lastAnswerAt = now
	}
}

// Done reports whether the request is over: nothing more comes for this handle.
func (r *Request) Done() bool { return r.finished && r.inFlight == 0 }
