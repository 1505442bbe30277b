package policy

import (
	"cmp"
	"math"
)

// rankBackend rates a backend. They are ordered by the latency against the fleet's, as far as it was
// measured, in steps of some 40% (finer is chance); then those of the own zone where crossing has a price;
// then by the fair shares, the own first; then those not sent to for the longest, by capacity. One that warms
// up goes first: its turns are few, and work may be what warms it.
func (e *Engine) rankBackend(now int64, b *backend) {
	warmth := e.warmth(now, b)
	e.effectiveBackends += warmth
	e.effectiveCapacity += warmth * b.capacity
	fleet, warmingUp := e.latency.Value, e.warmingUp(now, b)
	b.estimatedLatency = fleet
	if !warmingUp {
		b.estimatedLatency = b.latency.Blend(fleet, 3)
	} else if e.baselineKnown() {
		// Within its budget there is no queue, however full the warm ones are.
		b.estimatedLatency = min(fleet, e.baselineLatency.Value)
	}
	cost := math.Round(2 * math.Log2(max(b.estimatedLatency, 1)/max(fleet, 1)))
	// The limit follows the latency, in steps too, or chance alone would lift one over it.
	b.concurrencyLimit = min(max(math.Exp2(-cost/2), 0.25), 2)
	if e.settings.CrossZoneCost > 0 && b.zone != e.settings.Zone {
		cost += 0.5
	}
	if warmingUp {
		cost--
	}
	b.rank = rank{cost: cost, due: float64(now-b.lastSentAt) * b.capacity}
}

func (b *backend) compareRank(other *backend) int {
	return cmp.Or(cmp.Compare(b.rank.cost, other.rank.cost), cmp.Compare(b.distance, other.distance),
		cmp.Compare(other.rank.due, b.rank.due), cmp.Compare(b.id, other.id))
}

// latencyBudget is the latency that a backend may likely have: two fifths of the time left to the objective
// (few take 2.5 times the likely), less what its units take more, and 2.5 baselines. Urgency shortens both.
func (e *Engine) latencyBudget(now int64, r *Request, urgency float64) float64 {
	extra := (e.relativeCost(r.units) - 1) * e.latency.Value
	budget := (float64(r.objectiveAt-now) - extra) / 2.5
	if e.baselineKnown() {
		budget = min(budget, 2.5*e.baselineLatency.Value)
	}
	return budget * urgency
}

// pickBackend returns the first backend in the order that is below its concurrency limit, with none the least
// loaded; of those only that likely answer within the latency budget; nil: none. An instance has no more in
// flight than one or two, its part of one for each backend, and 1.3 times what it answers in the budget.
func (e *Engine) pickBackend(now int64, r *Request, urgency float64) *backend {
	budget, fairShare := e.latencyBudget(now, r, urgency), e.fairSharePerBackend()
	if float64(e.promptInFlight) >= min(2, 1+fairShare)+fairShare+1.3*e.throughput*budget/float64(second) {
		return nil
	}
	var best *backend
	minLoad := math.Inf(1)
	for _, b := range e.ranked {
		ejected := now < b.health.ejectedUntil || b.health.symptoms > 0 && b.inFlight > 0
		if ejected || !r.mayAttempt(now, b) || b.likelyLatency() > budget {
			continue
		}
		load := r.loadAt(b, 2) // tried ones last
		if load <= 1 {
			return b
		}
		if load < minLoad {
			best, minLoad = b, load
		}
	}
	return best
}

// likelyLatency is the latency with one more attempt. Two: the others' share of a queue is not known. One:
// the concurrency at a backend that is not measured yet.
func (b *backend) likelyLatency() float64 {
	return b.estimatedLatency * float64(b.inFlight+3) / (max(b.latencyConcurrency, 1) + 2)
}
