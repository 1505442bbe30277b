package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// fleetPriorSamples is the weight, in answers, of the fleet's latency as the prior of a backend's estimate.
	fleetPriorSamples = 3
	// rankStepsPerDoubling is the number of cost steps for a doubled latency, which makes a step about 40%. Smaller
	// differences between backends are mostly noise.
	rankStepsPerDoubling = 2
	// minSoftInFlightLimit and maxSoftInFlightLimit bound backend.softInFlightLimit.
	minSoftInFlightLimit = 0.25
	maxSoftInFlightLimit = 2
	// crossZonePenaltySteps is added to the cost of a backend in another zone if cross-zone attempts have a price. It is
	// less than one latency step.
	crossZonePenaltySteps = 0.5
	// warmingUpBonusSteps is subtracted from the cost of a backend that is warming up: it allows each instance few turns,
	// and it may need requests to warm up at all.
	warmingUpBonusSteps = 1
)

// rank is the sort key of a backend, together with its ringDistance: see compareRank.
type rank struct {
	cost             float64 // latency above the fleet's, in steps, plus rankPenalty
	weightedIdleTime float64 // nanoseconds since the last attempt, times the backend's weight
}

// rankBackends ranks the ready backends and sums up their capacity.
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

// rankBackend computes a backend's rank and its softInFlightLimit. It also adds the backend to the sums of e.ready, so
// only rankBackends may call it.
func (e *Engine) rankBackend(now Instant, b *backend) {
	capacityShare := e.capacityShare(now, b)
	e.ready.effectiveBackends += capacityShare
	e.ready.effectiveWeight += capacityShare * b.weight
	b.latency.estimate = e.estimateLatency(now, b)
	steps := math.Round(rankStepsPerDoubling * math.Log2(max(b.latency.estimate, 1)/max(e.latency.mean.Value, 1)))
	// The limit follows the latency in steps too, so that noise does not move attempts between backends.
	b.softInFlightLimit = min(max(math.Exp2(-steps/rankStepsPerDoubling), minSoftInFlightLimit), maxSoftInFlightLimit)
	b.rank = rank{
		cost:             steps + e.rankPenalty(now, b),
		weightedIdleTime: float64(now.Sub(b.lastSentAt)) * b.weight,
	}
}

// rankPenalty returns the part of a backend's cost that does not depend on its latency, in steps.
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

// estimateLatency returns the estimate of a backend's latency in nanoseconds: its own mean, blended with that of the
// fleet. A backend that is warming up has no queue as long as it gets no more than its budget, however full the other
// backends are, so its estimate is the fleet's mean, or the baseline if that is lower.
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

// compareRank orders the backends by cost, which compares latencies in steps and prefers the own zone where crossing
// zones has a price; then by fair shares on the ring, this instance's own first; then by the weighted time since the
// last attempt, the longest first.
func (b *backend) compareRank(other *backend) int {
	return cmp.Or(
		cmp.Compare(b.rank.cost, other.rank.cost),
		cmp.Compare(b.ringDistance, other.ringDistance),
		cmp.Compare(other.rank.weightedIdleTime, b.rank.weightedIdleTime),
		cmp.Compare(b.id, other.id),
	)
}

// pickBackend picks a backend for the next attempt of a request. Candidates are the backends that may get an attempt
// and whose expected latency is within the latency budget. Of these it returns the first in rank order whose load is
// at most 1, or else the least loaded one. The load of a backend slower than the fleet may always exceed 1, as its
// softInFlightLimit may be below 1. It returns nil if there is no candidate, or if this instance has reached its limit
// of attempts in flight.
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
	// With nothing in flight no latency is measured, so one late answer would exclude a backend until its measurements
	// have decayed. A backend that exceeds the budget may therefore be used then, if the fleet's mean does not.
	if leastLoaded == nil && e.inFlight == 0 && e.latency.mean.Value <= budget {
		return firstAllowed
	}
	return leastLoaded
}
