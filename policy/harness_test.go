package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

// testStart is when harnesses start.
var testStart = atSecond(1000)

// atSecond returns the Instant that many seconds after the clock's zero.
func atSecond(seconds int64) Instant { return monotime.FromNanos(seconds * int64(time.Second)) }

// harness stands in for everything round one engine: it carries out the effects, checks the rules at each of
// them, and keeps a log.
type harness struct {
	t                      testing.TB
	engine                 *Engine
	settings               Settings
	now                    Instant
	log                    []string
	wakeups                []wakeup
	endpoints              map[BackendID]Endpoint
	requests               map[RequestID]*clientRequest
	submissionOrder        []RequestID
	pendingAdds            []counterAdd // calls to the counter without an answer
	counterTotals          map[CounterKey]float64
	pendingHealthChecks    []BackendID
	watchCalls             int
	hardQuotaUnits         map[TenantID]float64 // first attempts' units of tenants under a hard quota
	sentTimes              map[BackendID][]Instant
	recentSuccesses        []Instant // of successes, within a second
	peakSuccessesPerSecond int       // the most of them
}

type wakeup struct {
	at    Instant
	timer TimerID
}

type counterAdd struct {
	key   CounterKey
	units float64
}

// clientRequest is a request as its client sees it.
type clientRequest struct {
	handle          *Request
	class           ClassSettings
	plan            PlanSettings
	tenant          TenantID
	units           float64
	entryPoints     int
	deadline        Instant
	attempts        []clientAttempt
	finalAnswer     string // how the final answer was given
	retryAfter      time.Duration
	responseStarted bool
}

type clientAttempt struct {
	endpoint    Endpoint
	sentAt      Instant
	expiresAt   Instant
	startBefore Instant
	inFlight    bool
	mayHaveRun  bool
}

func defaultSettings() Settings {
	return Settings{
		Instances:         2,
		Classes:           []ClassSettings{{LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second}},
		Plans:             []PlanSettings{{Rate: 5, Burst: 10}},
		MaxAttempts:       3,
		Cancellation:      true,
		HealthChecks:      true,
		RetryAfter:        true,
		MaxRetryAfter:     time.Second,
		CounterEnabled:    true,
		CounterTimeout:    50 * time.Millisecond,
		SlowStartShare:    0.2,
		SlowStartDuration: 10 * time.Second,
		OverloadMultiple:  2,
		OverloadWindow:    time.Second,
	}
}

func newHarness(tb testing.TB, settings Settings, backends ...Endpoint) *harness {
	tb.Helper()
	h := &harness{
		t:              tb,
		settings:       settings,
		now:            testStart,
		endpoints:      map[BackendID]Endpoint{},
		requests:       map[RequestID]*clientRequest{},
		counterTotals:  map[CounterKey]float64{},
		hardQuotaUnits: map[TenantID]float64{},
		sentTimes:      map[BackendID][]Instant{},
	}
	h.engine = New(Options{Now: h.now, Seed: 7, Settings: settings, Effects: h})
	h.updateEndpoints(CachedSnapshot, backends...)
	return h
}

func newHarnessWithoutCounter(tb testing.TB, backends ...Endpoint) *harness {
	tb.Helper()
	settings := defaultSettings()
	settings.CounterEnabled = false
	return newHarness(tb, settings, backends...)
}

func readyEndpoints(ids ...BackendID) (list []Endpoint) {
	for _, id := range ids {
		list = append(list, Endpoint{
			Backend: id,
			State:   EndpointReady,
			Weight:  1,
			Group:   GroupID(id % 2),
			Zone:    ZoneID(id % 2),
		})
	}
	return list
}

func (h *harness) updateEndpoints(kind UpdateKind, list ...Endpoint) {
	if kind == FullSnapshot || kind == CachedSnapshot {
		for id, endpoint := range h.endpoints {
			endpoint.State = EndpointGone
			h.endpoints[id] = endpoint
		}
	}
	for _, endpoint := range list {
		if endpoint.StartedAt != h.endpoints[endpoint.Backend].StartedAt {
			h.sentTimes[endpoint.Backend] = nil // rule 4 counts what is sent by those that know of the start
		}
		h.endpoints[endpoint.Backend] = endpoint
	}
	h.engine.UpdateEndpoints(h.now, kind, list)
}

func (h *harness) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%d ", h.now.Nanos())+fmt.Sprintf(format, args...))
}

func (h *harness) Send(spec AttemptSpec) {
	id, b := spec.Request, spec.Backend
	h.logf("send %d to %d until %d", id, b, spec.ExpiresAt.Nanos())
	request, endpoint := h.requests[id], h.endpoints[b]
	if request.finalAnswer != "" || request.responseStarted || !h.now.Before(request.deadline) {
		h.t.Errorf("rule 1: attempt for %d, which is over (%q)", id, request.finalAnswer)
	}
	if endpoint.State != EndpointReady {
		h.t.Errorf("rule 3: attempt at %d, which is not ready", b)
	}
	h.sentTimes[b] = append(h.sentTimes[b], h.now)
	if !endpoint.StartedAt.IsZero() && h.now.Sub(endpoint.StartedAt) < h.settings.SlowStartDuration {
		h.checkSlowStart(endpoint)
	}
	request.attempts = append(request.attempts, clientAttempt{
		endpoint:    endpoint,
		sentAt:      h.now,
		expiresAt:   spec.ExpiresAt,
		startBefore: spec.StartBefore,
		inFlight:    true,
		mayHaveRun:  true,
	})
	h.checkNewestAttempt(request)
}

// checkSlowStart checks rule 4 for a backend that warms up.
func (h *harness) checkSlowStart(endpoint Endpoint) {
	sent := 0
	for _, at := range h.sentTimes[endpoint.Backend] {
		if at.After(h.now.Add(-h.settings.OverloadWindow)) {
			sent++
		}
	}
	elapsedShare := float64(h.now.Sub(endpoint.StartedAt)) / float64(h.settings.SlowStartDuration)
	capacityShare := h.settings.SlowStartShare + (1-h.settings.SlowStartShare)*elapsedShare
	// A request's work on one core is a fifth of a second in these tests; more cores show in what is answered.
	ready := 0
	for _, other := range h.endpoints {
		if other.State == EndpointReady {
			ready++
		}
	}
	rate := max(5, float64(h.peakSuccessesPerSecond*h.settings.Instances)/float64(ready))
	allowedAttempts := h.settings.OverloadMultiple * capacityShare *
		float64(h.settings.OverloadWindow) / float64(time.Second) * rate
	if sent > 1 && float64(sent*h.settings.Instances) > allowedAttempts { // a single attempt shows no pace
		h.t.Errorf("rule 4: %d attempts of %d instances at backend %d that warms up and bears %.1f",
			sent, h.settings.Instances, endpoint.Backend, allowedAttempts)
	}
}

// checkNewestAttempt checks rule 2 for the newest attempt, and rule 5 for the first.
func (h *harness) checkNewestAttempt(request *clientRequest) {
	newest := len(request.attempts) - 1
	endpoint := request.attempts[newest].endpoint
	for _, earlier := range request.attempts[:newest] {
		if earlier.inFlight && !h.settings.Hedging {
			h.t.Errorf("rule 2: two attempts in flight")
		}
		if !earlier.mayHaveRun {
			continue
		}
		class := request.class
		deduplicated := h.now.Before(earlier.sentAt.Add(class.DedupWindow)) &&
			(class.DedupScope != DedupByZone || earlier.endpoint.Zone == endpoint.Zone) &&
			(class.DedupScope != DedupByGroup || earlier.endpoint.Group == endpoint.Group)
		switch {
		case class.Idempotency == NonIdempotent:
			h.t.Errorf("rule 2: another attempt of a non-idempotent request")
		case class.Idempotency == IdempotentWithKey && !deduplicated:
			h.t.Errorf("rule 2: request with a key sent outside its dedup scope or window")
		}
	}
	if newest > 0 || request.plan.HardQuotaRate <= 0 {
		return
	}
	h.hardQuotaUnits[request.tenant] += request.units
	rate := request.plan.HardQuotaRate / float64(request.entryPoints)
	elapsed := float64(h.now.Sub(testStart)) / float64(time.Second)
	if h.hardQuotaUnits[request.tenant] > rate*elapsed+roundingTolerance {
		h.t.Errorf("rule 5: %.1f units sent by %d ns", h.hardQuotaUnits[request.tenant], h.now.Sub(testStart))
	}
}

func (h *harness) Cancel(id RequestID, attempt AttemptID) { h.logf("cancel %d of %d", attempt, id) }
func (h *harness) WakeAt(at Instant, timer TimerID)       { h.wakeups = append(h.wakeups, wakeup{at, timer}) }
func (h *harness) CheckHealth(b BackendID)                { h.pendingHealthChecks = append(h.pendingHealthChecks, b) }
func (h *harness) WatchEndpoints()                        { h.watchCalls++ }
func (h *harness) LogUnknownClassOrPlan(class ClassID, plan PlanID) {
	h.logf("unknown class %d or plan %d", class, plan)
}
func (h *harness) Reject(id RequestID, retryAfter time.Duration) {
	h.recordFinalAnswer(id, "rejected", retryAfter)
}
func (h *harness) Admit(id RequestID) { h.recordFinalAnswer(id, "admitted", 0) }
func (h *harness) Abort(id RequestID) { h.recordFinalAnswer(id, "aborted", 0) }

func (h *harness) AddToCounter(key CounterKey, units float64, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > 60*time.Second {
		h.t.Errorf("count for %d ns", lifetime)
	}
	h.logf("count %d by %.3f", key, units)
	h.pendingAdds = append(h.pendingAdds, counterAdd{key, units})
}

// recordFinalAnswer notes a final answer.
func (h *harness) recordFinalAnswer(id RequestID, answer string, retryAfter time.Duration) {
	h.logf("%d %s, retry after %d", id, answer, retryAfter)
	request := h.requests[id]
	if request.finalAnswer != "" {
		h.t.Errorf("rule 1: %d got two final answers", id)
	}
	request.finalAnswer, request.retryAfter = answer, retryAfter
	class := request.class
	retryIsSafe := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupByAll
	for _, attempt := range request.attempts {
		if answer == "rejected" && attempt.mayHaveRun && !retryIsSafe {
			h.t.Errorf("rule 2: %d rejected, may have run", id)
		}
	}
	if retryAfter < 0 || retryAfter > h.settings.MaxRetryAfter {
		h.t.Errorf("retry after %d ns", retryAfter)
	}
}

// submit submits a request of a tenant that comes in through two instances.
func (h *harness) submit(id RequestID, class ClassID, plan PlanID, tenant TenantID, remaining time.Duration,
	units float64) *clientRequest {
	return h.submitSpec(RequestSpec{ID: id, Class: class, Plan: plan, Tenant: tenant, Remaining: remaining,
		Units: units, EntryPoints: 2})
}

func (h *harness) submitSpec(spec RequestSpec) *clientRequest {
	request := &clientRequest{tenant: spec.Tenant, units: spec.Units, entryPoints: spec.EntryPoints,
		deadline: h.now.Add(spec.Remaining)}
	if int(spec.Class) < len(h.settings.Classes) && int(spec.Plan) < len(h.settings.Plans) {
		request.class, request.plan = h.settings.Classes[spec.Class], h.settings.Plans[spec.Plan]
	}
	h.requests[spec.ID] = request
	h.submissionOrder = append(h.submissionOrder, spec.ID)
	request.handle = h.engine.Submit(h.now, spec)
	return request
}

// serveTwentyRequests submits twenty requests, of a tenant each, one after another, and answers each after a time.
func (h *harness) serveTwentyRequests(latency time.Duration) {
	for n := range 20 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(latency)
		h.endAttempt(request, 0, Succeeded)
	}
}

// checkOverdueAnswers looks for requests whose answer is overdue.
func (h *harness) checkOverdueAnswers() {
	for _, id := range h.submissionOrder {
		request := h.requests[id]
		if request.finalAnswer == "" && h.now.After(request.deadline.Add(16*time.Millisecond)) && !request.responseStarted {
			h.t.Errorf("rule 1: %d has no answer %d ns after its deadline", id, h.now.Sub(request.deadline))
			request.finalAnswer = "lost"
		}
	}
}

// endAttempt ends an attempt.
func (h *harness) endAttempt(request *clientRequest, n int, outcome Outcome) {
	attempt := &request.attempts[n]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight = false
	attempt.mayHaveRun = outcome != Rejected && outcome != ConnectFailed && outcome != NotSent && outcome != LocalFailure
	requestDone := request.finalAnswer != "" || outcome == Succeeded
	if outcome == Succeeded {
		if request.finalAnswer == "" {
			request.finalAnswer = "succeeded"
		}
		h.recentSuccesses = append(h.recentSuccesses, h.now)
		for !h.recentSuccesses[0].After(h.now.Add(-time.Second)) {
			h.recentSuccesses = h.recentSuccesses[1:]
		}
		h.peakSuccessesPerSecond = max(h.peakSuccessesPerSecond, len(h.recentSuccesses))
	}
	request.handle.HandleAttemptResult(h.now, AttemptResult{Attempt: AttemptID(n), Outcome: outcome,
		Elapsed: h.now.Sub(attempt.sentAt), RequestDone: requestDone})
	h.checkOverdueAnswers()
}

// disconnectClient has the client of a request leave.
func (h *harness) disconnectClient(request *clientRequest) {
	request.finalAnswer = "client gone"
	request.handle.HandleClientGone(h.now)
}

// answerOldestCounterCall brings the counter's answer to the oldest call.
func (h *harness) answerOldestCounterCall(outcome Outcome) {
	add := h.pendingAdds[0]
	h.pendingAdds = h.pendingAdds[1:]
	if outcome == Succeeded {
		h.counterTotals[add.key] += add.units
	}
	h.engine.HandleCounterResult(h.now, CounterResult{Key: add.key, Outcome: outcome, Total: h.counterTotals[add.key]})
	h.checkOverdueAnswers()
}

// answerAllCounterCalls answers all that are unanswered, and those that follow on the answers.
func (h *harness) answerAllCounterCalls(outcome Outcome) {
	for len(h.pendingAdds) > 0 {
		h.answerOldestCounterCall(outcome)
	}
}

// countAdmitted submits requests of one unit one after another, has the counter answer each, and counts those
// admitted.
func (h *harness) countAdmitted(from, n int, tenant TenantID, outcome Outcome) (admitted int) {
	for i := range n {
		request := h.submit(RequestID(from+i), 0, 0, tenant, 2*time.Second, 1)
		h.answerAllCounterCalls(outcome)
		if len(request.attempts) > 0 {
			admitted++
			h.endAttempt(request, 0, Succeeded)
		}
	}
	return admitted
}

// advance lets time go on, a step of the simulator's wire at a time: wakes come due, and attempts end with
// their timeouts or the deadlines of their clients.
func (h *harness) advance(duration time.Duration) {
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = monotime.Earlier(h.now.Add(4*time.Millisecond), end)
		pendingWakeups := h.wakeups
		h.wakeups = nil
		slices.SortStableFunc(pendingWakeups, func(a, b wakeup) int { return a.at.Compare(b.at) })
		for _, wake := range pendingWakeups {
			if !wake.at.After(h.now) {
				h.engine.HandleTimer(h.now, wake.timer)
			} else {
				h.wakeups = append(h.wakeups, wake)
			}
		}
		h.expireAttempts()
		h.checkOverdueAnswers()
	}
}

func (h *harness) expireAttempts() {
	for _, id := range h.submissionOrder {
		request := h.requests[id]
		for n, attempt := range request.attempts {
			expired := !h.now.Before(request.deadline) || !attempt.expiresAt.IsZero() && !h.now.Before(attempt.expiresAt)
			if attempt.inFlight && !request.responseStarted && expired {
				h.endAttempt(request, n, TimedOut)
			}
		}
	}
}

// noopEffects counts nothing and does nothing.
type noopEffects struct{ counterKey CounterKey }

func (*noopEffects) Send(AttemptSpec)                {}
func (*noopEffects) Cancel(RequestID, AttemptID)     {}
func (*noopEffects) Reject(RequestID, time.Duration) {}
func (*noopEffects) Abort(RequestID)                 {}
func (*noopEffects) Admit(RequestID)                 {}
func (*noopEffects) WakeAt(Instant, TimerID)         {}
func (e *noopEffects) AddToCounter(counterKey CounterKey, _ float64, _ time.Duration) {
	e.counterKey = counterKey
}
func (*noopEffects) CheckHealth(BackendID)                 {}
func (*noopEffects) WatchEndpoints()                       {}
func (*noopEffects) LogUnknownClassOrPlan(ClassID, PlanID) {}
