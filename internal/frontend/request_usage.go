package frontend

import (
	"strings"
	"time"

	"fawnplank/policy"
)

// UsageRecorder provides the plans to which tenants have moved, and records usage. Its methods are called concurrently.
type UsageRecorder interface {
	// TenantPlan returns the plan under which the tenant's requests are currently admitted. ok is false if the plan
	// that a request names applies.
	TenantPlan(tenant string) (plan string, ok bool)
	// RecordUsage records the units of a request that succeeded, with the plan under which it was admitted and the
	// time at which it was received.
	RecordUsage(tenant, plan string, receivedAt time.Time, units float64)
}

// requestUsage holds the values from which the usage of a request is recorded. They are taken when the request is
// received, and later changes have no effect on them.
type requestUsage struct {
	tenant     string
	plan       string
	receivedAt time.Time
	units      float64
}

// resolvePlan returns the plan under which the request is submitted: the plan to which its tenant has moved, if any,
// otherwise the plan that the request names. If usage is recorded, resolvePlan also stores the values for the record.
func (p *pendingCommand) resolvePlan(head *requestHead) policy.PlanID {
	recorder := p.connection.server.usage
	if recorder == nil {
		return head.plan
	}
	p.usage = &requestUsage{
		tenant:     strings.ToLower(string(head.tenantText)),
		plan:       string(head.planName),
		receivedAt: time.Now(),
		units:      head.units,
	}
	current, moved := recorder.TenantPlan(p.usage.tenant)
	if !moved {
		return head.plan
	}
	plan, known := head.config.Plans[current]
	if !known { // this instance's settings lack the current plan: the plan that the request names applies
		return head.plan
	}
	p.usage.plan = current
	return plan
}

// recordUsage records the usage of a request that succeeded, if usage is recorded.
func (p *pendingCommand) recordUsage() {
	if p.usage == nil {
		return
	}
	p.connection.server.usage.RecordUsage(p.usage.tenant, p.usage.plan, p.usage.receivedAt, p.usage.units)
}
