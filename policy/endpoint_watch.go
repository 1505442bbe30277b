package policy

import "time"

const (
	// Where lists are pushed, a change counts as announced as soon as the discovery agent has it, a call that an outage
	// interrupted is never answered, and a new call costs discovery nothing. The timeouts are the drain grace divided by
	// these divisors. Together they leave an instance a third of the grace to stop sending.
	pushedWatchDivisor      = 3
	pushedWatchGraceDivisor = 4
	pushedSnapshotDivisor   = 2
	pushedRetryDelayDivisor = 10
	// minDrainGrace is the shortest drain grace that the timeouts follow: below it an instance would do little else than
	// call discovery.
	minDrainGrace = 200 * time.Millisecond

	// Where lists are polled, each call costs discovery work, but an instance has to apply a change within 6 s of the
	// time at which it could be fetched. A watch that gets no answer is therefore replaced within 5.2 s. The snapshot
	// timeout is the time that discovery keeps a call queued.
	minPolledWatch        = 2 * time.Second
	maxPolledWatch        = 4500 * time.Millisecond
	polledWatchGrace      = 500 * time.Millisecond
	polledSnapshotTimeout = 3 * time.Second
	polledRetryDelay      = 200 * time.Millisecond
	retryDelayGrowth      = 3
	minRetryDelayCap      = 500 * time.Millisecond
	maxRetryDelay         = 4 * time.Second // below the 6 s in which a change has to be applied, also after failures

	// firstPollSpacing is the average time between the first polls of instances that start together. The polls are spread
	// over at most maxFirstPollSpread, so that each instance has its list within 6 s of its start.
	firstPollSpacing   = 50 * time.Millisecond
	maxFirstPollSpread = 3500 * time.Millisecond
)

// DiscoveryTimeouts returns the timeouts of calls to discovery. They follow from DrainGrace where lists are pushed, and
// from PollTimeout where lists are polled.
func (s Settings) DiscoveryTimeouts() DiscoveryTimeouts {
	if s.PollEndpoints {
		return DiscoveryTimeouts{
			Watch:         min(max(minPolledWatch, s.PollTimeout), maxPolledWatch),
			WatchGrace:    polledWatchGrace,
			Snapshot:      polledSnapshotTimeout,
			MaxRetryDelay: polledRetryDelay,
		}
	}
	grace := max(s.DrainGrace, minDrainGrace)
	return DiscoveryTimeouts{
		Watch:         grace / pushedWatchDivisor,
		WatchGrace:    grace / pushedWatchGraceDivisor,
		Snapshot:      grace / pushedSnapshotDivisor,
		MaxRetryDelay: grace / pushedRetryDelayDivisor,
	}
}

// scheduleFirstPoll schedules the first poll of the endpoint list after a random delay. The delay spreads the polls of
// instances that start together, over at most half of PollTimeout.
func (e *Engine) scheduleFirstPoll(now Instant) {
	spread := time.Duration(e.settings.Instances-1) * firstPollSpacing
	spread = min(spread, e.settings.PollTimeout/2, maxFirstPollSpread)
	delay := time.Duration(e.random.Float64() * float64(spread))
	e.schedule(now.Add(delay), nil, func(Instant) { e.effects.WatchEndpoints() })
}

// retryWatch schedules a new watch after a failure, with a random delay between half of the retry delay and all of it.
// Where lists are polled, the retry delay grows with each failure. Otherwise the instances would keep the queue of an
// overloaded discovery service full of calls that it answers too late, and no instance would ever get an answer.
func (e *Engine) retryWatch(now Instant) {
	delay := time.Duration((1 + e.random.Float64()) / 2 * float64(e.watchRetryDelay))
	e.schedule(now.Add(delay), nil, func(Instant) { e.effects.WatchEndpoints() })
	if e.settings.PollEndpoints {
		delayCap := min(max(e.settings.PollTimeout, minRetryDelayCap), maxRetryDelay)
		e.watchRetryDelay = min(e.watchRetryDelay*retryDelayGrowth, delayCap)
	}
}
