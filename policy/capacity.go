package policy

import "time"

// budgetFactor scales the latency budget of a request: a factor below 1 keeps the request away from busy backends.
type budgetFactor float64

// fullBudget is the budget factor of a request that is charged to its quota.
const fullBudget budgetFactor = 1

const (
	// tailLatencyRatio is the multiple of the expected latency that few attempts exceed. The time that is left for an
	// answer is divided by it to get the budget for the expected latency.
	tailLatencyRatio = 2.5
	// maxBaselineRatio bounds the latency budget to a multiple of the baseline, also where the objective allows more.
	maxBaselineRatio = 2.5
	// maxBaseInFlight bounds the attempts that may be in flight before any throughput is measured, besides one per
	// backend of this instance.
	maxBaseInFlight = 2
	// throughputMargin lets the attempts in flight exceed the number that the measured throughput implies, so that the
	// throughput can grow.
	throughputMargin = 1.3
	// assumedRemoteInFlight is the number of attempts that the other instances are assumed to have in flight at a
	// backend, as the actual number is unknown.
	assumedRemoteInFlight = 2
	// triedBackendLoad is added to a backend's load for each earlier attempt of the same request there, so that a retry
	// prefers other backends.
	triedBackendLoad = 2
)

// lacksCapacity reports whether no backend can take the request now. A class with CheckOnly needs no backend.
func (r *Request) lacksCapacity(now Instant) bool {
	return !r.class.CheckOnly && r.engine.pickBackend(now, r, fullBudget) == nil
}

// latencyBudget returns the highest expected latency at which a backend may get the request, in nanoseconds: the time
// until the answer is due, minus the extra latency for the request's units, divided by tailLatencyRatio, and at most
// maxBaselineRatio times the baseline. The result is multiplied by factor.
func (e *Engine) latencyBudget(now Instant, r *Request, factor budgetFactor) float64 {
	extraLatency := (e.relativeCost(r.units) - 1) * e.latency.mean.Value
	budget := (float64(r.answerDueAt.Sub(now)) - extraLatency) / tailLatencyRatio
	if e.baselineKnown() {
		budget = min(budget, maxBaselineRatio*e.latency.baseline.Value)
	}
	return budget * float64(factor)
}

// atInFlightLimit reports whether this instance has reached its limit of attempts in flight. Overdue attempts are not
// counted. The limit is a base of one to two attempts, plus one per backend of this instance, plus throughputMargin
// times the number of answers that this instance gets within the latency budget, which is in nanoseconds.
func (e *Engine) atInFlightLimit(budget float64) bool {
	ownBackends := e.backendsPerInstance()
	base := min(maxBaseInFlight, 1+ownBackends) + ownBackends
	limit := base + throughputMargin*e.throughput.perSecond*budget/float64(time.Second)
	return float64(e.inFlightNotOverdue) >= limit
}

// expectedLatency returns a backend's latency with one more attempt in flight, in nanoseconds: its estimate, scaled by
// the queue length relative to that during the measurements. For a backend that is not measured yet, one attempt in
// flight during the measurements is assumed.
func (b *backend) expectedLatency() float64 {
	queue := float64(b.inFlight + 1 + assumedRemoteInFlight)
	return b.latency.estimate * queue / (max(b.latency.concurrency, 1) + assumedRemoteInFlight)
}

// load returns the backend's attempts in flight with one more, relative to its softInFlightLimit. Above 1, lower-ranked
// backends come first.
func (b *backend) load() float64 { return float64(b.inFlight+1) / b.softInFlightLimit }

// loadAt returns the backend's load for the request: each earlier attempt of the request there adds triedBackendLoad.
func (r *Request) loadAt(b *backend) float64 {
	load := b.load()
	for _, a := range r.attempts {
		if a.backend == b {
			load += triedBackendLoad
		}
	}
	return load
}
