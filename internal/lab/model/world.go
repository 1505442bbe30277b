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

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// epochNanos is the Unix time at which a run starts for the instances: an arbitrary day, needed because their
// windows follow Unix time.
const epochNanos int64 = 1_700_000_000e9

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
	// sampleIntervalNanos is the time between two samples of the breakers.
	sampleIntervalNanos = 1e9
	// settleNanos is how long a run continues after the last request has ended.
	settleNanos = 1e9
)

// world is everything that takes part in a run. Times are nanoseconds since its start.
type world struct {
	scenario       *scenario.Scenario
	nowNanos       int64
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
		recorder:      results.New(s, settings, 2*int64(s.Net.Delay)),
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
	endNanos := w.endNanos()
	for {
		due, ok := w.queue.NextDue(func(func()) bool { return false })
		if !ok || due.Nanos() > endNanos {
			break
		}
		do, _ := w.queue.PopDue(due)
		w.nowNanos = due.Nanos()
		w.events++
		do()
	}
	return w.recorder.Finish(endNanos, w.events)
}

// endNanos returns the end of the run: some time after the last request of all must have its answer.
func (w *world) endNanos() int64 {
	var longest scenario.Span
	for _, class := range w.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	return int64(w.scenario.Duration + longest + w.scenario.Rules.Grace + settleNanos)
}

// at schedules do for a time. A time in the past means as soon as the current event has been handled.
func (w *world) at(dueNanos int64, do func()) {
	w.queue.Push(monotime.FromNanos(max(dueNanos, w.nowNanos)), do)
}

// after schedules do for a delay from now.
func (w *world) after(delayNanos int64, do func()) { w.at(w.nowNanos+delayNanos, do) }

// oneWayDelayNanos draws the delay of a message in one direction: half of Net.Delay, plus an exponential part
// with the same mean.
func (w *world) oneWayDelayNanos() int64 {
	delay := float64(w.scenario.Net.Delay)
	return int64(delay/2 + delay/2*w.networkRandom.ExpFloat64())
}

// roundTripNanos draws a round-trip time, as twice a one-way delay.
func (w *world) roundTripNanos() int64 { return 2 * w.oneWayDelayNanos() }

// engineNow returns the present time as engines see it.
func (w *world) engineNow() policy.Instant { return monotime.FromNanos(epochNanos + w.nowNanos) }

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
	w.recorder.SetOpenBreakers(w.nowNanos, open)
	w.after(sampleIntervalNanos, w.sampleBreakers)
}

// scheduleArrival schedules the next request, which schedules the one after it.
func (w *world) scheduleArrival() {
	request, ok := w.workload.Next()
	if !ok {
		return
	}
	w.at(request.AtNanos, func() {
		w.submit(request, request.AtNanos, 0)
		w.scheduleArrival()
	})
}
