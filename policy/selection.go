package policy

import (
	"cmp"
	"math"
)

// rankBackend computes a backend's rank. Backends are ordered by measured latency relative to the fleet's, in
// steps of some 40% (finer ones are chance); then the own zone first, where crossing has a price; then by
// fair shares, the own first; then by the time since the last attempt, times capacity. A backend that warms
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
		// Within its budget it has no queue, however full the warm backends are.
		b.estimatedLatency = min(fleet, e.baselineLatency.Value)
	}
	cost := math.Round(2 * math.Log2(max(b.estimatedLatency, 1)/max(fleet, 1)))
	// The limit follows the latency in steps too: otherwise chance alone would lift a backend over it.
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

// latencyBudget returns the likely latency that a backend may have: two fifths of the time to the objective
// less the extra for its units (few take 2.5 times the likely), at most 2.5 baselines. Urgency scales both.
func (e *Engine) latencyBudget(now int64, r *Request, urgency float64) float64 {
	extra := (e.relativeCost(r.units) - 1) * e.latency.Value
	budget := (float64(r.objectiveAt-now) - extra) / 2.5
	if e.baselineKnown() {
		budget = min(budget, 2.5*e.baselineLatency.Value)
	}
	return budget * urgency
}

// pickBackend returns the first ranked backend below its concurrency limit, or else the least loaded, of
// those likely to answer within the latency budget; nil if there is none. An instance has at most one or two
// attempts in flight, plus its part of one for each backend and 1.3 times what it answers in the budget.
func (e *Engine) pickBackend(now int64, r *Request, urgency float64) *backend {
	budget, fairShare := e.latencyBudget(now, r, urgency), e.fairSharePerBackend()
	if float64(e.promptInFlight) >= min(2, 1+fairShare)+fairShare+1.3*e.throughput*budget/float64(second) {
		return nil
	}
	var best, first *backend
	minLoad := math.Inf(1)
	for _, b := range e.ranked {
		ejected := now < b.health.ejectedUntil || b.health.ejections > 0 && b.inFlight > 0
		if ejected || !r.mayAttempt(now, b) {
			continue
		}
		first = cmp.Or(first, b)
		if b.likelyLatency() > budget {
			continue
		}
		load := r.loadAt(b, 2) // backends tried before go last
		if load <= 1 {
			return b
		}
		if load < minLoad {
			best, minLoad = b, load
		}
	}
	// With nothing in flight nothing is measured, and one late answer would close a backend until it is forgotten.
	if best == nil && e.inFlight == 0 && e.latency.Value <= budget {
		return first
	}
	return best
}

// likelyLatency returns the latency with one more attempt. The 2 stands for the other instances' unknown part
// of a queue, the 1 for the concurrency at a backend that is not measured yet.
func (b *backend) likelyLatency() float64 {
	return b.estimatedLatency * float64(b.inFlight+3) / (max(b.latencyConcurrency, 1) + 2)
}
