package policy

import "time"

// budgetFactor scales the latency budget of a request: a smaller one keeps it away from busy backends.
type budgetFactor float64

// fullBudget is the factor of a request that is charged to its quota.
const fullBudget budgetFactor = 1

const (
	// tailLatencyRatio is the multiple of the likely latency that few attempts exceed: the budget for the likely
	// latency is the time that is left over this ratio.
	tailLatencyRatio = 2.5
	// maxBaselineRatio bounds the budget by the latency of an idle fleet, whatever the objective allows.
	maxBaselineRatio = 2.5
	// maxBaseInFlight bounds the attempts in flight, beside one for each of this instance's backends, before anything
	// is measured.
	maxBaseInFlight = 2
	// throughputMargin lets the attempts in flight exceed what the throughput accounts for, so that it can grow.
	throughputMargin = 1.3
	// assumedRemoteInFlight stands for the other instances' unknown part of a backend's queue.
	assumedRemoteInFlight = 2
	// triedBackendLoad is what each earlier attempt of a request adds to a backend's load: backends tried before go
	// last.
	triedBackendLoad = 2
)

// lacksCapacity reports whether no backend can take the request now. A class that only counts needs none.
func (r *Request) lacksCapacity(now Instant) bool {
	return !r.class.CheckOnly && r.engine.pickBackend(now, r, fullBudget) == nil
}

// latencyBudget returns the likely latency that a backend may have for the request: the time to the objective,
// less the extra for the request's units, over tailLatencyRatio, and at most maxBaselineRatio baselines.
//
// Inputs: the time left to the objective, the request's units. Result: nanoseconds.
func (e *Engine) latencyBudget(now Instant, r *Request, factor budgetFactor) float64 {
	extraLatency := (e.relativeCost(r.units) - 1) * e.latency.mean.Value
	budget := (float64(r.answerDueAt.Sub(now)) - extraLatency) / tailLatencyRatio
	if e.baselineKnown() {
		budget = min(budget, maxBaselineRatio*e.latency.baseline.Value)
	}
	return budget * float64(factor)
}

// atInFlightLimit reports whether this instance has as many attempts in flight as it may, overdue ones not
// counted: one or two, plus one for each of its backends, plus throughputMargin times what it answers within
// the budget.
//
// Inputs: the latency budget in nanoseconds, the throughput in answers a second, the backends for each instance.
func (e *Engine) atInFlightLimit(budget float64) bool {
	ownBackends := e.backendsPerInstance()
	base := min(maxBaseInFlight, 1+ownBackends) + ownBackends
	limit := base + throughputMargin*e.throughput.perSecond*budget/float64(time.Second)
	return float64(e.inFlightNotOverdue) >= limit
}

// expectedLatency returns a backend's latency with one more attempt, in nanoseconds. A backend that is not
// measured yet is taken to have been measured with one attempt in flight.
func (b *backend) expectedLatency() float64 {
	queue := float64(b.inFlight + 1 + assumedRemoteInFlight)
	return b.latency.estimate * queue / (max(b.latency.concurrency, 1) + assumedRemoteInFlight)
}

// load returns how full one more attempt would make the backend: above 1, those ranked behind it go first.
func (b *backend) load() float64 { return float64(b.inFlight+1) / b.softInFlightLimit }

// loadAt returns the backend's load for the request; each earlier attempt of the request there adds triedBackendLoad.
func (r *Request) loadAt(b *backend) float64 {
	load := b.load()
	for _, a := range r.attempts {
		if a.backend == b {
			load += triedBackendLoad
		}
	}
	return load
}
