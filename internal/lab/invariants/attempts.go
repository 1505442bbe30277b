package invariants

import (
	"slices"

	"fawnplank/policy"
)

// checkArrival checks an attempt that arrived whole at a backend against every rule.
func (c *Checker) checkArrival(s *submission, event Event) {
	if s.answeredNanos > 0 && event.AtNanos > s.answeredNanos+c.settings.SlackNanos {
		c.report(RuleOneAnswer, event.AtNanos, "submission %d: came to backend %d %s after its final answer",
			event.Submission, event.Backend, formatMillis(event.AtNanos-s.answeredNanos))
	}
	for _, earlier := range s.attempts {
		if !earlier.refused {
			c.checkRerun(s, earlier, event)
		}
	}
	s.attempts = append(s.attempts, attempt{backend: event.Backend, atNanos: event.AtNanos})
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
		c.report(RuleNoRerun, event.AtNanos,
			"submission %d: came to backend %d though its attempt at %d may have run",
			event.Submission, event.Backend, earlier.backend)
	case class.Idempotency != policy.IdempotentWithKey:
		return
	case !c.isInDedupScope(class.DedupScope, earlier.backend, event.Backend):
		c.report(RuleNoRerun, event.AtNanos,
			"submission %d: came to backend %d, outside the dedup scope of %d where it may have run",
			event.Submission, event.Backend, earlier.backend)
	case event.AtNanos-earlier.atNanos > int64(class.DedupWindow)+c.settings.SlackNanos:
		c.report(RuleNoRerun, event.AtNanos,
			"submission %d: came to backend %d %s after one that may have run, beyond the dedup window",
			event.Submission, event.Backend, formatMillis(event.AtNanos-earlier.atNanos))
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
	lateNanos := event.AtNanos - delivered.AtNanos - c.settings.DrainGraceNanos - c.settings.SlackNanos
	if lateNanos > 0 {
		c.report(RuleDrain, event.AtNanos,
			"submission %d: instance %d sent to backend %d %s after the grace of its draining or being gone",
			event.Submission, s.Instance, event.Backend, formatMillis(lateNanos))
	}
}

// attemptsBeyondBudget is how many attempts of the largest size a warming backend may be sent beyond its
// budget. Nobody can send an attempt in part, so chance in their size breaks no rule.
const attemptsBeyondBudget = 3

// arrival is work that arrived at a backend while it warmed up.
type arrival struct {
	atNanos     int64
	workSeconds float64
}

// checkSlowStart adds up what a warming backend was sent within the overload window. Nobody knows a backend's
// capacity at an age: the gateway knows only the share that it starts with and when it has all of it at the
// latest. The check assumes a straight line between the two.
func (c *Checker) checkSlowStart(event, delivered Event) {
	settings := &c.settings
	hasWarmedUp := event.StartedNanos == 0 || event.AtNanos-event.StartedNanos > settings.SlowStartDurationNanos
	isDelivered := delivered.StartedNanos == event.StartedNanos
	if hasWarmedUp || !isDelivered {
		return
	}
	workSeconds, largestSeconds := c.addArrival(event)
	budgetSeconds := settings.slowStartBudget(event.StartedNanos, event.AtNanos)
	isOverloaded := workSeconds > budgetSeconds+attemptsBeyondBudget*largestSeconds
	if isOverloaded && c.overloaded[event.Backend] != event.StartedNanos {
		c.overloaded[event.Backend] = event.StartedNanos
		c.report(RuleSlowStart, event.AtNanos,
			"backend %d, started %s ago, was sent %.3f s of work in %s and bears %.3f s",
			event.Backend, formatMillis(event.AtNanos-event.StartedNanos), workSeconds,
			formatMillis(settings.OverloadWindowNanos), budgetSeconds)
	}
}

// slowStartBudget returns the work, in seconds of a core, that a warming backend bears within the collapse
// window that ends at a time. The whole window counts from the start on: a burst at the start is borne as far
// as a window bears it.
func (s *Settings) slowStartBudget(startedNanos, atNanos int64) float64 {
	capacityAt := func(nanos int64) float64 {
		age := float64(nanos - startedNanos)
		slowStart := float64(max(s.SlowStartDurationNanos, 1))
		return s.SlowStartShare + (1-s.SlowStartShare)*age/slowStart
	}
	windowStart := max(atNanos-s.OverloadWindowNanos, startedNanos)
	capacity := (capacityAt(windowStart) + capacityAt(atNanos)) / 2
	return s.OverloadMultiple * s.Cores * capacity * float64(s.OverloadWindowNanos) / 1e9
}

// addArrival adds an arrival to those of its backend within the window, and returns the work of all of them
// and of the largest.
func (c *Checker) addArrival(event Event) (workSeconds, largestSeconds float64) {
	all := append(c.arrivals[event.Backend], arrival{atNanos: event.AtNanos, workSeconds: event.WorkSeconds})
	all = slices.DeleteFunc(all, func(a arrival) bool {
		return event.AtNanos-a.atNanos > c.settings.OverloadWindowNanos || a.atNanos < event.StartedNanos
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
	tokens          float64
	refilledAtNanos int64
}

// drawHardQuota draws a submission's units from its tenant's hard quota.
func (c *Checker) drawHardQuota(s *submission, event Event, plan policy.PlanSettings) {
	quota := c.quotas[s.Tenant]
	if quota == nil {
		quota = &hardQuota{tokens: plan.HardQuotaBurst, refilledAtNanos: event.AtNanos}
		c.quotas[s.Tenant] = quota
	}
	refilled := float64(event.AtNanos-quota.refilledAtNanos) / 1e9 * plan.HardQuotaRate
	quota.tokens = min(quota.tokens+refilled, plan.HardQuotaBurst)
	quota.refilledAtNanos = event.AtNanos
	quota.tokens -= s.Units
	if slack := c.settings.HardQuotaSlack[s.Plan]; quota.tokens < -slack-roundingTolerance {
		c.report(RuleHardQuota, event.AtNanos,
			"tenant %d: %.2f units beyond its hard quota, with a slack of %.2f",
			s.Tenant, -quota.tokens, slack)
	}
}
