package limitserver

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

const (
	// noRetry is the retry time of a check that was admitted: there is nothing to wait for.
	noRetry time.Duration = -1
	// maxRefillSeconds bounds the time until a quota is full to three years, so that its nanoseconds fit into an
	// int64.
	maxRefillSeconds = 1e8
)

// check is a LIMIT.CHECK or CL.THROTTLE command in progress.
type check struct {
	request  *dispatch.Request
	quota    policy.QuotaQuery // the quota that the answer states
	timeUnit time.Duration     // unit of the times in the answer
}

// startCheck submits a check to be counted; finishChecks answers it.
func (b *batch) startCheck(word string, args [][]byte) {
	spec, err := b.settings.parseCheck(args)
	if err != nil {
		b.finishChecks()
		b.fail(word, err)
		return
	}
	timeUnit := time.Millisecond
	if word == "CL.THROTTLE" {
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

// finishCheck waits for the result of a check and answers it. The wait is bounded by the dispatcher's own
// wait for the counter.
func (b *batch) finishCheck(pending check) {
	step := pending.request.NextStep()
	quota, _ := b.server.dispatcher.QuotaStatus(pending.quota)
	switch step.Action {
	case dispatch.Admit:
		b.server.admitted.Add(1)
		b.answers = appendQuota(b.answers, quota, noRetry, pending.timeUnit)
	case dispatch.Reject:
		b.server.rejected.Add(1)
		retryAfter := step.RetryAfter
		// Even if the settings allow no Retry-After, a client of the limit commands gets the refill time.
		if retryAfter <= 0 && quota.Rate > 0 {
			retryAfter = refillTime(max(quota.Used+1-quota.Limit, 1), quota.Rate)
		}
		b.answers = appendQuota(b.answers, quota, max(retryAfter, 0), pending.timeUnit)
	default:
		b.server.failed.Add(1)
		b.answers = redcon.AppendError(b.answers, "ERR failed")
	}
}

// peek answers with the known quota status, and counts nothing.
func (b *batch) peek(args [][]byte) {
	if len(args) != 2 && len(args) != 3 {
		b.fail("LIMIT.PEEK", errArity)
		return
	}
	tenant, plan, err := b.settings.parseTenantPlan(args)
	entryPoints := max(b.settings.Instances, 1)
	if err == nil && len(args) == 3 {
		entryPoints, err = parseInteger("spread", args[2], 1, entryPoints)
	}
	if err != nil {
		b.fail("", err)
		return
	}
	query := policy.QuotaQuery{Tenant: tenant, Plan: plan, EntryPoints: entryPoints}
	quota, _ := b.server.dispatcher.QuotaStatus(query)
	retryAfter := noRetry
	if quota.Rate > 0 && quota.Limit-quota.Used < 1 {
		retryAfter = refillTime(quota.Used+1-quota.Limit, quota.Rate)
	}
	b.answers = appendQuota(b.answers, quota, retryAfter, time.Millisecond)
}

// refillTime returns how long it takes to refill units at a rate per second.
func refillTime(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}

// parseCheck parses the arguments of a check.
func (s *Settings) parseCheck(args [][]byte) (dispatch.RequestSpec, error) {
	if len(args) != 2 && len(args) != 3 && len(args) != 5 {
		return dispatch.RequestSpec{}, errArity
	}
	tenant, plan, err := s.parseTenantPlan(args)
	if err != nil {
		return dispatch.RequestSpec{}, err
	}
	instances := max(s.Instances, 1)
	spec := dispatch.RequestSpec{
		Class:       s.Class,
		Plan:        plan,
		Tenant:      tenant,
		Timeout:     s.Timeout,
		Units:       1,
		EntryPoints: instances,
	}
	if len(args) > 2 {
		if spec.Units, err = s.parseUnits(args[2]); err != nil {
			return dispatch.RequestSpec{}, err
		}
	}
	if len(args) > 3 {
		if spec.EntryPoints, err = parseInteger("spread", args[3], 1, instances); err != nil {
			return dispatch.RequestSpec{}, err
		}
		if spec.FirstInstance, err = parseInteger("first", args[4], 0, instances-1); err != nil {
			return dispatch.RequestSpec{}, err
		}
	}
	return spec, nil
}

// parseTenantPlan parses the tenant and the plan, which are the first two arguments. The word "customer" in
// the errors is the term used on the wire.
func (s *Settings) parseTenantPlan(args [][]byte) (policy.TenantID, policy.PlanID, error) {
	id, err := strconv.ParseUint(string(args[0]), 16, 64)
	if err != nil || len(args[0]) != tenantDigits || id >= tenantLimit {
		return 0, 0, fmt.Errorf("customer '%.20s' is no number of 16 hexadecimal digits below 2^33",
			printable(string(args[0])))
	}
	plan, ok := s.Plans[string(args[1])]
	if !ok {
		return 0, 0, fmt.Errorf("no plan '%.40s'", printable(string(args[1])))
	}
	return policy.TenantID(id), plan, nil
}

// parseUnits parses the units of a check. It accepts a decimal number, but none of the other forms that
// ParseFloat accepts.
func (s *Settings) parseUnits(text []byte) (float64, error) {
	units, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(units > 0 && units <= s.MaxUnits) || bytes.ContainsAny(text, "xXpP_") {
		return 0, fmt.Errorf("units '%.20s' are not above 0 and at most %g",
			printable(string(text)), s.MaxUnits)
	}
	return units, nil
}

// parseInteger parses the argument with the given name, an integer from lowest to highest.
func parseInteger(name string, text []byte, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(string(text))
	if err != nil || n < lowest || n > highest {
		return 0, fmt.Errorf("%s '%.20s' is no whole number from %d to %d",
			name, printable(string(text)), lowest, highest)
	}
	return n, nil
}

// appendQuota appends the array of five integers that answers a check. A retryAfter below 0 means that the
// check was admitted.
func appendQuota(out []byte, quota policy.QuotaStatus, retryAfter, timeUnit time.Duration) []byte {
	limited := int64(0)
	wait := int64(-1)
	if retryAfter >= 0 {
		limited = 1
		wait = int64(math.Ceil(float64(retryAfter) / float64(timeUnit)))
	}
	left := max(quota.Limit-quota.Used, 0)
	if quota.HardQuotaLeft >= 0 {
		left = min(left, max(quota.HardQuotaLeft, 0))
	}
	untilFull := int64(0)
	if quota.Rate > 0 {
		nanos := min(quota.Used/quota.Rate, maxRefillSeconds) * float64(time.Second)
		untilFull = int64(math.Ceil(nanos / float64(timeUnit)))
	}
	out = redcon.AppendArray(out, 5)
	for _, n := range [...]int64{limited, int64(quota.Limit), int64(left), wait, untilFull} {
		out = redcon.AppendInt(out, n)
	}
	return out
}
