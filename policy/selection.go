package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fleetPriorSamples is the weight of the fleet's latency, in answers, against a backend's own.
	fleetPriorSamples = 3
	// rankStepsPerDoubling is how many steps of the rank a doubled latency makes: some 40% each. Finer ones are
	// chance.
	rankStepsPerDoubling = 2
	// minSoftInFlightLimit and maxSoftInFlightLimit bound how many attempts of this instance a backend takes before
	// those ranked behind it.
	minSoftInFlightLimit = 0.25
	maxSoftInFlightLimit = 2
	// crossZonePenaltySteps is what a crossing between zones adds to the rank, where it has a price: less than a step
	// of the latency.
	crossZonePenaltySteps = 0.5
	// warmingUpBonusSteps is taken off a warming backend's rank: its turns are few, and work may be what warms it.
	warmingUpBonusSteps = 1
)

// rank orders backends: the lowest cost first, then the nearest, then the one that is most due.
type rank struct {
	cost             float64 // steps of latency above the fleet's
	weightedIdleTime float64 // nanoseconds since the last attempt, times capacity
}

// rankBackends orders the backends that are ready.
func (e *Engine) rankBackends(now Instant) {
	e.ranked = e.ranked[:0]
	e.ready.effectiveBackends = 0
	e.ready.effectiveWeight = 0
	for _, b := range e.endpoints {
		if b.ready {
			e.ranked = append(e.ranked, b)
			e.rankBackend(now, b)
		}
	}
	slices.SortFunc(e.ranked, (*backend).compareRank)
}

// rankBackend computes a backend's rank and how many attempts it takes before those ranked behind it, and adds it
// to e.ready, so only rankBackends may call it. Backends are ordered by their latency relative to the fleet's, in
// steps; then the own zone first, where crossing has a price; then by fair shares, the own first; then by the time
// since the last attempt, times weight.
func (e *Engine) rankBackend(now Instant, b *backend) {
	capacityShare := e.capacityShare(now, b)
	e.ready.effectiveBackends += capacityShare
	e.ready.effectiveWeight += capacityShare * b.weight
	b.latency.estimate = e.estimateLatency(now, b)
	steps := math.Round(rankStepsPerDoubling * math.Log2(max(b.latency.estimate, 1)/max(e.latency.mean.Value, 1)))
	// It follows the latency in steps too: otherwise chance alone would move attempts between backends.
	b.softInFlightLimit = min(max(math.Exp2(-steps/rankStepsPerDoubling), minSoftInFlightLimit), maxSoftInFlightLimit)
	b.rank = rank{
		cost:             steps + e.rankPenalty(now, b),
		weightedIdleTime: float64(now.Sub(b.lastSentAt)) * b.weight,
	}
}

// rankPenalty returns what is added to a backend's rank besides its latency, in steps.
func (e *Engine) rankPenalty(now Instant, b *backend) float64 {
	penalty := 0.0
	if e.settings.CrossZoneCost > 0 && b.zone != e.settings.Zone {
		penalty += crossZonePenaltySteps
	}
	if e.warmingUp(now, b) {
		penalty -= warmingUpBonusSteps
	}
	return penalty
}

// estimateLatency returns a backend's latency as far as it is measured, in nanoseconds. A warming backend has
// no queue within its budget, however full the warm ones are.
func (e *Engine) estimateLatency(now Instant, b *backend) float64 {
	fleet := e.latency.mean.Value
	if !e.warmingUp(now, b) {
		return b.latency.mean.Blend(fleet, fleetPriorSamples)
	}
	if e.baselineKnown() {
		return min(fleet, e.latency.baseline.Value)
	}
	return fleet
}

func (b *backend) compareRank(other *backend) int {
	return cmp.Or(
		cmp.Compare(b.rank.cost, other.rank.cost),
		cmp.Compare(b.ringDistance, other.ringDistance),
		cmp.Compare(other.rank.weightedIdleTime, b.rank.weightedIdleTime),
		cmp.Compare(b.id, other.id),
	)
}

// pickBackend returns the first ranked backend that takes one more attempt within its softInFlightLimit, or else
// the least loaded, of those that may get an attempt and likely answer within the latency budget; nil if there is
// none, or if this instance has too much in flight. A backend slower than the fleet may prefer less than one.
func (e *Engine) pickBackend(now Instant, r *Request, factor budgetFactor) *backend {
	budget := e.latencyBudget(now, r, factor)
	if e.atInFlightLimit(budget) {
		return nil
	}
	var firstAllowed, leastLoaded *backend
	minLoad := math.Inf(1)
	for _, b := range e.ranked {
		if b.outlier.isBlocked(now, b.inFlight) || !r.mayAttempt(now, b) {
			continue
		}
		firstAllowed = cmp.Or(firstAllowed, b)
		if b.expectedLatency() > budget {
			continue
		}
		load := r.loadAt(b)
		if load <= 1 {
			return b
		}
		if load < minLoad {
			leastLoaded = b
			minLoad = load
		}
	}
	// With nothing in flight nothing is measured, and one late answer would close a backend until it is forgotten.
	if leastLoaded == nil && e.inFlight == 0 && e.latency.mean.Value <= budget {
		return firstAllowed
	}
	return leastLoaded
}
