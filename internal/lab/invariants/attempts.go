package invariants

import (
	"slices"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// checkArrival checks an attempt that arrived completely at a backend against all rules.
func (c *Checker) checkArrival(s *submission, event Event) {
	if !s.answeredAt.IsZero() && event.At.After(s.answeredAt.Add(c.settings.TransitSlack)) {
		c.report(RuleOneAnswer, event.At, "submission %d: arrived at backend %d %s after its final answer",
			event.Submission, event.Backend, formatMillis(event.At.Sub(s.answeredAt)))
	}
	for _, earlier := range s.attempts {
		if !earlier.isRefused {
			c.checkDuplicateExecution(s, earlier, event)
		}
	}
	s.attempts = append(s.attempts, attempt{backend: event.Backend, at: event.At})
	delivered, ok := c.delivered[Route{Instance: s.Instance, Backend: event.Backend}]
	if ok && delivered.State != policy.EndpointReady {
		c.checkDrain(s, delivered, event)
	}
	c.checkSlowStart(event, delivered)
	if plan := c.settings.Plans[s.Plan]; plan.HardQuotaRate > 0 && !s.isQuotaDrawn {
		s.isQuotaDrawn = true
		c.drawHardQuota(s, event, plan)
	}
}

// checkDuplicateExecution checks an attempt against an earlier one that may have run.
func (c *Checker) checkDuplicateExecution(s *submission, earlier attempt, event Event) {
	class := c.settings.Classes[s.Class]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: arrived at backend %d though its attempt at backend %d may have run",
			event.Submission, event.Backend, earlier.backend)
	case class.Idempotency != policy.IdempotentWithKey:
		return
	case !c.isInDedupScope(class.DedupScope, earlier.backend, event.Backend):
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: arrived at backend %d, outside the dedup scope of backend %d where it may have run",
			event.Submission, event.Backend, earlier.backend)
	case event.At.Sub(earlier.at) > class.DedupWindow+c.settings.TransitSlack:
		c.report(RuleNoDuplicateExecution, event.At,
			"submission %d: arrived at backend %d %s after an attempt that may have run, beyond the dedup window",
			event.Submission, event.Backend, formatMillis(event.At.Sub(earlier.at)))
	}
}

// isInDedupScope reports whether two backends share the idempotency keys that they have seen.
func (c *Checker) isInDedupScope(scope policy.DedupScope, a, b int) bool {
	switch scope {
	case policy.DedupByZone:
		return c.settings.Zone(a) == c.settings.Zone(b)
	case policy.DedupByGroup:
		return c.settings.Group(a) == c.settings.Group(b)
	}
	return true // DedupByAll
}

// checkDrain checks an attempt at a backend whose state was delivered to the instance as draining or gone.
func (c *Checker) checkDrain(s *submission, delivered, event Event) {
	overrun := event.At.Sub(delivered.At) - c.settings.DrainGrace - c.settings.TransitSlack
	if overrun > 0 {
		c.report(RuleDrain, event.At,
			"submission %d: instance %d sent to draining or removed backend %d, %s after the grace",
			event.Submission, s.Instance, event.Backend, formatMillis(overrun))
	}
}

// maxAttemptsBeyondBudget is how many attempts of the largest observed size a warming backend may get beyond its
// budget. Attempts are indivisible, so their random sizes alone must not count as a violation.
const maxAttemptsBeyondBudget = 3

// arrival is the work of an attempt that arrived at a backend while it was warming up.
type arrival struct {
	at          monotime.Instant
	workSeconds float64
}

// checkSlowStart compares the work that a warming backend was sent within the overload window with the budget.
// The backend's actual capacity is not observable. The settings give only its initial share and the time by which
// it is complete, so the check assumes a linear increase between them.
func (c *Checker) checkSlowStart(event, delivered Event) {
	settings := &c.settings
	hasWarmedUp := event.StartedAt.IsZero() || event.At.Sub(event.StartedAt) > settings.SlowStartDuration
	isDelivered := delivered.StartedAt == event.StartedAt
	if hasWarmedUp || !isDelivered {
		return
	}
	workSeconds, largestSeconds := c.addArrival(event)
	budgetSeconds := settings.slowStartBudget(event.StartedAt, event.At)
	isOverloaded := workSeconds > budgetSeconds+maxAttemptsBeyondBudget*largestSeconds
	if isOverloaded && c.overloaded[event.Backend] != event.StartedAt {
		c.overloaded[event.Backend] = event.StartedAt
		c.report(RuleSlowStart, event.At,
			"backend %d, started %s ago, was sent %.3f s of work in %s; its budget is %.3f s",
			event.Backend, formatMillis(event.At.Sub(event.StartedAt)), workSeconds,
			formatMillis(settings.OverloadWindow), budgetSeconds)
	}
}

// slowStartBudget returns the work, in core-seconds, that a warming backend can accept within the overload window
// that ends at a time. Even right after the start the budget is that of a whole window, so a burst at the start
// may be as large as one window's work.
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

// addArrival adds an arrival to those of its backend in the overload window, and returns their total work and the
// work of the largest.
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

// roundingTolerance is the largest rounding error of sums of units.
const roundingTolerance = 1e-6

// hardQuota is a tenant's token bucket as defined by the rule. Its balance may become negative.
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
			"tenant %d: used %.2f units beyond its hard quota; the slack is %.2f",
			s.Tenant, -quota.tokens, slack)
	}
}
