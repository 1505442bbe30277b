package limitserver

import (
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// pendingCheck is a LIMIT.CHECK or CL.THROTTLE command that is submitted but not answered yet.
type pendingCheck struct {
	request  *dispatch.Request
	quota    policy.QuotaQuery // identifies the quota whose status the answer states
	timeUnit time.Duration     // unit of the times in the answer
}

// startCheck submits a check to the dispatcher, which counts its units. finishChecks answers it.
func (b *batch) startCheck(name string, args [][]byte) {
	spec, err := b.settings.parseCheck(args)
	if err != nil {
		b.finishChecks()
		b.answerError(name, err)
		return
	}
	timeUnit := time.Millisecond
	if name == throttleCommand {
		timeUnit = time.Second
	}
	b.pendingChecks = append(b.pendingChecks, pendingCheck{
		request:  b.server.dispatcher.Submit(spec),
		quota:    policy.QuotaQuery{Tenant: spec.Tenant, Plan: spec.Plan, EntryPoints: spec.EntryPoints},
		timeUnit: timeUnit,
	})
}

// finishChecks answers the pending checks in order.
func (b *batch) finishChecks() {
	for _, pending := range b.pendingChecks {
		b.finishCheck(pending)
	}
	b.pendingChecks = b.pendingChecks[:0]
}

// finishCheck waits for the result of a check and answers it. The wait lasts at most Settings.Timeout, and less if the
// dispatcher stops waiting for the counter earlier.
func (b *batch) finishCheck(pending pendingCheck) {
	step := pending.request.NextStep()
	quota, _ := b.server.dispatcher.QuotaStatus(pending.quota) // the zero value if the plan is unknown
	answer := checkAnswer{quota: quota, timeUnit: pending.timeUnit}
	switch step.Action {
	case dispatch.Admit:
		b.server.admitted.Add(1)
		b.answers = answer.appendTo(b.answers)
	case dispatch.Reject:
		b.server.rejected.Add(1)
		answer.isLimited = true
		answer.retryAfter = rejectionRetryAfter(step, quota)
		b.answers = answer.appendTo(b.answers)
	default:
		b.server.failed.Add(1)
		b.answers = redcon.AppendError(b.answers, "ERR failed")
	}
}

// rejectionRetryAfter returns the Retry-After of a rejected check. If the settings allow no Retry-After for requests,
// a client of the limit commands still gets the time until its quota has refilled.
func rejectionRetryAfter(rejection dispatch.Step, quota policy.QuotaStatus) time.Duration {
	if rejection.RetryAfter > 0 {
		return rejection.RetryAfter
	}
	return max(quota.RejectionRetryAfter(), 0)
}

// answerPeek answers with the current quota status, without counting any units.
func (b *batch) answerPeek(args [][]byte) {
	query, err := b.settings.parsePeek(args)
	if err != nil {
		b.answerError(peekCommand, err)
		return
	}
	quota, _ := b.server.dispatcher.QuotaStatus(query) // the zero value if the plan is unknown
	answer := checkAnswer{quota: quota, timeUnit: time.Millisecond}
	answer.retryAfter, answer.isLimited = quota.RetryAfter()
	b.answers = answer.appendTo(b.answers)
}
