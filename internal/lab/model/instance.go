package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// instance is a simulated gateway instance. It holds the engine and implements policy.Effects for it.
type instance struct {
	simulation  *simulation
	index       int
	incarnation int // incremented at each start and kill; events of earlier incarnations are ignored
	settings    policy.Settings
	engine      *policy.Engine // nil while it is down
	inFlight    map[policy.RequestID]*submission
	calls       map[policy.CounterKey][]*counterCall
	timerID     policy.TimerID // the latest timer, which replaces earlier ones
}

// start starts the instance with a new engine and the current endpoint list.
func (i *instance) start() {
	sim := i.simulation
	i.incarnation++
	i.inFlight = map[policy.RequestID]*submission{}
	i.calls = map[policy.CounterKey][]*counterCall{}
	stream := uint64(i.index)<<incarnationBits | uint64(i.incarnation) | engineStream
	seed := rand.New(rand.NewPCG(sim.scenario.Seed, stream)).Uint64()
	i.engine = policy.New(policy.Options{Now: sim.engineNow(), Seed: seed, Settings: i.settings, Effects: i})
	endpoints := make([]policy.Endpoint, 0, len(sim.backends))
	for _, b := range sim.backends {
		if b.state != policy.EndpointGone {
			endpoints = append(endpoints, i.deliverEndpoint(b))
		}
	}
	i.engine.UpdateEndpoints(sim.engineNow(), policy.FullSnapshot, endpoints)
}

// deliverEndpoint records that the instance receives a backend's state, and returns it as an endpoint.
func (i *instance) deliverEndpoint(b *backend) policy.Endpoint {
	sim := i.simulation
	sim.recorder.Observe(invariants.Event{
		At:        sim.now,
		Kind:      invariants.EndpointDelivered,
		Instance:  i.index,
		Backend:   b.index,
		State:     b.state,
		StartedAt: b.startedAt,
	})
	endpoint := policy.Endpoint{
		Backend: policy.BackendID(b.index + 1),
		Zone:    policy.ZoneID(b.index % sim.scenario.Backends.Zones),
		Group:   policy.GroupID(b.index % sim.scenario.Backends.Groups),
		Weight:  1,
		State:   b.state,
	}
	if !b.startedAt.IsZero() {
		endpoint.StartedAt = b.startedAt.Add(epoch)
	}
	return endpoint
}

// kill stops the instance. All its submissions in flight are abandoned.
func (i *instance) kill() {
	i.incarnation++
	i.engine = nil
	i.simulation.recorder.Observe(invariants.Event{
		At:       i.simulation.now,
		Kind:     invariants.InstanceDied,
		Instance: i.index,
	})
	ids := make([]policy.RequestID, 0, len(i.inFlight))
	for id := range i.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the iteration order of the map must not affect the run
	inFlight := i.inFlight
	i.inFlight = nil
	for _, id := range ids {
		inFlight[id].abandon()
	}
}

// receive passes a submission to the engine.
func (i *instance) receive(s *submission) {
	sim := i.simulation
	id := policy.RequestID(s.Submission)
	s.incarnation = i.incarnation
	i.inFlight[id] = s
	s.handle = i.engine.Submit(sim.engineNow(), policy.RequestSpec{
		ID:            id,
		Class:         policy.ClassID(s.Class),
		Plan:          policy.PlanID(s.Plan),
		Tenant:        policy.TenantID(s.Tenant + 1),
		Remaining:     max(s.Deadline.Sub(sim.now), 0),
		Units:         s.Units,
		EntryPoints:   sim.scenario.Load.EntryPoints,
		FirstInstance: sim.workload.Tenants[s.Tenant].FirstInstance,
	})
	i.removeIfDone(s)
}

// removeIfDone removes a submission from inFlight once the engine has no use for further events of it.
func (i *instance) removeIfDone(s *submission) {
	if s.handle != nil && s.handle.Done() {
		delete(i.inFlight, policy.RequestID(s.Submission))
	}
}

// Send implements policy.Effects. The model sends every attempt immediately.
func (i *instance) Send(spec policy.AttemptSpec) {
	sim := i.simulation
	s := i.inFlight[spec.Request]
	expiresAt := s.Deadline
	if !spec.ExpiresAt.IsZero() {
		expiresAt = monotime.Earlier(expiresAt, spec.ExpiresAt.Add(-epoch))
	}
	a := &attempt{
		submission: s,
		id:         policy.AttemptID(len(s.attempts)),
		target:     sim.backends[spec.Backend-1],
		sentAt:     sim.now,
	}
	s.attempts = append(s.attempts, a)
	sim.recorder.Observe(invariants.Event{
		At:         sim.now,
		Kind:       invariants.AttemptSent,
		Submission: s.Submission,
		Instance:   i.index,
		Backend:    a.target.index,
	})
	sim.at(expiresAt, func() { a.reportOutcome(policy.TimedOut) })
	sim.after(sim.drawOneWayDelay(), func() { a.target.arrive(a) })
}

// Cancel implements policy.Effects.
func (i *instance) Cancel(id policy.RequestID, attemptID policy.AttemptID) {
	s := i.inFlight[id]
	if s == nil || int(attemptID) >= len(s.attempts) {
		return
	}
	a := s.attempts[attemptID]
	a.isCanceled = true
	i.simulation.after(0, func() { a.reportOutcome(policy.Canceled) })
}

// Reject implements policy.Effects.
func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.inFlight[id].answer(invariants.Rejected, retryAfter)
}

// Abort implements policy.Effects.
func (i *instance) Abort(id policy.RequestID) { i.inFlight[id].answer(invariants.Aborted, 0) }

// Admit implements policy.Effects. It is never called, because scenarios have no count-only classes.
func (i *instance) Admit(policy.RequestID) {}

// WakeAt implements policy.Effects.
func (i *instance) WakeAt(at policy.Instant, timerID policy.TimerID) {
	if timerID != 0 {
		i.timerID = timerID
	}
	incarnation := i.incarnation
	i.simulation.at(at.Add(-epoch), func() {
		isCurrent := timerID == 0 || timerID == i.timerID
		if i.incarnation == incarnation && isCurrent {
			i.engine.HandleTimer(i.simulation.engineNow(), timerID)
		}
	})
}

// AddToCounter implements policy.Effects.
func (i *instance) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	i.simulation.counter.call(i, key, units, lifetime)
}

// CheckHealth implements policy.Effects.
func (i *instance) CheckHealth(id policy.BackendID) {
	sim := i.simulation
	incarnation := i.incarnation
	checked := sim.backends[id-1]
	sim.after(sim.drawRoundTripTime(), func() {
		outcome := policy.Succeeded
		if !checked.isUp || checked.refusing > 0 || checked.hanging > 0 {
			outcome = policy.ConnectFailed
		}
		if i.incarnation == incarnation {
			i.engine.HandleHealthCheck(sim.engineNow(), id, outcome)
		}
	})
}

// WatchEndpoints implements policy.Effects. It does nothing, because the simulated discovery pushes every change.
func (i *instance) WatchEndpoints() {}

// LogUnknownClassOrPlan implements policy.Effects. The model writes no log.
func (i *instance) LogUnknownClassOrPlan(policy.ClassID, policy.PlanID) {}
