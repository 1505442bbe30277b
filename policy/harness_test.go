package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawnplank/internal/monotime"
)

// startOfTest is when harnesses start.
var startOfTest = atSecond(1000)

// atSecond returns the Instant that many seconds after the clock's zero.
func atSecond(seconds int64) Instant { return monotime.FromNanos(seconds * int64(time.Second)) }

// harness stands in for everything round one engine: it carries out the effects, checks the rules at each of
// them, and keeps a log.
type harness struct {
	t              testing.TB
	engine         *Engine
	settings       Settings
	now            Instant
	log            []string
	wakes          []wakeup
	endpoints      map[BackendID]Endpoint
	requests       map[RequestID]*clientRequest
	order          []RequestID
	pendingAdds    []counterAdd // calls to the counter without an answer
	counter        map[CounterKey]float64
	healthChecks   []BackendID
	watches        int
	hardQuotaUnits map[TenantID]float64 // first attempts' units of tenants under a hard quota
	sentTimes      map[BackendID][]Instant
	answerTimes    []Instant // of successes, within a second
	peakAnswers    int       // the most of them
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
	handle      *Request
	class       ClassSettings
	plan        PlanSettings
	tenant      TenantID
	units       float64
	entryPoints int
	deadline    Instant
	attempts    []clientAttempt
	ended       string // how the final answer was given
	retryAfter  time.Duration
	streamed    bool
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
		now:            startOfTest,
		endpoints:      map[BackendID]Endpoint{},
		requests:       map[RequestID]*clientRequest{},
		counter:        map[CounterKey]float64{},
		hardQuotaUnits: map[TenantID]float64{},
		sentTimes:      map[BackendID][]Instant{},
	}
	h.engine = New(Options{Now: h.now, Seed: 7, Settings: settings, Effects: h})
	h.update(CachedSnapshot, backends...)
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

func (h *harness) update(kind UpdateKind, list ...Endpoint) {
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

func (h *harness) record(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf("%d ", h.now.Nanos())+fmt.Sprintf(format, args...))
}

func (h *harness) Send(spec AttemptSpec) {
	id, b := spec.Request, spec.Backend
	h.record("send %d to %d until %d", id, b, spec.ExpiresAt.Nanos())
	request, endpoint := h.requests[id], h.endpoints[b]
	if request.ended != "" || request.streamed || !h.now.Before(request.deadline) {
		h.t.Errorf("rule 1: attempt for %d, which is over (%q)", id, request.ended)
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
	h.checkAttempt(request)
}

// checkSlowStart checks rule 4 for a backend that warms up.
func (h *harness) checkSlowStart(endpoint Endpoint) {
	sent := 0
	for _, at := range h.sentTimes[endpoint.Backend] {
		if at.After(h.now.Add(-h.settings.OverloadWindow)) {
			sent++
		}
	}
	age := float64(h.now.Sub(endpoint.StartedAt)) / float64(h.settings.SlowStartDuration)
	warmth := h.settings.SlowStartShare + (1-h.settings.SlowStartShare)*age
	// A request's work on one core is a fifth of a second in these tests; more cores show in what is answered.
	ready := 0
	for _, other := range h.endpoints {
		if other.State == EndpointReady {
			ready++
		}
	}
	rate := max(5, float64(h.peakAnswers*h.settings.Instances)/float64(ready))
	bears := h.settings.OverloadMultiple * warmth * float64(h.settings.OverloadWindow) / float64(time.Second) * rate
	if sent > 1 && float64(sent*h.settings.Instances) > bears { // a single attempt shows no pace
		h.t.Errorf("rule 4: %d attempts of %d instances at backend %d that warms up and bears %.1f",
			sent, h.settings.Instances, endpoint.Backend, bears)
	}
}

// checkAttempt checks rule 2 for the newest attempt, and rule 5 for the first.
func (h *harness) checkAttempt(request *clientRequest) {
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
		known := h.now.Before(earlier.sentAt.Add(class.DedupWindow)) &&
			(class.DedupScope != DedupByZone || earlier.endpoint.Zone == endpoint.Zone) &&
			(class.DedupScope != DedupByGroup || earlier.endpoint.Group == endpoint.Group)
		switch {
		case class.Idempotency == NonIdempotent:
			h.t.Errorf("rule 2: another attempt of a non-idempotent request")
		case class.Idempotency == IdempotentWithKey && !known:
			h.t.Errorf("rule 2: request with a key sent outside its dedup scope or window")
		}
	}
	if newest > 0 || request.plan.HardQuotaRate <= 0 {
		return
	}
	h.hardQuotaUnits[request.tenant] += request.units
	rate := request.plan.HardQuotaRate / float64(request.entryPoints)
	elapsed := float64(h.now.Sub(startOfTest)) / float64(time.Second)
	if h.hardQuotaUnits[request.tenant] > rate*elapsed+roundingTolerance {
		h.t.Errorf("rule 5: %.1f units sent by %d ns", h.hardQuotaUnits[request.tenant], h.now.Sub(startOfTest))
	}
}

func (h *harness) Cancel(id RequestID, attempt AttemptID) { h.record("cancel %d of %d", attempt, id) }
func (h *harness) WakeAt(at Instant, timer TimerID)       { h.wakes = append(h.wakes, wakeup{at, timer}) }
func (h *harness) CheckHealth(b BackendID)                { h.healthChecks = append(h.healthChecks, b) }
func (h *harness) WatchEndpoints()                        { h.watches++ }
func (h *harness) LogUnknownClassOrPlan(class ClassID, plan PlanID) {
	h.record("unknown class %d or plan %d", class, plan)
}
func (h *harness) Reject(id RequestID, retryAfter time.Duration) {
	h.finish(id, "rejected", retryAfter)
}
func (h *harness) Admit(id RequestID) { h.finish(id, "admitted", 0) }
func (h *harness) Abort(id RequestID) { h.finish(id, "aborted", 0) }

func (h *harness) AddToCounter(key CounterKey, units float64, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > 60*time.Second {
		h.t.Errorf("count for %d ns", lifetime)
	}
	h.record("count %d by %.3f", key, units)
	h.pendingAdds = append(h.pendingAdds, counterAdd{key, units})
}

// finish notes a final answer.
func (h *harness) finish(id RequestID, how string, retryAfter time.Duration) {
	h.record("%d %s, retry after %d", id, how, retryAfter)
	request := h.requests[id]
	if request.ended != "" {
		h.t.Errorf("rule 1: %d got two final answers", id)
	}
	request.ended, request.retryAfter = how, retryAfter
	class := request.class
	safe := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupByAll
	for _, attempt := range request.attempts {
		if how == "rejected" && attempt.mayHaveRun && !safe {
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
	h.order = append(h.order, spec.ID)
	request.handle = h.engine.Submit(h.now, spec)
	return request
}

// serveTwenty submits twenty requests, of a tenant each, one after another, and answers each after a time.
func (h *harness) serveTwenty(latency time.Duration) {
	for n := range 20 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
		h.advance(latency)
		h.endAttempt(request, 0, Succeeded)
	}
}

// checkAnswered looks for requests whose answer is overdue.
func (h *harness) checkAnswered() {
	for _, id := range h.order {
		request := h.requests[id]
		if request.ended == "" && h.now.After(request.deadline.Add(16*time.Millisecond)) && !request.streamed {
			h.t.Errorf("rule 1: %d has no answer %d ns after its deadline", id, h.now.Sub(request.deadline))
			request.ended = "lost"
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
	done := request.ended != "" || outcome == Succeeded
	if outcome == Succeeded {
		if request.ended == "" {
			request.ended = "succeeded"
		}
		h.answerTimes = append(h.answerTimes, h.now)
		for !h.answerTimes[0].After(h.now.Add(-time.Second)) {
			h.answerTimes = h.answerTimes[1:]
		}
		h.peakAnswers = max(h.peakAnswers, len(h.answerTimes))
	}
	request.handle.HandleAttemptResult(h.now, AttemptResult{Attempt: AttemptID(n), Outcome: outcome,
		Elapsed: h.now.Sub(attempt.sentAt), RequestDone: done})
	h.checkAnswered()
}

// clientGone has the client of a request leave.
func (h *harness) clientGone(request *clientRequest) {
	request.ended = "client gone"
	request.handle.HandleClientGone(h.now)
}

// answerCounter brings the counter's answer to the oldest call.
func (h *harness) answerCounter(outcome Outcome) {
	add := h.pendingAdds[0]
	h.pendingAdds = h.pendingAdds[1:]
	if outcome == Succeeded {
		h.counter[add.key] += add.units
	}
	h.engine.HandleCounterResult(h.now, CounterResult{Key: add.key, Outcome: outcome, Total: h.counter[add.key]})
	h.checkAnswered()
}

// answerCounterCalls answers all that are unanswered, and those that follow on the answers.
func (h *harness) answerCounterCalls(outcome Outcome) {
	for len(h.pendingAdds) > 0 {
		h.answerCounter(outcome)
	}
}

// countAdmitted submits requests of one unit one after another, has the counter answer each, and counts those
// admitted.
func (h *harness) countAdmitted(from, n int, tenant TenantID, outcome Outcome) (admitted int) {
	for i := range n {
		request := h.submit(RequestID(from+i), 0, 0, tenant, 2*time.Second, 1)
		h.answerCounterCalls(outcome)
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
		due := h.wakes
		h.wakes = nil
		slices.SortStableFunc(due, func(a, b wakeup) int { return a.at.Compare(b.at) })
		for _, wake := range due {
			if !wake.at.After(h.now) {
				h.engine.HandleTimer(h.now, wake.timer)
			} else {
				h.wakes = append(h.wakes, wake)
			}
		}
		h.expireAttempts()
		h.checkAnswered()
	}
}

func (h *harness) expireAttempts() {
	for _, id := range h.order {
		request := h.requests[id]
		for n, attempt := range request.attempts {
			expired := !h.now.Before(request.deadline) || !attempt.expiresAt.IsZero() && !h.now.Before(attempt.expiresAt)
			if attempt.inFlight && !request.streamed && expired {
				h.endAttempt(request, n, TimedOut)
			}
		}
	}
}

// idleEffects counts nothing and does nothing.
type idleEffects struct{ key CounterKey }

func (*idleEffects) Send(AttemptSpec)                                          {}
func (*idleEffects) Cancel(RequestID, AttemptID)                               {}
func (*idleEffects) Reject(RequestID, time.Duration)                           {}
func (*idleEffects) Abort(RequestID)                                           {}
func (*idleEffects) Admit(RequestID)                                           {}
func (*idleEffects) WakeAt(Instant, TimerID)                                   {}
func (e *idleEffects) AddToCounter(key CounterKey, _ float64, _ time.Duration) { e.key = key }
func (*idleEffects) CheckHealth(BackendID)                                     {}
func (*idleEffects) WatchEndpoints()                                           {}
func (*idleEffects) LogUnknownClassOrPlan(ClassID, PlanID)                     {}
