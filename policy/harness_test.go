package policy

import (
	"fmt"
	"slices"
	"testing"
)

const startOfTest = 1000 * second

// harness stands in for everything round one engine: it carries out the effects, checks the rules at each of
// them, and keeps a log.
type harness struct {
	t              testing.TB
	engine         *Engine
	settings       Settings
	now            int64
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
	sentTimes      map[BackendID][]int64
	answerTimes    []int64 // of successes, within a second
	peakAnswers    int     // the most of them
}

type wakeup struct {
	at    int64
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
	deadline    int64
	attempts    []clientAttempt
	ended       string // how the final answer was given
	retryAfter  int64
	streamed    bool
}

type clientAttempt struct {
	endpoint    Endpoint
	sentAt      int64
	expiresAt   int64
	startBefore int64
	inFlight    bool
	mayHaveRun  bool
}

func defaultSettings() Settings {
	return Settings{
		Instances:         2,
		Classes:           []ClassSettings{{LatencyObjective: 750 * millisecond, Deadline: 2 * second}},
		Plans:             []PlanSettings{{Rate: 5, Burst: 10}},
		MaxAttempts:       3,
		Cancellation:      true,
		HealthChecks:      true,
		RetryAfter:        true,
		MaxRetryAfter:     second,
		CounterEnabled:    true,
		CounterTimeout:    50 * millisecond,
		SlowStartShare:    0.2,
		SlowStartDuration: 10 * second,
		OverloadMultiple:  2,
		OverloadWindow:    second,
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
		sentTimes:      map[BackendID][]int64{},
	}
	h.engine = New(h.now, 7, settings, h)
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
			Backend:  id,
			State:    EndpointReady,
			Capacity: 1,
			Group:    GroupID(id % 2),
			Zone:     ZoneID(id % 2),
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
	h.log = append(h.log, fmt.Sprintf("%d ", h.now)+fmt.Sprintf(format, args...))
}

func (h *harness) Send(id RequestID, b BackendID, expiresAt, startBefore int64) {
	h.record("send %d to %d until %d", id, b, expiresAt)
	request, endpoint := h.requests[id], h.endpoints[b]
	if request.ended != "" || request.streamed || h.now >= request.deadline {
		h.t.Errorf("rule 1: attempt for %d, which is over (%q)", id, request.ended)
	}
	if endpoint.State != EndpointReady {
		h.t.Errorf("rule 3: attempt at %d, which is not ready", b)
	}
	h.sentTimes[b] = append(h.sentTimes[b], h.now)
	if endpoint.StartedAt > 0 && h.now-endpoint.StartedAt < h.settings.SlowStartDuration {
		h.checkSlowStart(endpoint)
	}
	request.attempts = append(request.attempts, clientAttempt{
		endpoint:    endpoint,
		sentAt:      h.now,
		expiresAt:   expiresAt,
		startBefore: startBefore,
		inFlight:    true,
		mayHaveRun:  true,
	})
	h.checkAttempt(request)
}

// checkSlowStart checks rule 4 for a backend that warms up.
func (h *harness) checkSlowStart(endpoint Endpoint) {
	sent := 0
	for _, at := range h.sentTimes[endpoint.Backend] {
		if at > h.now-h.settings.OverloadWindow {
			sent++
		}
	}
	age := float64(h.now-endpoint.StartedAt) / float64(h.settings.SlowStartDuration)
	warmth := h.settings.SlowStartShare + (1-h.settings.SlowStartShare)*age
	// A request's work on one core is a fifth of a second in these tests; more cores show in what is answered.
	ready := 0
	for _, other := range h.endpoints {
		if other.State == EndpointReady {
			ready++
		}
	}
	rate := max(5, float64(h.peakAnswers*h.settings.Instances)/float64(ready))
	bears := h.settings.OverloadMultiple * warmth * float64(h.settings.OverloadWindow) / float64(second) * rate
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
		known := h.now < earlier.sentAt+class.DedupWindow &&
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
	elapsed := float64(h.now-startOfTest) / float64(second)
	if h.hardQuotaUnits[request.tenant] > rate*elapsed+roundingTolerance {
		h.t.Errorf("rule 5: %.1f units sent by %d ns", h.hardQuotaUnits[request.tenant], h.now-startOfTest)
	}
}

func (h *harness) Cancel(id RequestID, attempt AttemptID) { h.record("cancel %d of %d", attempt, id) }
func (h *harness) WakeAt(at int64, timer TimerID)         { h.wakes = append(h.wakes, wakeup{at, timer}) }
func (h *harness) CheckHealth(b BackendID)                { h.healthChecks = append(h.healthChecks, b) }
func (h *harness) WatchEndpoints()                        { h.watches++ }
func (h *harness) Log(text string)                        { h.record("%s", text) }
func (h *harness) Reject(id RequestID, retryAfter int64)  { h.finish(id, "rejected", retryAfter) }
func (h *harness) Admit(id RequestID)                     { h.finish(id, "admitted", 0) }
func (h *harness) Abort(id RequestID)                     { h.finish(id, "aborted", 0) }

func (h *harness) AddToCounter(key CounterKey, units float64, lifetime int64) {
	if lifetime <= 0 || lifetime > 60*second {
		h.t.Errorf("count for %d ns", lifetime)
	}
	h.record("count %d by %.3f", key, units)
	h.pendingAdds = append(h.pendingAdds, counterAdd{key, units})
}

// finish notes a final answer.
func (h *harness) finish(id RequestID, how string, retryAfter int64) {
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
func (h *harness) submit(id RequestID, class ClassID, plan PlanID, tenant TenantID, remaining int64,
	units float64) *clientRequest {
	return h.submitSpec(RequestSpec{ID: id, Class: class, Plan: plan, Tenant: tenant, Remaining: remaining,
		Units: units, EntryPoints: 2})
}

func (h *harness) submitSpec(spec RequestSpec) *clientRequest {
	request := &clientRequest{tenant: spec.Tenant, units: spec.Units, entryPoints: spec.EntryPoints,
		deadline: h.now + spec.Remaining}
	if int(spec.Class) < len(h.settings.Classes) && int(spec.Plan) < len(h.settings.Plans) {
		request.class, request.plan = h.settings.Classes[spec.Class], h.settings.Plans[spec.Plan]
	}
	h.requests[spec.ID] = request
	h.order = append(h.order, spec.ID)
	request.handle = h.engine.Submit(h.now, spec)
	return request
}

// serveTwenty submits twenty requests, of a tenant each, one after another, and answers each after a time.
func (h *harness) serveTwenty(latency int64) {
	for n := range 20 {
		request := h.submit(RequestID(n), 0, 0, TenantID(n), 2*second, 1)
		h.advance(latency)
		h.endAttempt(request, 0, Succeeded)
	}
}

// checkAnswered looks for requests whose answer is overdue.
func (h *harness) checkAnswered() {
	for _, id := range h.order {
		request := h.requests[id]
		if request.ended == "" && h.now > request.deadline+16*millisecond && !request.streamed {
			h.t.Errorf("rule 1: %d has no answer %d ns after its deadline", id, h.now-request.deadline)
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
	attempt.mayHaveRun = outcome != Rejected && outcome != ConnectFailed && outcome != NotSent
	done := request.ended != "" || outcome == Succeeded
	if outcome == Succeeded {
		if request.ended == "" {
			request.ended = "succeeded"
		}
		h.answerTimes = append(h.answerTimes, h.now)
		for h.answerTimes[0] <= h.now-second {
			h.answerTimes = h.answerTimes[1:]
		}
		h.peakAnswers = max(h.peakAnswers, len(h.answerTimes))
	}
	request.handle.HandleAttemptResult(h.now, AttemptResult{Attempt: AttemptID(n), Outcome: outcome,
		Elapsed: h.now - attempt.sentAt, RequestDone: done})
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
	h.engine.HandleCounterResult(h.now, outcome, add.key, h.counter[add.key])
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
		request := h.submit(RequestID(from+i), 0, 0, tenant, 2*second, 1)
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
func (h *harness) advance(duration int64) {
	for end := h.now + duration; h.now < end; {
		h.now = min(h.now+4*millisecond, end)
		due := h.wakes
		h.wakes = nil
		slices.SortStableFunc(due, func(a, b wakeup) int { return int(min(max(a.at-b.at, -1), 1)) })
		for _, wake := range due {
			if wake.at <= h.now {
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
			expired := h.now >= request.deadline || attempt.expiresAt > 0 && h.now >= attempt.expiresAt
			if attempt.inFlight && !request.streamed && expired {
				h.endAttempt(request, n, TimedOut)
			}
		}
	}
}

// idleEffects counts nothing and does nothing.
type idleEffects struct{ key CounterKey }

func (*idleEffects) Send(RequestID, BackendID, int64, int64)           {}
func (*idleEffects) Cancel(RequestID, AttemptID)                       {}
func (*idleEffects) Reject(RequestID, int64)                           {}
func (*idleEffects) Abort(RequestID)                                   {}
func (*idleEffects) Admit(RequestID)                                   {}
func (*idleEffects) WakeAt(int64, TimerID)                             {}
func (e *idleEffects) AddToCounter(key CounterKey, _ float64, _ int64) { e.key = key }
func (*idleEffects) CheckHealth(BackendID)                             {}
func (*idleEffects) WatchEndpoints()                                   {}
func (*idleEffects) Log(string)                                        {}
