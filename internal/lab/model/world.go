// Package model plays a scenario in simulated time: the decisions of hundreds of gateway instances, each a
// policy.Engine, between models of clients, backends, counter and discovery with the scenario's faults.
//
// All events are in one queue ordered by time, and all random numbers come from the seed, so that a run gives
// the same events each time. The package decides nothing that a gateway decides, and reads no clock. Run is
// safe for concurrent use: runs share nothing.
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

// epoch is the Unix time at which a run starts for the engines: an arbitrary day, needed because their windows
// follow Unix time.
const epoch = 1_700_000_000 * time.Second

// The random streams of the seed. The workload uses those before these.
const (
	networkStream = 2
	workStream    = 3
	// engineStream marks the streams from which each incarnation of an instance gets its seed.
	engineStream = 1 << 60
	// incarnationBits is how many bits of such a stream number the incarnations.
	incarnationBits = 20
)

const (
	// sampleInterval is the time between two samples of the breakers.
	sampleInterval = time.Second
	// settleTime is how long a run continues after the last request has ended.
	settleTime = time.Second
)

// world is everything that takes part in a run. Its instants count from the run's start, those of engines from
// the Unix epoch.
type world struct {
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

// Run plays a scenario to its end, and returns its results.
func Run(s *scenario.Scenario) (*results.Run, error) {
	w, err := newWorld(s)
	if err != nil {
		return nil, err
	}
	return w.play(), nil
}

func newWorld(s *scenario.Scenario) (*world, error) {
	settings, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	w := &world{
		scenario:      s,
		recorder:      results.New(s, settings, 2*time.Duration(s.Network.Delay)),
		workload:      workload.New(s),
		networkRandom: rand.New(rand.NewPCG(s.Seed, networkStream)),
		workRandom:    rand.New(rand.NewPCG(s.Seed, workStream)),
	}
	w.counter = newCounter(w)
	w.discovery.world = w
	for n := range s.Backends.Count {
		w.backends = append(w.backends, newBackend(w, n))
	}
	for n := range s.Instances.Count {
		i := &instance{world: w, index: n}
		if i.settings, err = s.EngineSettings(n); err != nil {
			return nil, fmt.Errorf("%s: instance %d: %w", s.Name, n, err)
		}
		w.instances = append(w.instances, i)
		i.start()
	}
	for _, fault := range s.Faults {
		w.scheduleFault(fault)
	}
	w.scheduleArrival()
	w.sampleBreakers()
	return w, nil
}

// play handles the events of the queue until the end of the run.
func (w *world) play() *results.Run {
	end := w.end()
	for {
		due, ok := w.queue.NextDue(func(func()) bool { return false })
		if !ok || due.After(end) {
			break
		}
		do, _ := w.queue.PopDue(due)
		w.now = due
		w.events++
		do()
	}
	return w.recorder.Finish(end, w.events)
}

// end returns the end of the run: some time after the last request of all must have its answer.
func (w *world) end() monotime.Instant {
	var longest scenario.Span
	for _, class := range w.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	length := w.scenario.Duration + longest + w.scenario.Rules.DeadlineGrace
	return sinceStart(time.Duration(length) + settleTime)
}

// sinceStart returns the instant a span after the run's start.
func sinceStart(span time.Duration) monotime.Instant { return monotime.Instant{}.Add(span) }

// at schedules do for a time. A time in the past means as soon as the current event has been handled.
func (w *world) at(due monotime.Instant, do func()) {
	w.queue.Push(monotime.Later(due, w.now), do)
}

// after schedules do for a delay from now.
func (w *world) after(delay time.Duration, do func()) { w.at(w.now.Add(delay), do) }

// oneWayDelay draws the delay of a message in one direction: half of Net.Delay, plus an exponential part
// with the same mean.
func (w *world) oneWayDelay() time.Duration {
	delay := float64(w.scenario.Network.Delay)
	return time.Duration(delay/2 + delay/2*w.networkRandom.ExpFloat64())
}

// roundTrip draws a round-trip time, as twice a one-way delay.
func (w *world) roundTrip() time.Duration { return 2 * w.oneWayDelay() }

// engineNow returns the present time as engines see it.
func (w *world) engineNow() policy.Instant { return w.now.Add(epoch) }

// sampleBreakers records each second how many instances have their breaker open.
func (w *world) sampleBreakers() {
	open := 0
	for _, i := range w.instances {
		if i.engine == nil {
			continue
		}
		if i.engine.BreakerOpen() {
			open++
		}
	}
	w.recorder.SetOpenBreakers(w.now, open)
	w.after(sampleInterval, w.sampleBreakers)
}

// scheduleArrival schedules the next request, which schedules the one after it.
func (w *world) scheduleArrival() {
	request, ok := w.workload.Next()
	if !ok {
		return
	}
	w.at(request.Due, func() {
		w.submit(request, request.Due, 0)
		w.scheduleArrival()
	})
}
