package policy

import "time"

const (
	// Where lists are pushed, what the agent has counts at once, a call silenced by an outage is never answered,
	// and asking is free. The timeouts are the drain grace over these divisors, which together leave an instance a
	// third of the grace to stop sending.
	pushedWatchDivisor    = 3
	pushedLatenessDivisor = 4
	pushedSnapshotDivisor = 2
	pushedRetryDivisor    = 10
	// minDrainGrace is the shortest drain grace that is followed: with less an instance would do little but ask.
	minDrainGrace = 200 * time.Millisecond

	// Where lists are polled, asking is work for discovery, but a change is due 6 s after it could be fetched: a
	// silent watch is opened anew by 5.2 s. A snapshot may take as long as discovery keeps it queued.
	minPolledWatch   = 2 * time.Second
	maxPolledWatch   = 4500 * time.Millisecond
	polledLateness   = 500 * time.Millisecond
	polledSnapshot   = 3 * time.Second
	polledRetryDelay = 200 * time.Millisecond
	retryDelayGrowth = 3
	minRetryDelayCap = 500 * time.Millisecond
	maxRetryDelay    = 4 * time.Second // changes are due in six, whatever failed

	// firstPollSpacing is the time between the first polls of instances that start together, over
	// maxFirstPollSpread in all: each has its list six seconds after its start.
	firstPollSpacing   = 50 * time.Millisecond
	maxFirstPollSpread = 3500 * time.Millisecond
)

// DiscoveryTimeouts returns the bounds of calls to discovery.
//
// Inputs: the drain grace where lists are pushed, the time that a poll may take where they are polled.
func (s Settings) DiscoveryTimeouts() DiscoveryTimeouts {
	if s.PollEndpoints {
		return DiscoveryTimeouts{
			Watch:         min(max(minPolledWatch, s.PollTimeout), maxPolledWatch),
			WatchGrace:    polledLateness,
			Snapshot:      polledSnapshot,
			MaxRetryDelay: polledRetryDelay,
		}
	}
	grace := max(s.DrainGrace, minDrainGrace)
	return DiscoveryTimeouts{
		Watch:         grace / pushedWatchDivisor,
		WatchGrace:    grace / pushedLatenessDivisor,
		Snapshot:      grace / pushedSnapshotDivisor,
		MaxRetryDelay: grace / pushedRetryDivisor,
	}
}

// scheduleFirstPoll asks for the endpoint list for the first time. Instances that start together spread their
// polls within half a poll's time.
func (e *Engine) scheduleFirstPoll(now Instant) {
	spread := time.Duration(e.settings.Instances-1) * firstPollSpacing
	spread = min(spread, e.settings.PollTimeout/2, maxFirstPollSpread)
	delay := time.Duration(e.random.Float64() * float64(spread))
	e.schedule(now.Add(delay), nil, func(Instant) { e.effects.WatchEndpoints() })
}

// retryWatch asks for the list again after a failure, after half to all of the retry delay. Where asking is
// work the delay grows with each failure: otherwise the instances fill the queue of overloaded discovery with
// calls answered too late, and none ever gets an answer.
func (e *Engine) retryWatch(now Instant) {
	delay := time.Duration((1 + e.random.Float64()) / 2 * float64(e.watchRetryDelay))
	e.schedule(now.Add(delay), nil, func(Instant) { e.effects.WatchEndpoints() })
	if e.settings.PollEndpoints {
		delayCap := min(max(e.settings.PollTimeout, minRetryDelayCap), maxRetryDelay)
		e.watchRetryDelay = min(e.watchRetryDelay*retryDelayGrowth, delayCap)
	}
}
