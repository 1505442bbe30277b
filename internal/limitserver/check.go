package limitserver

import (
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// check is a LIMIT.CHECK or CL.THROTTLE command in progress.
type check struct {
	request  *dispatch.Request
	quota    policy.QuotaQuery // the quota that the answer states
	timeUnit time.Duration     // unit of the times in the answer
}

// startCheck submits a check to be counted; finishChecks answers it.
func (b *batch) startCheck(name string, args [][]byte) {
	spec, err := b.settings.parseCheck(args)
	if err != nil {
		b.finishChecks()
		b.fail(name, err)
		return
	}
	timeUnit := time.Millisecond
	if name == throttleCommand {
		timeUnit = time.Second
	}
	b.checks = append(b.checks, check{
		request:  b.server.dispatcher.Submit(spec),
		quota:    policy.QuotaQuery{Tenant: spec.Tenant, Plan: spec.Plan, EntryPoints: spec.EntryPoints},
		timeUnit: timeUnit,
	})
}

// finishChecks answers the checks in progress.
func (b *batch) finishChecks() {
	for _, pending := range b.checks {
		b.finishCheck(pending)
	}
	b.checks = b.checks[:0]
}

// finishCheck waits for the result of a check and answers it. The wait is bounded by Settings.Timeout, and earlier
// by the dispatcher's wait for the counter.
func (b *batch) finishCheck(pending check) {
	step := pending.request.NextStep()
	quota, _ := b.server.dispatcher.QuotaStatus(pending.quota) // without the plan, the answer states no quota
	answer := checkAnswer{quota: quota, timeUnit: pending.timeUnit}
	switch step.Action {
	case dispatch.Admit:
		b.server.admitted.Add(1)
		b.answers = answer.appendTo(b.answers)
	case dispatch.Reject:
		b.server.rejected.Add(1)
		answer.isLimited = true
		answer.retryAfter = retryAfterOf(step, quota)
		b.answers = answer.appendTo(b.answers)
	default:
		b.server.failed.Add(1)
		b.answers = redcon.AppendError(b.answers, "ERR failed")
	}
}

// retryAfterOf returns the Retry-After of a rejected check. Even if the settings allow none for requests, a
// client of the limit commands gets the time in which its quota refills.
func retryAfterOf(rejection dispatch.Step, quota policy.QuotaStatus) time.Duration {
	if rejection.RetryAfter > 0 {
		return rejection.RetryAfter
	}
	return max(quota.RejectionRetryAfter(), 0)
}

// peek answers with the known quota status, and counts nothing.
func (b *batch) peek(args [][]byte) {
	query, err := b.settings.parsePeek(args)
	if err != nil {
		b.fail(peekCommand, err)
		return
	}
	quota, _ := b.server.dispatcher.QuotaStatus(query) // without the plan, the answer states no quota
	answer := checkAnswer{quota: quota, timeUnit: time.Millisecond}
	answer.retryAfter, answer.isLimited = quota.RetryAfter()
	b.answers = answer.appendTo(b.answers)
}
