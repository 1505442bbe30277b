package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

// testStart is the time at which the simulated clocks of the tests start.
var testStart = atSecond(1000)

// atSecond returns the Instant that lies the given number of seconds after the clock's zero.
func atSecond(seconds int64) Instant { return monotime.FromNanos(seconds * int64(time.Second)) }

// harness simulates the environment of one Engine. It implements Effects, checks the rules of the package
// documentation at each effect, and logs the effects.
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
	pendingAdds            []counterAdd // counter calls that have no result yet
	counterTotals          map[CounterKey]float64
	pendingHealthChecks    []BackendID
	watchCalls             int
	hardQuotaUnits         map[TenantID]float64 // units of first attempts, for tenants under a hard quota
	sentTimes              map[BackendID][]Instant
	recentSuccesses        []Instant // times of the successes in the last second
	peakSuccessesPerSecond int       // largest length of recentSuccesses so far
}

type wakeup struct {
	at    Instant
	timer TimerID
}

type counterAdd struct {
	key   CounterKey
	units float64
}

// clientRequest is a request from the client's point of view.
type clientRequest struct {
	handle          *Request
	class           ClassSettings
	plan            PlanSettings
	tenant          TenantID
	units           float64
	entryPoints     int
	deadline        Instant
	attempts        []clientAttempt
	finalAnswer     string // outcome that the client got; empty: none yet
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
			h.sentTimes[endpoint.Backend] = nil // rule 4 counts attempts that were sent after the start was announced
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
		h.t.Errorf("rule 1: attempt for request %d, whose client has an answer (%q) or gave up",
			id, request.finalAnswer)
	}
	if endpoint.State != EndpointReady {
		h.t.Errorf("rule 3: attempt at backend %d, which is not ready", b)
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

// checkSlowStart checks rule 4 for an attempt that was just sent to a backend that is warming up.
func (h *harness) checkSlowStart(endpoint Endpoint) {
	sent := 0
	for _, at := range h.sentTimes[endpoint.Backend] {
		if at.After(h.now.Add(-h.settings.OverloadWindow)) {
			sent++
		}
	}
	elapsedShare := float64(h.now.Sub(endpoint.StartedAt)) / float64(h.settings.SlowStartDuration)
	capacityShare := h.settings.SlowStartShare + (1-h.settings.SlowStartShare)*elapsedShare
	// A warm backend is taken to complete five requests a second, the rate of one core in these tests, or as many as
	// the measured successes show.
	ready := 0
	for _, other := range h.endpoints {
		if other.State == EndpointReady {
			ready++
		}
	}
	rate := max(5, float64(h.peakSuccessesPerSecond*h.settings.Instances)/float64(ready))
	allowedAttempts := h.settings.OverloadMultiple * capacityShare *
		float64(h.settings.OverloadWindow) / float64(time.Second) * rate
	if sent > 1 && float64(sent*h.settings.Instances) > allowedAttempts { // a single attempt is allowed at any rate
		h.t.Errorf("rule 4: %d attempts by each of %d instances; backend %d is warming up and may get %.1f in total",
			sent, h.settings.Instances, endpoint.Backend, allowedAttempts)
	}
}

// checkNewestAttempt checks rule 2 for the newest attempt of a request, and rule 5 if it is the first attempt.
func (h *harness) checkNewestAttempt(request *clientRequest) {
	newest := len(request.attempts) - 1
	endpoint := request.attempts[newest].endpoint
	for _, earlier := range request.attempts[:newest] {
		if earlier.inFlight && !h.settings.Hedging {
			h.t.Errorf("rule 2: two attempts in flight without hedging")
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
			h.t.Errorf("rule 2: another attempt of a request with a key, outside its dedup scope or window")
		}
	}
	if newest > 0 || request.plan.HardQuotaRate <= 0 {
		return
	}
	h.hardQuotaUnits[request.tenant] += request.units
	rate := request.plan.HardQuotaRate / float64(request.entryPoints)
	elapsed := float64(h.now.Sub(testStart)) / float64(time.Second)
	if h.hardQuotaUnits[request.tenant] > rate*elapsed+roundingTolerance {
		h.t.Errorf("rule 5: %.1f units of a tenant under a hard quota sent in %d ns",
			h.hardQuotaUnits[request.tenant], h.now.Sub(testStart))
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
		h.t.Errorf("counter lifetime of %d ns, want above 0 and at most 60 s", lifetime)
	}
	h.logf("count %d by %.3f", key, units)
	h.pendingAdds = append(h.pendingAdds, counterAdd{key, units})
}

// recordFinalAnswer records the final answer to a request and checks rules 1 and 2.
func (h *harness) recordFinalAnswer(id RequestID, answer string, retryAfter time.Duration) {
	h.logf("%d %s, retry after %d", id, answer, retryAfter)
	request := h.requests[id]
	if request.finalAnswer != "" {
		h.t.Errorf("rule 1: request %d got two final answers", id)
	}
	request.finalAnswer, request.retryAfter = answer, retryAfter
	class := request.class
	retryIsSafe := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupByAll
	for _, attempt := range request.attempts {
		if answer == "rejected" && attempt.mayHaveRun && !retryIsSafe {
			h.t.Errorf("rule 2: request %d was rejected although it may have run", id)
		}
	}
	if retryAfter < 0 || retryAfter > h.settings.MaxRetryAfter {
		h.t.Errorf("retry after %d ns, want a time between 0 and MaxRetryAfter", retryAfter)
	}
}

// submit submits a request of a tenant that has two entry points.
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

// serveTwentyRequests submits twenty requests one after another, each of its own tenant, and lets the first
// attempt of each succeed after the latency.
func (h *harness) serveTwentyRequests(latency time.Duration) {
	for n := range 20 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(latency)
		h.endAttempt(request, 0, Succeeded)
	}
}

// checkOverdueAnswers reports requests that have no final answer 16 ms after their deadline.
func (h *harness) checkOverdueAnswers() {
	for _, id := range h.submissionOrder {
		request := h.requests[id]
		if request.finalAnswer == "" && h.now.After(request.deadline.Add(16*time.Millisecond)) && !request.responseStarted {
			h.t.Errorf("rule 1: request %d has no final answer %d ns after its deadline",
				id, h.now.Sub(request.deadline))
			request.finalAnswer = "lost"
		}
	}
}

// endAttempt ends the n-th attempt of a request, counted from 0, and reports its outcome to the engine.
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

// disconnectClient reports to the engine that the client of a request has disconnected.
func (h *harness) disconnectClient(request *clientRequest) {
	request.finalAnswer = "client gone"
	request.handle.HandleClientGone(h.now)
}

// answerOldestCounterCall completes the oldest pending counter call.
func (h *harness) answerOldestCounterCall(outcome Outcome) {
	add := h.pendingAdds[0]
	h.pendingAdds = h.pendingAdds[1:]
	if outcome == Succeeded {
		h.counterTotals[add.key] += add.units
	}
	h.engine.HandleCounterResult(h.now, CounterResult{Key: add.key, Outcome: outcome, Total: h.counterTotals[add.key]})
	h.checkOverdueAnswers()
}

// answerAllCounterCalls completes all pending counter calls, including those that are made in the meantime.
func (h *harness) answerAllCounterCalls(outcome Outcome) {
	for len(h.pendingAdds) > 0 {
		h.answerOldestCounterCall(outcome)
	}
}

// countAdmitted submits n requests of one unit one after another, completes their counter calls with the outcome,
// and returns the number of admitted requests.
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

// advance advances the clock in steps of 4 ms, the step of the simulator's protocol. At each step it runs the
// timers that are due and ends the attempts whose timeout or client deadline has passed.
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

// noopEffects discards all effects except the key of the last counter call.
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
