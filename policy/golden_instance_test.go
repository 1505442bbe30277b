package policy_test

import (
	"fmt"
	"math"
	"time"

	"fawnplank/policy"
)

// This file models one instance of a golden day: it carries out the effects of its engine and hashes them.

// goldenInstance is one instance: its decisions, and their effects.
type goldenInstance struct {
	world       *goldenWorld
	number      int
	incarnation int
	engine      *policy.Engine
	open        map[policy.RequestID]*goldenRequest
	calls       map[policy.CounterKey][]*goldenCall
}

type goldenRequest struct {
	in          *goldenInstance
	id          policy.RequestID
	handle      *policy.Request
	incarnation int
	deadline    int64
	class       int
	units       float64
	ended       bool
	streams     bool
	attempts    []*goldenAttempt
}

type goldenAttempt struct {
	request          *goldenRequest
	number           int
	to               *goldenBackend
	sent             int64
	started, settled bool
}

type goldenCall struct {
	outcome policy.Outcome
	total   float64
	done    bool
}

func (in *goldenInstance) settings() policy.Settings {
	settings := in.world.settings
	settings.InstanceIndex, settings.Zone = in.number, policy.ZoneID(in.number%2)
	return settings
}

func (in *goldenInstance) start(exported *policy.WarmStartState, age int64) {
	w := in.world
	in.incarnation++
	in.open, in.calls = map[policy.RequestID]*goldenRequest{}, map[policy.CounterKey][]*goldenCall{}
	w.write(codeRestart, in.number, uint64(in.incarnation))
	in.engine = policy.New(policy.Options{
		Now:      w.instant(),
		Seed:     w.random.Uint64(),
		Settings: in.settings(),
		Effects:  in,
	})
	if !w.settings.PollEndpoints {
		in.list(policy.FullSnapshot)
	}
	if exported != nil {
		in.engine.ImportState(w.instant(), *exported, time.Duration(age))
	}
}

func (in *goldenInstance) stop() {
	in.incarnation++
	in.engine = nil
}

// afterIfRunning runs a function after a time, unless the instance has been stopped by then.
func (in *goldenInstance) afterIfRunning(wait int64, run func()) {
	incarnation := in.incarnation
	in.world.after(wait, func() {
		if in.incarnation == incarnation {
			run()
		}
	})
}

func (in *goldenInstance) list(how policy.UpdateKind) {
	var endpoints []policy.Endpoint
	for _, b := range in.world.backends {
		endpoints = append(endpoints, b.endpoint())
	}
	in.engine.UpdateEndpoints(in.world.instant(), how, endpoints)
}

func (in *goldenInstance) submit(class, plan, tenant int, remaining int64, units float64, first int) {
	w := in.world
	w.nextID++
	r := &goldenRequest{
		in:          in,
		id:          policy.RequestID(w.nextID),
		incarnation: in.incarnation,
		deadline:    w.now + remaining,
		class:       class,
		units:       units,
		streams:     w.happens(w.day.streamShare),
	}
	in.open[r.id] = r
	r.handle = in.engine.Submit(w.instant(), policy.RequestSpec{
		ID: r.id, Class: policy.ClassID(class), Plan: policy.PlanID(plan), Tenant: policy.TenantID(tenant),
		Remaining: time.Duration(remaining), Units: units, EntryPoints: w.day.entryPoints, FirstInstance: first,
	})
	if w.happens(w.day.leaveShare) {
		stays := w.exponential(200 * goldenMillisecond)
		if w.happens(0.3) { // nearly to the end
			stays = max(remaining-w.exponential(20*goldenMillisecond), 0)
		}
		in.afterIfRunning(stays, func() {
			if !r.ended {
				r.ended = true
				r.handle.HandleClientGone(w.instant())
				r.finished()
			}
		})
	}
}

// finished hashes whether anything more is to come.
func (r *goldenRequest) finished() {
	r.in.world.write(codeFinished, r.in.number, uint64(r.id), bit(r.handle.Done()))
}

func (in *goldenInstance) observe() {
	w, engine := in.world, in.engine
	stats := engine.CounterStats()
	w.write(codeBreaker, in.number, bit(engine.BreakerOpen()), float(stats.CallShare))
	// The sums run over a map, so that their last bits differ from run to run. The offset keeps the sums of
	// round numbers away from the bounds between two steps.
	round := func(x float64) uint64 { return uint64(int64(math.Floor(x*1000 + 0.31731))) }
	w.write(codeCounterStats, in.number, bit(stats.BreakerOpen), float(stats.CallShare), round(stats.UnreportedUnits),
		round(stats.LostUnits), round(stats.ReconciledUnits), round(stats.DriftUnits), uint64(stats.Tenants))
	for tenant := range w.day.tenants {
		plan := tenant % (len(w.settings.Plans) + 1)
		if tenant%3 > 0 {
			plan = tenant % len(w.settings.Plans)
		}
		quota, ok := engine.QuotaStatus(w.instant(), policy.QuotaQuery{
			Tenant:      policy.TenantID(tenant),
			Plan:        policy.PlanID(plan),
			EntryPoints: w.day.entryPoints,
		})
		w.write(codeQuota, in.number, bit(ok), float(quota.Limit), float(quota.Rate),
			float(quota.Used), bit(quota.FromCounter), float(quota.HardQuotaLeft))
	}
	state := engine.ExportState()
	fields := []uint64{float(state.Latency), float(state.Samples)}
	for _, b := range state.Backends {
		fields = append(fields, uint64(b.Backend), uint64(b.StartedAt.Nanos()), float(b.Latency), float(b.Samples))
	}
	w.write(codeExport, in.number, fields...)
	timeouts := in.settings().DiscoveryTimeouts()
	w.write(codeTimeouts, in.number, uint64(timeouts.Watch), uint64(timeouts.WatchGrace), uint64(timeouts.Snapshot),
		uint64(timeouts.MaxRetryDelay))
}

func (in *goldenInstance) Send(spec policy.AttemptSpec) {
	w, id, b, expiresAt := in.world, spec.Request, spec.Backend, spec.ExpiresAt.Nanos()
	w.effect(codeSend, in.number, uint64(id), uint64(b), uint64(expiresAt), uint64(spec.StartBefore.Nanos()))
	r := in.open[id]
	a := &goldenAttempt{request: r, number: len(r.attempts), sent: w.now, to: &goldenBackend{refuses: 1}}
	for _, x := range w.backends {
		if x.id == uint32(b) {
			a.to = x
		}
	}
	r.attempts = append(r.attempts, a)
	until := r.deadline
	if expiresAt > 0 {
		until = min(until, expiresAt)
	}
	in.afterIfRunning(until-w.now, func() {
		if !a.started {
			a.settle(policy.TimedOut, 0)
		}
	})
	a.run()
}

// run decides how the backend deals with an attempt, and when.
//
//nolint:gocognit // of this pinned file only names may change
func (a *goldenAttempt) run() {
	r, b, w := a.request, a.to, a.request.in.world
	outcome, duration := policy.Succeeded, int64(0)
	switch {
	case b.unstarted > 0 && w.happens(0.3):
		outcome = policy.NotSent
	case b.refuses > 0:
		outcome = policy.ConnectFailed
	case b.full > 0 || b.working >= 8:
		outcome = policy.Rejected
	case b.hangs > 0:
		return
	default:
		duration = w.day.serviceTime/2 + w.exponential(w.day.serviceTime/2)
		duration = int64(float64(duration) * (0.5 + r.units/2) * (1 + float64(b.working)/4) / b.size)
		if w.day.workByUnits {
			duration = int64(float64(w.day.serviceTime) * r.units * (0.95 + w.random.Float64()/10))
		}
		if b.slow > 0 {
			duration *= 12
		}
		if warmUp := int64(w.settings.SlowStartDuration); b.started > 0 && w.now-b.started < warmUp {
			duration += 3 * duration * (warmUp - (w.now - b.started)) / warmUp
		}
		if b.resets > 0 || w.happens(0.003) {
			outcome, duration = policy.ConnectionLost, duration/3
		} else if b.errs > 0 || w.happens(0.005) {
			outcome = policy.Failed
		}
		b.working++
		w.after(duration, func() { b.working-- })
	}
	if r.streams && outcome == policy.Succeeded {
		r.in.afterIfRunning(duration/2, func() {
			if !a.settled && !r.ended {
				a.started = true
				r.handle.HandleResponseStarted(w.instant(), policy.AttemptID(a.number))
			}
		})
	}
	units := r.units * []float64{0.5, 1, 2}[w.randomInt(3)]
	r.in.afterIfRunning(duration+w.exponential(goldenMillisecond), func() { a.settle(outcome, units) })
}

// settle reports to the instance how an attempt ended, once.
func (a *goldenAttempt) settle(o policy.Outcome, units float64) {
	r, w := a.request, a.request.in.world
	if a.settled {
		return
	}
	a.settled = true
	if o == policy.Succeeded || a.started {
		r.ended = true
	}
	result := policy.AttemptResult{Attempt: policy.AttemptID(a.number), Outcome: o, Elapsed: time.Duration(w.now - a.sent),
		RequestDone: r.ended, ActualUnits: units}
	r.handle.HandleAttemptResult(w.instant(), result)
	r.finished()
	if w.happens(0.01) { // twice, and one that was never sent
		r.handle.HandleAttemptResult(w.instant(), result)
		result.Attempt = 200
		r.handle.HandleAttemptResult(w.instant(), result)
	}
}

func (in *goldenInstance) Cancel(id policy.RequestID, n policy.AttemptID) {
	in.world.effect(codeCancel, in.number, uint64(id), uint64(n))
	a := in.open[id].attempts[n]
	in.afterIfRunning(goldenMillisecond/4, func() { a.settle(policy.Canceled, 0) })
}

func (in *goldenInstance) Reject(id policy.RequestID, retryAfter time.Duration) {
	in.world.effect(codeReject, in.number, uint64(id), uint64(retryAfter))
	in.open[id].ended = true
}

func (in *goldenInstance) Abort(id policy.RequestID) {
	in.world.effect(codeAbort, in.number, uint64(id))
	in.open[id].ended = true
}

func (in *goldenInstance) Admit(id policy.RequestID) {
	in.world.effect(codeAdmit, in.number, uint64(id))
	in.open[id].ended = true
}

func (in *goldenInstance) WakeAt(at policy.Instant, timer policy.TimerID) {
	w := in.world
	w.effect(codeTimer, in.number, uint64(at.Nanos()), uint64(timer))
	early := int64(0)
	if timer > 0 && w.happens(0.02) { // a coarse clock wakes a little early
		early = goldenMillisecond / 10
	}
	in.afterIfRunning(at.Nanos()-w.now-early, func() { in.engine.HandleTimer(w.instant(), timer) })
}

func (in *goldenInstance) CheckHealth(b policy.BackendID) {
	w := in.world
	w.effect(codeCheckHealth, in.number, uint64(b))
	if w.happens(0.2) {
		return // its answer is lost
	}
	in.afterIfRunning(2*goldenMillisecond+w.exponential(goldenMillisecond), func() {
		outcome := policy.ConnectFailed
		for _, x := range w.backends {
			if x.id == uint32(b) && x.refuses == 0 && x.hangs == 0 {
				outcome = policy.Succeeded
			}
		}
		in.engine.HandleHealthCheck(w.instant(), b, outcome)
	})
}

func (in *goldenInstance) WatchEndpoints() {
	w := in.world
	w.effect(codeWatch, in.number)
	in.afterIfRunning(5*goldenMillisecond+w.exponential(10*goldenMillisecond), func() {
		switch {
		case w.listDown > 0 && w.happens(0.1):
			in.list(policy.CachedSnapshot)
		case w.listDown > 0:
			in.engine.UpdateEndpoints(w.instant(), policy.UpdateFailed, nil)
		default:
			in.list(policy.FullSnapshot)
			if w.day.faults.list { // the watch breaks at times
				in.afterIfRunning(w.exponential(4*goldenSecond), func() {
					in.engine.UpdateEndpoints(w.instant(), policy.UpdateFailed, nil)
				})
			}
		}
	})
}

// LogUnknownClassOrPlan hashes the text that the log had when the days were recorded.
func (in *goldenInstance) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	text := fmt.Sprintf("transaction of unknown profile %d or plan %d broken off", class, plan)
	fields := []uint64{uint64(len(text))}
	for _, b := range []byte(text) {
		fields = append(fields, uint64(b))
	}
	in.world.effect(codeLog, in.number, fields...)
}

func (in *goldenInstance) AddToCounter(name policy.CounterKey, units float64, lifetime time.Duration) {
	w, c := in.world, &in.world.counter
	w.effect(codeAddToCounter, in.number, uint64(name), float(units), uint64(lifetime))
	timeout := int64(w.settings.CounterTimeout)
	call := &goldenCall{}
	in.calls[name] = append(in.calls[name], call)
	add := func() float64 {
		if c.until[name] <= w.now {
			c.totals[name], c.until[name] = 0, w.now+int64(lifetime)
		}
		c.totals[name] = float64(float32(c.totals[name] + units)) // the counter reports seven digits
		return c.totals[name]
	}
	way := goldenMillisecond/2 + w.exponential(goldenMillisecond/2)
	in.afterIfRunning(timeout, func() { in.answer(name, call, policy.TimedOut, 0) })
	switch {
	case c.refuses > 0:
		in.afterIfRunning(way, func() { in.answer(name, call, policy.ConnectFailed, 0) })
	case c.hangs > 0 && w.happens(0.5):
	case c.hangs > 0:
		w.after(2*timeout, func() { add() }) // added too late
	case c.rejects > 0 && w.happens(0.4):
		in.afterIfRunning(way, func() { in.answer(name, call, policy.Rejected, 0) })
	case c.breaks > 0 && w.happens(0.5):
		w.after(way, func() { add() })
		in.afterIfRunning(2*way, func() { in.answer(name, call, policy.ConnectionLost, 0) })
	default:
		if c.slow > 0 {
			way += w.exponential(40 * goldenMillisecond)
		}
		w.after(way, func() {
			total := add()
			in.afterIfRunning(way, func() { in.answer(name, call, policy.Succeeded, total) })
		})
	}
}

// answer brings the answers for a name in the order of the calls.
func (in *goldenInstance) answer(name policy.CounterKey, call *goldenCall, o policy.Outcome, total float64) {
	if call.done || in.engine == nil {
		return
	}
	call.done, call.outcome, call.total = true, o, total
	for len(in.calls[name]) > 0 && in.calls[name][0].done {
		first := in.calls[name][0]
		if in.calls[name] = in.calls[name][1:]; len(in.calls[name]) == 0 {
			delete(in.calls, name)
		}
		in.answerCall(name, first.outcome, first.total)
	}
	if in.world.happens(0.002) { // an answer to no call
		in.answerCall(name+1, o, total)
	}
}

func (in *goldenInstance) answerCall(name policy.CounterKey, o policy.Outcome, total float64) {
	result := policy.CounterResult{Key: name, Outcome: o, Total: total}
	in.engine.HandleCounterResult(in.world.instant(), result)
}
