// Package model is a discrete-event simulation of a scenario: hundreds of gateway instances, each a real
// policy.Engine, run between simulated clients, backends, counter and discovery while the scenario's faults
// occur.
//
// All events are in one queue ordered by time, and all random numbers are derived from the seed, so that
// repeated runs of a scenario process the same events. The package makes no gateway decisions of its own and
// never reads the system clock. Run is safe for concurrent use, since runs share no state.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// epoch is the Unix time that engines see at the start of a run. The date is arbitrary; engines need one because
// their windows are aligned to Unix time.
const epoch = 1_700_000_000 * time.Second

// Stream numbers of the random generators that are derived from the seed. Package workload uses the numbers
// below these.
const (
	networkStream = 2
	workStream    = 3
	// engineStream is set in the stream number from which an incarnation of an instance derives its seed.
	engineStream = 1 << 60
	// incarnationBits is the number of low bits of such a stream number that hold the incarnation.
	incarnationBits = 20
)

const (
	// sampleInterval is the time between two samples of the circuit breakers' states.
	sampleInterval = time.Second
	// settleTime is how long a run continues after the latest time at which a request may end.
	settleTime = time.Second
)

// simulation is the state of one run. Its instants count from the run's start; those of engines count from the
// Unix epoch.
type simulation struct {
	scenario       *scenario.Scenario
	now            monotime.Instant
	queue          timerqueue.Queue[func()]
	events         uint64
	recorder       *results.Recorder
	workload       *workload.Generator
	networkRandom  *rand.Rand
	workRandom     *rand.Rand
	instances      []*instance
	backends       []*backend
	counter        counter
	discovery      discovery
	lastSubmission invariants.SubmissionID
}

// Run simulates a scenario to its end and returns the results.
func Run(s *scenario.Scenario) (*results.Run, error) {
	sim, err := newSimulation(s)
	if err != nil {
		return nil, err
	}
	return sim.simulate(), nil
}

func newSimulation(s *scenario.Scenario) (*simulation, error) {
	settings, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	sim := &simulation{
		scenario:      s,
		recorder:      results.New(s, settings, 2*time.Duration(s.Network.Delay)),
		workload:      workload.New(s),
		networkRandom: rand.New(rand.NewPCG(s.Seed, networkStream)),
		workRandom:    rand.New(rand.NewPCG(s.Seed, workStream)),
	}
	sim.counter = newCounter(sim)
	sim.discovery.simulation = sim
	for n := range s.Backends.Count {
		sim.backends = append(sim.backends, newBackend(sim, n))
	}
	for n := range s.Instances.Count {
		i := &instance{simulation: sim, index: n}
		if i.settings, err = s.EngineSettings(n); err != nil {
			return nil, fmt.Errorf("scenario %s: instance %d: %w", s.Name, n, err)
		}
		sim.instances = append(sim.instances, i)
		i.start()
	}
	for _, fault := range s.Faults {
		sim.scheduleFault(fault)
	}
	sim.scheduleArrival()
	sim.sampleBreakers()
	return sim, nil
}

// simulate processes the queued events until the end of the run.
func (sim *simulation) simulate() *results.Run {
	endTime := sim.endTime()
	for {
		due, ok := sim.queue.NextDue(func(func()) bool { return false })
		if !ok || due.After(endTime) {
			break
		}
		handler, _ := sim.queue.PopDue(due)
		sim.now = due
		sim.events++
		handler()
	}
	return sim.recorder.Finish(endTime, sim.events)
}

// endTime returns the end of the run: settleTime after the latest deadline that a request can have, including the
// grace for its answer.
func (sim *simulation) endTime() monotime.Instant {
	var longest scenario.Span
	for _, class := range sim.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	length := sim.scenario.Duration + longest + sim.scenario.Rules.DeadlineGrace
	return sinceStart(time.Duration(length) + settleTime)
}

// sinceStart returns the instant that is the given time after the run's start.
func sinceStart(span time.Duration) monotime.Instant { return monotime.Instant{}.Add(span) }

// at schedules a handler for an instant. If the instant has passed, the handler runs right after the current one.
func (sim *simulation) at(due monotime.Instant, handler func()) {
	sim.queue.Push(monotime.Later(due, sim.now), handler)
}

// after schedules a handler to run after a delay.
func (sim *simulation) after(delay time.Duration, handler func()) {
	sim.at(sim.now.Add(delay), handler)
}

// drawOneWayDelay draws a random delay for a message in one direction: half of the configured network delay plus
// an exponentially distributed part whose mean is the other half.
func (sim *simulation) drawOneWayDelay() time.Duration {
	delay := float64(sim.scenario.Network.Delay)
	return time.Duration(delay/2 + delay/2*sim.networkRandom.ExpFloat64())
}

// drawRoundTripTime draws a random round-trip time, which is twice a one-way delay.
func (sim *simulation) drawRoundTripTime() time.Duration { return 2 * sim.drawOneWayDelay() }

// engineNow returns the current time as engines see it.
func (sim *simulation) engineNow() policy.Instant { return sim.now.Add(epoch) }

// sampleBreakers records how many instances have an open circuit breaker, once per sampleInterval.
func (sim *simulation) sampleBreakers() {
	open := 0
	for _, i := range sim.instances {
		if i.engine == nil {
			continue
		}
		if i.engine.BreakerOpen() {
			open++
		}
	}
	sim.recorder.SetOpenBreakers(sim.now, open)
	sim.after(sampleInterval, sim.sampleBreakers)
}

// scheduleArrival schedules the next request of the workload. Its handler schedules the request that follows.
func (sim *simulation) scheduleArrival() {
	request, ok := sim.workload.Next()
	if !ok {
		return
	}
	sim.at(request.Due, func() {
		sim.submit(request, request.Due, 0)
		sim.scheduleArrival()
	})
}
