package policy_test

import (
	"fmt"
	"math"
	"time"

	"fawnplank/policy"
)

// This file simulates an instance of a golden scenario, which hashes and carries out the effects of its engine.

// goldenInstance is a simulated instance. It implements policy.Effects for its engine.
type goldenInstance struct {
	simulation   *goldenSimulation
	number       int
	incarnation  int
	engine       *policy.Engine
	requests     map[policy.RequestID]*goldenRequest
	pendingCalls map[policy.CounterKey][]*goldenCounterCall
}

type goldenRequest struct {
	instance    *goldenInstance
	id          policy.RequestID
	handle      *policy.Request
	incarnation int
	deadline    int64
	class       int
	units       float64
	answered    bool
	streamed    bool
	attempts    []*goldenAttempt
}

type goldenAttempt struct {
	request        *goldenRequest
	number         int
	backend        *goldenBackend
	sentAt         int64
	started, ended bool // whether the response has started, and whether the result was reported
}

type goldenCounterCall struct {
	outcome policy.Outcome
	total   float64
	done    bool
}

func (instance *goldenInstance) settings() policy.Settings {
	settings := instance.simulation.settings
	settings.InstanceIndex, settings.Zone = instance.number, policy.ZoneID(instance.number%2)
	return settings
}

// start starts an incarnation of the instance. exported is the state that the previous one exported age
// nanoseconds ago, or nil.
func (instance *goldenInstance) start(exported *policy.WarmStartState, age int64) {
	sim := instance.simulation
	instance.incarnation++
	instance.requests, instance.pendingCalls = map[policy.RequestID]*goldenRequest{},
		map[policy.CounterKey][]*goldenCounterCall{}
	sim.hashRecord(codeRestart, instance.number, uint64(instance.incarnation))
	instance.engine = policy.New(policy.Options{
		Now:      sim.currentInstant(),
		Seed:     sim.random.Uint64(),
		Settings: instance.settings(),
		Effects:  instance,
	})
	if !sim.settings.PollEndpoints {
		instance.listEndpoints(policy.FullSnapshot)
	}
	if exported != nil {
		instance.engine.ImportState(sim.currentInstant(), *exported, time.Duration(age))
	}
}

func (instance *goldenInstance) stop() {
	instance.incarnation++
	instance.engine = nil
}

// afterIfRunning schedules a function for a time after now. The function does not run if the instance has been
// stopped by then.
func (instance *goldenInstance) afterIfRunning(delay int64, run func()) {
	incarnation := instance.incarnation
	instance.simulation.scheduleAfter(delay, func() {
		if instance.incarnation == incarnation {
			run()
		}
	})
}

// listEndpoints passes the endpoint list to the engine.
func (instance *goldenInstance) listEndpoints(kind policy.UpdateKind) {
	var endpoints []policy.Endpoint
	for _, b := range instance.simulation.backends {
		endpoints = append(endpoints, b.endpoint())
	}
	instance.engine.UpdateEndpoints(instance.simulation.currentInstant(), kind, endpoints)
}

func (instance *goldenInstance) submit(class, plan, tenant int, remaining int64, units float64, firstInstance int) {
	sim := instance.simulation
	sim.lastRequestID++
	r := &goldenRequest{
		instance:    instance,
		id:          policy.RequestID(sim.lastRequestID),
		incarnation: instance.incarnation,
		deadline:    sim.now + remaining,
		class:       class,
		units:       units,
		streamed:    sim.chance(sim.scenario.streamedShare),
	}
	instance.requests[r.id] = r
	r.handle = instance.engine.Submit(sim.currentInstant(), policy.RequestSpec{
		ID: r.id, Class: policy.ClassID(class), Plan: policy.PlanID(plan), Tenant: policy.TenantID(tenant),
		Remaining: time.Duration(remaining), Units: units, EntryPoints: sim.scenario.entryPoints,
		FirstInstance: firstInstance,
	})
	if sim.chance(sim.scenario.disconnectShare) {
		disconnectAfter := sim.exponential(200 * goldenMillisecond)
		if sim.chance(0.3) { // the client disconnects shortly before the deadline
			disconnectAfter = max(remaining-sim.exponential(20*goldenMillisecond), 0)
		}
		instance.afterIfRunning(disconnectAfter, func() {
			if !r.answered {
				r.answered = true
				r.handle.HandleClientGone(sim.currentInstant())
				r.hashDone()
			}
		})
	}
}

// hashDone hashes whether the handle of the request is done.
func (r *goldenRequest) hashDone() {
	r.instance.simulation.hashRecord(codeFinished, r.instance.number, uint64(r.id), boolBit(r.handle.Done()))
}

func (instance *goldenInstance) hashStatus() {
	sim, engine := instance.simulation, instance.engine
	stats := engine.CounterStats()
	sim.hashRecord(codeBreaker, instance.number, boolBit(engine.BreakerOpen()), floatBits(stats.CallShare))
	// The engine adds these up in the random order of a map, so the last bits differ from run to run and are
	// rounded away. The offset keeps sums of round numbers away from the boundaries between two rounded values.
	round := func(x float64) uint64 { return uint64(int64(math.Floor(x*1000 + 0.31731))) }
	sim.hashRecord(codeCounterStats, instance.number, boolBit(stats.BreakerOpen), floatBits(stats.CallShare),
		round(stats.UnreportedUnits), round(stats.LostUnits), round(stats.ReconciledUnits), round(stats.DriftUnits),
		uint64(stats.Tenants))
	for tenant := range sim.scenario.tenants {
		plan := tenant % (len(sim.settings.Plans) + 1)
		if tenant%3 > 0 {
			plan = tenant % len(sim.settings.Plans)
		}
		quota, ok := engine.QuotaStatus(sim.currentInstant(), policy.QuotaQuery{
			Tenant:      policy.TenantID(tenant),
			Plan:        policy.PlanID(plan),
			EntryPoints: sim.scenario.entryPoints,
		})
		sim.hashRecord(codeQuota, instance.number, boolBit(ok), floatBits(quota.Limit), floatBits(quota.Rate),
			floatBits(quota.Used), boolBit(quota.FromCounter), floatBits(quota.HardQuotaLeft))
	}
	state := engine.ExportState()
	fields := []uint64{floatBits(state.Latency), floatBits(state.Samples)}
	for _, b := range state.Backends {
		fields = append(fields, uint64(b.Backend), uint64(b.StartedAt.Nanos()), floatBits(b.Latency), floatBits(b.Samples))
	}
	sim.hashRecord(codeExport, instance.number, fields...)
	timeouts := instance.settings().DiscoveryTimeouts()
	sim.hashRecord(codeTimeouts, instance.number, uint64(timeouts.Watch), uint64(timeouts.WatchGrace),
		uint64(timeouts.Snapshot), uint64(timeouts.MaxRetryDelay))
}

func (instance *goldenInstance) Send(spec policy.AttemptSpec) {
	sim, id, b, expiresAt := instance.simulation, spec.Request, spec.Backend, spec.ExpiresAt.Nanos()
	sim.hashEffect(codeSend, instance.number, uint64(id), uint64(b), uint64(expiresAt), uint64(spec.StartBefore.Nanos()))
	r := instance.requests[id]
	a := &goldenAttempt{request: r, number: len(r.attempts), sentAt: sim.now, backend: &goldenBackend{refusing: 1}}
	for _, candidate := range sim.backends {
		if candidate.id == uint32(b) {
			a.backend = candidate
		}
	}
	r.attempts = append(r.attempts, a)
	until := r.deadline
	if expiresAt > 0 {
		until = min(until, expiresAt)
	}
	instance.afterIfRunning(until-sim.now, func() {
		if !a.started {
			a.end(policy.TimedOut, 0)
		}
	})
	a.serve()
}

// serve draws the outcome of an attempt at its backend and schedules its end.
//
//nolint:gocognit // the golden hashes depend on the order of the random draws in this function
func (a *goldenAttempt) serve() {
	r, b, sim := a.request, a.backend, a.request.instance.simulation
	outcome, duration := policy.Succeeded, int64(0)
	switch {
	case b.notSending > 0 && sim.chance(0.3):
		outcome = policy.NotSent
	case b.refusing > 0:
		outcome = policy.ConnectFailed
	case b.full > 0 || b.inService >= 8:
		outcome = policy.Rejected
	case b.hanging > 0:
		return
	default:
		duration = sim.scenario.serviceTime/2 + sim.exponential(sim.scenario.serviceTime/2)
		duration = int64(float64(duration) * (0.5 + r.units/2) * (1 + float64(b.inService)/4) / b.relativeCapacity)
		if sim.scenario.serviceTimeByUnits {
			duration = int64(float64(sim.scenario.serviceTime) * r.units * (0.95 + sim.random.Float64()/10))
		}
		if b.slow > 0 {
			duration *= 12
		}
		if warmUp := int64(sim.settings.SlowStartDuration); b.started > 0 && sim.now-b.started < warmUp {
			duration += 3 * duration * (warmUp - (sim.now - b.started)) / warmUp
		}
		if b.resetting > 0 || sim.chance(0.003) {
			outcome, duration = policy.ConnectionLost, duration/3
		} else if b.failing > 0 || sim.chance(0.005) {
			outcome = policy.Failed
		}
		b.inService++
		sim.scheduleAfter(duration, func() { b.inService-- })
	}
	if r.streamed && outcome == policy.Succeeded {
		r.instance.afterIfRunning(duration/2, func() {
			if !a.ended && !r.answered {
				a.started = true
				r.handle.HandleResponseStarted(sim.currentInstant(), policy.AttemptID(a.number))
			}
		})
	}
	units := r.units * []float64{0.5, 1, 2}[sim.randomInt(3)]
	r.instance.afterIfRunning(duration+sim.exponential(goldenMillisecond), func() { a.end(outcome, units) })
}

// end reports the outcome of an attempt to the engine. Only the first call for an attempt has an effect.
func (a *goldenAttempt) end(outcome policy.Outcome, units float64) {
	r, sim := a.request, a.request.instance.simulation
	if a.ended {
		return
	}
	a.ended = true
	if outcome == policy.Succeeded || a.started {
		r.answered = true
	}
	result := policy.AttemptResult{Attempt: policy.AttemptID(a.number), Outcome: outcome,
		Elapsed: time.Duration(sim.now - a.sentAt), RequestDone: r.answered, ActualUnits: units}
	r.handle.HandleAttemptResult(sim.currentInstant(), result)
	r.hashDone()
	if sim.chance(0.01) { // reports a result twice, and one for an attempt that was never sent
		r.handle.HandleAttemptResult(sim.currentInstant(), result)
		result.Attempt = 200
		r.handle.HandleAttemptResult(sim.currentInstant(), result)
	}
}

func (instance *goldenInstance) Cancel(id policy.RequestID, n policy.AttemptID) {
	instance.simulation.hashEffect(codeCancel, instance.number, uint64(id), uint64(n))
	a := instance.requests[id].attempts[n]
	instance.afterIfRunning(goldenMillisecond/4, func() { a.end(policy.Canceled, 0) })
}

func (instance *goldenInstance) Reject(id policy.RequestID, retryAfter time.Duration) {
	instance.simulation.hashEffect(codeReject, instance.number, uint64(id), uint64(retryAfter))
	instance.requests[id].answered = true
}

func (instance *goldenInstance) Abort(id policy.RequestID) {
	instance.simulation.hashEffect(codeAbort, instance.number, uint64(id))
	instance.requests[id].answered = true
}

func (instance *goldenInstance) Admit(id policy.RequestID) {
	instance.simulation.hashEffect(codeAdmit, instance.number, uint64(id))
	instance.requests[id].answered = true
}

func (instance *goldenInstance) WakeAt(at policy.Instant, timer policy.TimerID) {
	sim := instance.simulation
	sim.hashEffect(codeTimer, instance.number, uint64(at.Nanos()), uint64(timer))
	early := int64(0)
	if timer > 0 && sim.chance(0.02) { // a coarse clock fires a little early
		early = goldenMillisecond / 10
	}
	instance.afterIfRunning(at.Nanos()-sim.now-early, func() { instance.engine.HandleTimer(sim.currentInstant(), timer) })
}

func (instance *goldenInstance) CheckHealth(b policy.BackendID) {
	sim := instance.simulation
	sim.hashEffect(codeCheckHealth, instance.number, uint64(b))
	if sim.chance(0.2) {
		return // the result of the check is lost
	}
	instance.afterIfRunning(2*goldenMillisecond+sim.exponential(goldenMillisecond), func() {
		outcome := policy.ConnectFailed
		for _, candidate := range sim.backends {
			if candidate.id == uint32(b) && candidate.refusing == 0 && candidate.hanging == 0 {
				outcome = policy.Succeeded
			}
		}
		instance.engine.HandleHealthCheck(sim.currentInstant(), b, outcome)
	})
}

func (instance *goldenInstance) WatchEndpoints() {
	sim := instance.simulation
	sim.hashEffect(codeWatch, instance.number)
	instance.afterIfRunning(5*goldenMillisecond+sim.exponential(10*goldenMillisecond), func() {
		switch {
		case sim.discoveryOutages > 0 && sim.chance(0.1):
			instance.listEndpoints(policy.CachedSnapshot)
		case sim.discoveryOutages > 0:
			instance.engine.UpdateEndpoints(sim.currentInstant(), policy.UpdateFailed, nil)
		default:
			instance.listEndpoints(policy.FullSnapshot)
			if sim.scenario.faults.listEndpoints { // the watch fails after a while
				instance.afterIfRunning(sim.exponential(4*goldenSecond), func() {
					instance.engine.UpdateEndpoints(sim.currentInstant(), policy.UpdateFailed, nil)
				})
			}
		}
	})
}

// LogUnknownClassOrPlan hashes the text that was logged when the golden hashes were recorded. The text must not change.
func (instance *goldenInstance) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	text := fmt.Sprintf("transaction of unknown profile %d or plan %d broken off", class, plan)
	fields := []uint64{uint64(len(text))}
	for _, b := range []byte(text) {
		fields = append(fields, uint64(b))
	}
	instance.simulation.hashEffect(codeLog, instance.number, fields...)
}

func (instance *goldenInstance) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	sim, c := instance.simulation, &instance.simulation.counter
	sim.hashEffect(codeAddToCounter, instance.number, uint64(key), floatBits(units), uint64(lifetime))
	timeout := int64(sim.settings.CounterTimeout)
	call := &goldenCounterCall{}
	instance.pendingCalls[key] = append(instance.pendingCalls[key], call)
	add := func() float64 {
		if c.expiresAt[key] <= sim.now {
			c.totals[key], c.expiresAt[key] = 0, sim.now+int64(lifetime)
		}
		c.totals[key] = float64(float32(c.totals[key] + units)) // the counter reports seven significant digits
		return c.totals[key]
	}
	networkDelay := goldenMillisecond/2 + sim.exponential(goldenMillisecond/2)
	instance.afterIfRunning(timeout, func() { instance.completeCall(key, call, policy.TimedOut, 0) })
	switch {
	case c.refusing > 0:
		instance.afterIfRunning(networkDelay, func() { instance.completeCall(key, call, policy.ConnectFailed, 0) })
	case c.hanging > 0 && sim.chance(0.5):
	case c.hanging > 0:
		sim.scheduleAfter(2*timeout, func() { add() }) // the counter adds the units after the caller's timeout
	case c.rejecting > 0 && sim.chance(0.4):
		instance.afterIfRunning(networkDelay, func() { instance.completeCall(key, call, policy.Rejected, 0) })
	case c.disconnecting > 0 && sim.chance(0.5):
		sim.scheduleAfter(networkDelay, func() { add() })
		instance.afterIfRunning(2*networkDelay, func() { instance.completeCall(key, call, policy.ConnectionLost, 0) })
	default:
		if c.slow > 0 {
			networkDelay += sim.exponential(40 * goldenMillisecond)
		}
		sim.scheduleAfter(networkDelay, func() {
			total := add()
			instance.afterIfRunning(networkDelay, func() { instance.completeCall(key, call, policy.Succeeded, total) })
		})
	}
}

// completeCall records the result of a counter call and reports the results for its key in the order of the calls.
func (instance *goldenInstance) completeCall(key policy.CounterKey, call *goldenCounterCall,
	callOutcome policy.Outcome, total float64) {
	if call.done || instance.engine == nil {
		return
	}
	call.done, call.outcome, call.total = true, callOutcome, total
	for len(instance.pendingCalls[key]) > 0 && instance.pendingCalls[key][0].done {
		first := instance.pendingCalls[key][0]
		if instance.pendingCalls[key] = instance.pendingCalls[key][1:]; len(instance.pendingCalls[key]) == 0 {
			delete(instance.pendingCalls, key)
		}
		instance.reportCounterResult(key, first.outcome, first.total)
	}
	if instance.simulation.chance(0.002) { // a result without a call
		instance.reportCounterResult(key+1, callOutcome, total)
	}
}

func (instance *goldenInstance) reportCounterResult(key policy.CounterKey, outcome policy.Outcome, total float64) {
	result := policy.CounterResult{Key: key, Outcome: outcome, Total: total}
	instance.engine.HandleCounterResult(instance.simulation.currentInstant(), result)
}
