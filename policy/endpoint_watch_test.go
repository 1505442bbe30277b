package policy

import (
	"math"
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/internal/pcg"
)

func TestWatch_RetriedAfterFailure(t *testing.T) {
	settings := defaultSettings()
	settings.PollEndpoints, settings.PollTimeout = true, 10*time.Second
	h := newHarness(t, settings, readyEndpoints(1)...)
	for h.advance(8 * time.Millisecond); h.watchCalls == 0; h.advance(8 * time.Millisecond) { // the first asking
	}
	for range 5 {
		watchesBefore := h.watchCalls
		h.updateEndpoints(UpdateFailed)
		if h.advance(10100 * time.Millisecond); h.watchCalls != watchesBefore+1 {
			t.Fatalf("asked %d times after a failure", h.watchCalls-watchesBefore)
		}
	}
}

// Fault: a call to a pushed list that an outage had silenced was given up after 3 s and retried up to 0.2 s
// later, whatever the grace: 23 draining backends were sent to 335 times. A third of the grace is the
// instance's own.
func TestWatch_SilentWatchIsRetriedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{
		200 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 10 * time.Second,
	} {
		timeouts := Settings{DrainGrace: grace}.DiscoveryTimeouts()
		watch, lateness, snapshot, retryDelay := timeouts.Watch, timeouts.WatchGrace, timeouts.Snapshot, timeouts.MaxRetryDelay
		if max(watch+lateness, snapshot)+retryDelay > grace*7/10 || watch < 50*time.Millisecond {
			t.Errorf("of a grace of %d: a watch of %d and %d, a list of %d, again after %d",
				grace, watch, lateness, snapshot, retryDelay)
		}
		settings := defaultSettings()
		settings.DrainGrace = grace
		h := newHarness(t, settings, readyEndpoints(1)...)
		for range 20 { // however long the outage
			watchesBefore := h.watchCalls
			h.updateEndpoints(UpdateFailed)
			if h.advance(grace/10 + 8*time.Millisecond); h.watchCalls != watchesBefore+1 {
				t.Fatalf("asked %d times within a tenth of %d", h.watchCalls-watchesBefore, grace)
			}
		}
	}
	// Asked for: what a watch missed that fell silent counts as reported six seconds after discovery had it,
	// whatever the wait that it was given and whatever failed before. Eight tenths are left for the answer to
	// the call that opens it anew, or to the one after a refusal.
	for _, pollTimeout := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second} {
		settings := defaultSettings()
		settings.PollEndpoints, settings.PollTimeout = true, pollTimeout
		timeouts := settings.DiscoveryTimeouts()
		watch, lateness, snapshot, retryDelay := timeouts.Watch, timeouts.WatchGrace, timeouts.Snapshot, timeouts.MaxRetryDelay
		if watch+lateness+retryDelay > 5200*time.Millisecond || snapshot+retryDelay > 5200*time.Millisecond {
			t.Errorf("asked for within %d: %d, %d, %d, %d", pollTimeout, watch, lateness, snapshot, retryDelay)
		}
		h := newHarness(t, settings, readyEndpoints(1)...)
		for h.advance(8 * time.Millisecond); h.watchCalls == 0; h.advance(8 * time.Millisecond) { // the first asking
		}
		for range 20 {
			watchesBefore := h.watchCalls
			h.updateEndpoints(UpdateFailed)
			if h.advance(4*time.Second + 8*time.Millisecond); h.watchCalls != watchesBefore+1 {
				t.Fatalf("asked %d times in the four seconds after a failure", h.watchCalls-watchesBefore)
			}
		}
	}
}

// overloadedDiscovery answers 20 calls a second, in turn, works at those too that have waited for more than
// two seconds, and refuses those that find a full queue.
type overloadedDiscovery struct{ idleFrom Instant }

// call returns when a call made now is answered, and whether well.
func (d *overloadedDiscovery) call(now Instant) (answerAt Instant, ok bool) {
	const serviceTime, maxWait, queueLength = time.Second / 20, 2 * time.Second, 50
	d.idleFrom = monotime.Later(d.idleFrom, now)
	wait := d.idleFrom.Sub(now)
	if wait > queueLength*serviceTime {
		return now, false
	}
	d.idleFrom = d.idleFrom.Add(serviceTime)
	if wait+serviceTime > maxWait { // answered too late
		return now.Add(maxWait), false
	}
	return now, true
}

// discoveryClient is an instance that polls.
type discoveryClient struct {
	*harness
	watchEndsAt  Instant // when its watch ends; zero: it has none
	callFailsAt  Instant // when its call fails; zero: it does not
	lastAnswerAt Instant
}

// step moves the instance to now, and returns whether it got an answer.
func (c *discoveryClient) step(now Instant, watch time.Duration, discovery *overloadedDiscovery) bool {
	if c.advance(4 * time.Millisecond); c.watchCalls > 0 {
		c.watchCalls, c.watchEndsAt = 0, now
	}
	if !c.callFailsAt.IsZero() && !now.Before(c.callFailsAt) {
		c.callFailsAt = Instant{}
		c.engine.UpdateEndpoints(c.now, UpdateFailed, nil)
	}
	if c.watchEndsAt.IsZero() || now.Before(c.watchEndsAt) {
		return false
	}
	c.watchEndsAt = Instant{}
	answerAt, ok := discovery.call(now)
	if !ok {
		c.callFailsAt = answerAt
		return false
	}
	c.engine.UpdateEndpoints(c.now, Delta, nil)
	c.watchEndsAt = now.Add(watch) // without an event
	return true
}

// Fault: instances refused by an overbooked discovery retried all at once, and as often: its queue was always
// full of calls that it answered too late, and no instance ever got an answer.
func TestWatch_OverloadedDiscoveryAnswersAllInstances(t *testing.T) {
	const instances = 80
	end := testStart.Add(60 * time.Second)
	settings := defaultSettings()
	settings.Instances = instances
	settings.PollEndpoints, settings.PollTimeout = true, 10*time.Second
	watch := settings.DiscoveryTimeouts().Watch
	var clients []*discoveryClient
	for n := range instances {
		client := &discoveryClient{harness: newHarness(t, settings, readyEndpoints(1)...)}
		client.engine.random = pcg.New(uint64(n))
		client.watchCalls, client.watchEndsAt = 0, client.now // all poll at once
		clients = append(clients, client)
	}
	discovery, longestGap := &overloadedDiscovery{}, time.Duration(0)
	for now := testStart; now.Before(end); now = now.Add(4 * time.Millisecond) {
		for _, client := range clients {
			if !client.step(now, watch, discovery) {
				continue
			}
			if now.After(testStart.Add(20 * time.Second)) { // from then on the six seconds hold for every instance
				longestGap = max(longestGap, now.Sub(client.lastAnswerAt))
			}
			client.lastAnswerAt = now
		}
	}
	for _, client := range clients {
		longestGap = max(longestGap, end.Sub(client.lastAnswerAt))
	}
	if longestGap > 6*time.Second {
		t.Errorf("an instance got no list for %d ms", longestGap/time.Millisecond)
	}
}

// Fault: 56 instances killed at once polled in the instant of their start, and the 34 that discovery did not
// answer within two seconds got no list for the next sixteen. A few instances still poll at once.
func TestWatch_FirstPollsOfInstancesAreSpread(t *testing.T) {
	for _, test := range []struct {
		instances int
		from, end time.Duration // of their askings
	}{{80, 2 * time.Second, 5 * time.Second}, {3, 0, 150 * time.Millisecond}} {
		first, last := time.Duration(math.MaxInt64), time.Duration(0)
		for index := range test.instances {
			settings := defaultSettings()
			settings.InstanceIndex = index
			settings.Instances = test.instances
			settings.PollEndpoints = true
			settings.PollTimeout = 10 * time.Second
			h := &harness{t: t, settings: settings, now: testStart}
			h.engine = New(Options{Now: h.now, Seed: uint64(index), Settings: settings, Effects: h})
			for h.watchCalls == 0 && h.now.Before(testStart.Add(10*time.Second)) {
				h.advance(4 * time.Millisecond)
			}
			polledAfter := h.now.Sub(testStart)
			first, last = min(first, polledAfter), max(last, polledAfter)
		}
		if last-first < test.from || last > test.end {
			t.Errorf("%d instances ask from %d to %d ns after their start", test.instances, first, last)
		}
	}
}
