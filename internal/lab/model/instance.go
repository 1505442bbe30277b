package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// instance is one gateway instance: its engine, for which it implements policy.Effects.
type instance struct {
	world       *world
	index       int
	incarnation int // changes at each start and death; what belongs to an earlier one is void
	settings    policy.Settings
	engine      *policy.Engine // nil while it is down
	inFlight    map[policy.RequestID]*submission
	calls       map[policy.CounterKey][]*counterCall
	timerID     policy.TimerID // the latest, which replaced those before it
}

// start starts the instance with the current endpoint list.
func (i *instance) start() {
	w := i.world
	i.incarnation++
	i.inFlight = map[policy.RequestID]*submission{}
	i.calls = map[policy.CounterKey][]*counterCall{}
	stream := uint64(i.index)<<incarnationBits | uint64(i.incarnation) | engineStream
	seed := rand.New(rand.NewPCG(w.scenario.Seed, stream)).Uint64()
	i.engine = policy.New(policy.Options{Now: w.engineNow(), Seed: seed, Settings: i.settings, Effects: i})
	list := make([]policy.Endpoint, 0, len(w.backends))
	for _, b := range w.backends {
		if b.state != policy.EndpointGone {
			list = append(list, i.deliver(b))
		}
	}
	i.engine.UpdateEndpoints(w.engineNow(), policy.FullSnapshot, list)
}

// deliver records that a backend's state is delivered to the instance, and returns its endpoint.
func (i *instance) deliver(b *backend) policy.Endpoint {
	w := i.world
	w.recorder.Observe(invariants.Event{
		At:        w.now,
		Kind:      invariants.EndpointDelivered,
		Instance:  i.index,
		Backend:   b.index,
		State:     b.state,
		StartedAt: b.startedAt,
	})
	endpoint := policy.Endpoint{
		Backend: policy.BackendID(b.index + 1),
		Zone:    policy.ZoneID(b.index % w.scenario.Backends.Zones),
		Group:   policy.GroupID(b.index % w.scenario.Backends.Groups),
		Weight:  1,
		State:   b.state,
	}
	if !b.startedAt.IsZero() {
		endpoint.StartedAt = b.startedAt.Add(epoch)
	}
	return endpoint
}

// die kills the instance with everything that is in flight in it.
func (i *instance) die() {
	i.incarnation++
	i.engine = nil
	i.world.recorder.Observe(invariants.Event{
		At:       i.world.now,
		Kind:     invariants.InstanceDied,
		Instance: i.index,
	})
	ids := make([]policy.RequestID, 0, len(i.inFlight))
	for id := range i.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids) // map order must not affect the run
	inFlight := i.inFlight
	i.inFlight = nil
	for _, id := range ids {
		inFlight[id].lose()
	}
}

// receive passes a submission to the engine.
func (i *instance) receive(s *submission) {
	w := i.world
	id := policy.RequestID(s.Submission)
	s.incarnation = i.incarnation
	i.inFlight[id] = s
	s.handle = i.engine.Submit(w.engineNow(), policy.RequestSpec{
		ID:            id,
		Class:         policy.ClassID(s.Class),
		Plan:          policy.PlanID(s.Plan),
		Tenant:        policy.TenantID(s.Tenant + 1),
		Remaining:     max(s.Deadline.Sub(w.now), 0),
		Units:         s.Units,
		EntryPoints:   w.scenario.Load.EntryPoints,
		FirstInstance: w.workload.Tenants[s.Tenant].FirstInstance,
	})
	i.forgetIfDone(s)
}

// forgetIfDone forgets a submission once nothing more can come for it.
func (i *instance) forgetIfDone(s *submission) {
	if s.handle != nil && s.handle.Done() {
		delete(i.inFlight, policy.RequestID(s.Submission))
	}
}

// Send implements policy.Effects. The model begins every attempt at once.
func (i *instance) Send(spec policy.AttemptSpec) {
	w := i.world
	s := i.inFlight[spec.Request]
	expiresAt := s.Deadline
	if !spec.ExpiresAt.IsZero() {
		expiresAt = monotime.Earlier(expiresAt, spec.ExpiresAt.Add(-epoch))
	}
	a := &attempt{
		submission: s,
		id:         policy.AttemptID(len(s.attempts)),
		to:         w.backends[spec.Backend-1],
		sentAt:     w.now,
	}
	s.attempts = append(s.attempts, a)
	w.recorder.Observe(invariants.Event{
		At:         w.now,
		Kind:       invariants.AttemptSent,
		Submission: s.Submission,
		Instance:   i.index,
		Backend:    a.to.index,
	})
	w.at(expiresAt, func() { a.end(policy.TimedOut) })
	w.after(w.oneWayDelay(), func() { a.to.arrive(a) })
}

// Cancel implements policy.Effects.
func (i *instance) Cancel(id policy.RequestID, attemptID policy.AttemptID) {
	s := i.inFlight[id]
	if s == nil || int(attemptID) >= len(s.attempts) {
		return
	}
	a := s.attempts[attemptID]
	a.isCanceled = true
	i.world.after(0, func() { a.end(policy.Canceled) })
}

// Reject implements policy.Effects.
func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.inFlight[id].answer(invariants.Rejected, retryAfter)
}

// Abort implements policy.Effects.
func (i *instance) Abort(id policy.RequestID) { i.inFlight[id].answer(invariants.Aborted, 0) }

// Admit implements policy.Effects. It is never called: scenarios have no class that only counts.
func (i *instance) Admit(policy.RequestID) {}

// WakeAt implements policy.Effects.
func (i *instance) WakeAt(at policy.Instant, timerID policy.TimerID) {
	if timerID != 0 {
		i.timerID = timerID
	}
	incarnation := i.incarnation
	i.world.at(at.Add(-epoch), func() {
		isCurrent := timerID == 0 || timerID == i.timerID
		if i.incarnation == incarnation && isCurrent {
			i.engine.HandleTimer(i.world.engineNow(), timerID)
		}
	})
}

// AddToCounter implements policy.Effects.
func (i *instance) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	i.world.counter.call(i, key, units, lifetime)
}

// CheckHealth implements policy.Effects.
func (i *instance) CheckHealth(id policy.BackendID) {
	w := i.world
	incarnation := i.incarnation
	checked := w.backends[id-1]
	w.after(w.roundTrip(), func() {
		outcome := policy.Succeeded
		if !checked.isUp || checked.refusing > 0 || checked.hanging > 0 {
			outcome = policy.ConnectFailed
		}
		if i.incarnation == incarnation {
			i.engine.HandleHealthCheck(w.engineNow(), id, outcome)
		}
	})
}

// WatchEndpoints implements policy.Effects. Discovery delivers its events unasked.
func (i *instance) WatchEndpoints() {}

// LogUnknownClassOrPlan implements policy.Effects. The model keeps no log.
func (i *instance) LogUnknownClassOrPlan(policy.ClassID, policy.PlanID) {}
