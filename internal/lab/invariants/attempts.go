package invariants

import (
	"slices"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// checkArrival checks an attempt that arrived whole at a backend against every rule.
func (c *Checker) checkArrival(s *submission, event Event) {
	if !s.answeredAt.IsZero() && event.At.After(s.answeredAt.Add(c.settings.TransitSlack)) {
		c.report(RuleOneAnswer, event.At, "submission %d: came to backend %d %s after its final answer",
			event.Submission, event.Backend, formatMillis(event.At.Sub(s.answeredAt)))
	}
	for _, earlier := range s.attempts {
		if !earlier.refused {
			c.checkRerun(s, earlier, event)
		}
	}
	s.attempts = append(s.attempts, attempt{backend: event.Backend, at: event.At})
	delivered, ok := c.delivered[Route{Instance: s.Instance, Backend: event.Backend}]
	if ok && delivered.State != policy.EndpointReady {
		c.checkDrain(s, delivered, event)
	}
	c.checkSlowStart(event, delivered)
	if plan := c.settings.Plans[s.Plan]; plan.HardQuotaRate > 0 && !s.drawn {
		s.drawn = true
		c.drawHardQuota(s, event, plan)
	}
}

// checkRerun checks an attempt against an earlier one that may have run.
func (c *Checker) checkRerun(s *submission, earlier attempt, event Event) {
	class := c.settings.Classes[s.Class]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: came to backend %d though its attempt at %d may have run",
			event.Submission, event.Backend, earlier.backend)
	case class.Idempotency != policy.IdempotentWithKey:
		return
	case !c.isInDedupScope(class.DedupScope, earlier.backend, event.Backend):
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: came to backend %d, outside the dedup scope of %d where it may have run",
			event.Submission, event.Backend, earlier.backend)
	case event.At.Sub(earlier.at) > class.DedupWindow+c.settings.TransitSlack:
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: came to backend %d %s after one that may have run, beyond the dedup window",
			event.Submission, event.Backend, formatMillis(event.At.Sub(earlier.at)))
	}
}

// isInDedupScope reports whether two backends share their memory of keys.
func (c *Checker) isInDedupScope(scope policy.DedupScope, a, b int) bool {
	switch scope {
	case policy.DedupByZone:
		return c.settings.Zone(a) == c.settings.Zone(b)
	case policy.DedupByGroup:
		return c.settings.Group(a) == c.settings.Group(b)
	}
	return true // DedupByAll
}

// checkDrain checks an attempt at a backend that was delivered as draining or gone.
func (c *Checker) checkDrain(s *submission, delivered, event Event) {
	late := event.At.Sub(delivered.At) - c.settings.DrainGrace - c.settings.TransitSlack
	if late > 0 {
		c.report(RuleDrain, event.At,
			"submission %d: instance %d sent to backend %d %s after the grace of its draining or being gone",
			event.Submission, s.Instance, event.Backend, formatMillis(late))
	}
}

// attemptsBeyondBudget is how many attempts of the largest size a warming backend may be sent beyond its
// budget. An attempt cannot be sent in part, so chance in their size breaks no rule.
const attemptsBeyondBudget = 3

// arrival is work that arrived at a backend while it warmed up.
type arrival struct {
	at          monotime.Instant
	workSeconds float64
}

// checkSlowStart adds up what a warming backend was sent within the overload window. A backend's
// capacity at an age is not observed: given are only the share that it starts with and when it has all of it at
// the latest. The check assumes a straight line between the two.
func (c *Checker) checkSlowStart(event, delivered Event) {
	settings := &c.settings
	hasWarmedUp := event.StartedAt.IsZero() || event.At.Sub(event.StartedAt) > settings.SlowStartDuration
	isDelivered := delivered.StartedAt == event.StartedAt
	if hasWarmedUp || !isDelivered {
		return
	}
	workSeconds, largestSeconds := c.addArrival(event)
	budgetSeconds := settings.slowStartBudget(event.StartedAt, event.At)
	isOverloaded := workSeconds > budgetSeconds+attemptsBeyondBudget*largestSeconds
	if isOverloaded && c.overloaded[event.Backend] != event.StartedAt {
		c.overloaded[event.Backend] = event.StartedAt
		c.report(RuleSlowStart, event.At,
			"backend %d, started %s ago, was sent %.3f s of work in %s and bears %.3f s",
			event.Backend, formatMillis(event.At.Sub(event.StartedAt)), workSeconds,
			formatMillis(settings.OverloadWindow), budgetSeconds)
	}
}

// slowStartBudget returns the work, in seconds of a core, that a warming backend bears within the collapse
// window that ends at a time. The whole window counts from the start on: a burst at the start is borne as far
// as a window bears it.
func (s *Settings) slowStartBudget(startedAt, at monotime.Instant) float64 {
	capacityAt := func(then monotime.Instant) float64 {
		age := float64(then.Sub(startedAt))
		slowStart := float64(max(s.SlowStartDuration, 1))
		return s.SlowStartShare + (1-s.SlowStartShare)*age/slowStart
	}
	windowStart := monotime.Later(at.Add(-s.OverloadWindow), startedAt)
	capacity := (capacityAt(windowStart) + capacityAt(at)) / 2
	return s.OverloadMultiple * s.Cores * capacity * float64(s.OverloadWindow) / float64(time.Second)
}

// addArrival adds an arrival to those of its backend within the window, and returns the work of all of them
// and of the largest.
func (c *Checker) addArrival(event Event) (workSeconds, largestSeconds float64) {
	all := append(c.arrivals[event.Backend], arrival{at: event.At, workSeconds: event.WorkSeconds})
	all = slices.DeleteFunc(all, func(a arrival) bool {
		return event.At.Sub(a.at) > c.settings.OverloadWindow || a.at.Before(event.StartedAt)
	})
	c.arrivals[event.Backend] = all
	for _, a := range all {
		workSeconds += a.workSeconds
		largestSeconds = max(largestSeconds, a.workSeconds)
	}
	return workSeconds, largestSeconds
}

// roundingTolerance is how far sums of units may be off.
const roundingTolerance = 1e-6

// hardQuota is a tenant's token bucket as the rule defines it; it may be overdrawn.
type hardQuota struct {
	tokens     float64
	refilledAt monotime.Instant
}

// drawHardQuota draws a submission's units from its tenant's hard quota.
func (c *Checker) drawHardQuota(s *submission, event Event, plan policy.PlanSettings) {
	quota := c.quotas[s.Tenant]
	if quota == nil {
		quota = &hardQuota{tokens: plan.HardQuotaBurst, refilledAt: event.At}
		c.quotas[s.Tenant] = quota
	}
	refilled := monotime.Seconds(event.At.Sub(quota.refilledAt)) * plan.HardQuotaRate
	quota.tokens = min(quota.tokens+refilled, plan.HardQuotaBurst)
	quota.refilledAt = event.At
	quota.tokens -= s.Units
	if slack := c.settings.HardQuotaSlack[s.Plan]; quota.tokens < -slack-roundingTolerance {
		c.report(RuleHardQuota, event.At,
			"tenant %d: %.2f units beyond its hard quota, with a slack of %.2f",
			s.Tenant, -quota.tokens, slack)
	}
}
