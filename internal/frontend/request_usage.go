package frontend

import (
	"strings"
	"time"

	"fawnplank/policy"
)

// UsageRecorder knows the plans that tenants have moved to, and records usage. Its methods are called
// concurrently.
type UsageRecorder interface {
	// TenantPlan returns the plan under which the tenant's requests are admitted now. ok is false if that is the
	// plan that the requests name.
	TenantPlan(tenant string) (plan string, ok bool)
	// RecordUsage records a request that succeeded, with the plan it ran under and the time at which it was
	// received.
	RecordUsage(tenant, plan string, receivedAt time.Time, units float64)
}

// requestUsage is what the recorded usage of a request is based on: the values at the time when the request
// was received, whatever changes until it is answered.
type requestUsage struct {
	tenant     string
	plan       string
	receivedAt time.Time
	units      float64
}

// resolvePlan returns the plan under which the request is submitted: the one that its tenant has moved to, if
// any, otherwise the one that it names. If usage is recorded, resolvePlan also stores what that record will
// contain.
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
	if !known { // this instance's settings lack the current plan: the one named in the request applies
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
