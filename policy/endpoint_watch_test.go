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
	for h.advance(8 * time.Millisecond); h.watchCalls == 0; h.advance(8 * time.Millisecond) { // until the first poll
	}
	for range 5 {
		watchesBefore := h.watchCalls
		h.updateEndpoints(UpdateFailed)
		if h.advance(10100 * time.Millisecond); h.watchCalls != watchesBefore+1 {
			t.Fatalf("%d watches started after a failure, want 1", h.watchCalls-watchesBefore)
		}
	}
}

// TestWatch_UnansweredWatchIsRetriedWithinDrainGrace guards against a fault: where lists are pushed, a call without an
// answer because of an outage was given up after 3 s and retried up to 0.2 s later, whatever the drain grace: 335
// attempts were sent to 23 draining backends. A third of the grace is left for the instance itself.
func TestWatch_UnansweredWatchIsRetriedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{
		200 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 10 * time.Second,
	} {
		timeouts := Settings{DrainGrace: grace}.DiscoveryTimeouts()
		watch, watchGrace, snapshot, retryDelay :=
			timeouts.Watch, timeouts.WatchGrace, timeouts.Snapshot, timeouts.MaxRetryDelay
		if max(watch+watchGrace, snapshot)+retryDelay > grace*7/10 || watch < 50*time.Millisecond {
			t.Errorf("drain grace %d ns: watch timeout %d ns, watch grace %d ns, snapshot timeout %d ns, retry delay %d ns",
				grace, watch, watchGrace, snapshot, retryDelay)
		}
		settings := defaultSettings()
		settings.DrainGrace = grace
		h := newHarness(t, settings, readyEndpoints(1)...)
		for range 20 { // the delay stays the same for the whole outage
			watchesBefore := h.watchCalls
			h.updateEndpoints(UpdateFailed)
			if h.advance(grace/10 + 8*time.Millisecond); h.watchCalls != watchesBefore+1 {
				t.Fatalf("%d watches started within a tenth of a grace of %d ns, want 1", h.watchCalls-watchesBefore, grace)
			}
		}
	}
	// Where lists are polled, a change that a watch without an answer missed has to be applied within 6 s of the time at
	// which discovery had it, whatever the watch timeout and earlier failures. 0.8 s are left for the answer to the call
	// that starts the next watch, or to the call after a rejected one.
	for _, pollTimeout := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second} {
		settings := defaultSettings()
		settings.PollEndpoints, settings.PollTimeout = true, pollTimeout
		timeouts := settings.DiscoveryTimeouts()
		watch, watchGrace, snapshot, retryDelay :=
			timeouts.Watch, timeouts.WatchGrace, timeouts.Snapshot, timeouts.MaxRetryDelay
		if watch+watchGrace+retryDelay > 5200*time.Millisecond || snapshot+retryDelay > 5200*time.Millisecond {
			t.Errorf("poll timeout %d ns: watch timeout %d ns, watch grace %d ns, snapshot timeout %d ns, retry delay %d ns",
				pollTimeout, watch, watchGrace, snapshot, retryDelay)
		}
		h := newHarness(t, settings, readyEndpoints(1)...)
		for h.advance(8 * time.Millisecond); h.watchCalls == 0; h.advance(8 * time.Millisecond) { // until the first poll
		}
		for range 20 {
			watchesBefore := h.watchCalls
			h.updateEndpoints(UpdateFailed)
			if h.advance(4*time.Second + 8*time.Millisecond); h.watchCalls != watchesBefore+1 {
				t.Fatalf("%d watches started in the 4 s after a failure, want 1", h.watchCalls-watchesBefore)
			}
		}
	}
}

// overloadedDiscovery simulates a discovery service that answers 20 calls per second in order. It also processes calls
// that have waited for more than 2 s, whose answers come too late, and rejects calls while its queue is full.
type overloadedDiscovery struct{ idleFrom Instant }

// call returns when the result of a call made now arrives, and whether it is an answer in time.
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

// discoveryClient is an instance that polls the endpoint list.
type discoveryClient struct {
	*harness
	watchEndsAt  Instant // when its watch ends and it calls discovery; zero: it has no watch
	callFailsAt  Instant // when its call fails; zero: no call is about to fail
	lastAnswerAt Instant
}

// step advances the instance to now, and reports whether it got an answer.
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
	c.watchEndsAt = now.Add(watch) // no event ends the watch early
	return true
}

// TestWatch_OverloadedDiscoveryAnswersAllInstances guards against a fault: instances whose calls an overloaded
// discovery service rejected all retried at the same time and without backoff. Its queue was always full of calls that
// it answered too late, and no instance got an answer.
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
		client.watchCalls, client.watchEndsAt = 0, client.now // all instances poll at once
		clients = append(clients, client)
	}
	discovery, longestGap := &overloadedDiscovery{}, time.Duration(0)
	for now := testStart; now.Before(end); now = now.Add(4 * time.Millisecond) {
		for _, client := range clients {
			if !client.step(now, watch, discovery) {
				continue
			}
			if now.After(testStart.Add(20 * time.Second)) { // after 20 s no instance may wait for more than 6 s
				longestGap = max(longestGap, now.Sub(client.lastAnswerAt))
			}
			client.lastAnswerAt = now
		}
	}
	for _, client := range clients {
		longestGap = max(longestGap, end.Sub(client.lastAnswerAt))
	}
	if longestGap > 6*time.Second {
		t.Errorf("an instance got no answer from discovery for %d ms", longestGap/time.Millisecond)
	}
}

// TestWatch_FirstPollsOfInstancesAreSpread guards against a fault: 56 instances that were killed and restarted
// together all polled at the moment of their start, and the 34 that discovery did not answer within 2 s got no list
// for the next 16 s. A small number of instances still polls without a long delay.
func TestWatch_FirstPollsOfInstancesAreSpread(t *testing.T) {
	for _, test := range []struct {
		instances int
		from, end time.Duration // shortest spread of the first polls, and latest first poll
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
			t.Errorf("%d instances first poll between %d and %d ns after their start", test.instances, first, last)
		}
	}
}
