package policy

import (
	"math"
	"testing"

	"fawnplank/internal/pcg"
)

// Fault: what was remembered of backends that are gone grew for as long as new ones came.
func TestEndpoints_GoneBackendsAreForgotten(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1)...)
	held := h.submit(1, 0, 0, 1, 2*second, 1)
	for n := BackendID(2); n < 3000; n++ {
		if n%2 == 0 {
			h.update(Delta, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now},
				Endpoint{Backend: n - 1, State: EndpointGone})
		} else {
			h.update(FullSnapshot, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now})
		}
		if n%200 == 0 {
			h.advance(100 * millisecond)
		}
	}
	known, listed := len(h.engine.backends), len(h.engine.endpoints)
	if listed > 210 || known != listed || h.engine.backends[1] == nil {
		t.Errorf("%d backends are kept, %d of them listed", known, listed)
	}
	h.endAttempt(held, 0, Succeeded)
	if h.advance(100 * millisecond); h.engine.backends[1] != nil {
		t.Error("one that is gone and has nothing in flight is kept")
	}
}

func TestEndpoints_FailedWatchIsRetried(t *testing.T) {
	settings := defaultSettings()
	settings.PollEndpoints, settings.PollTimeout = true, 10*second
	h := newHarness(t, settings, readyEndpoints(1)...)
	for h.advance(8 * millisecond); h.watches == 0; h.advance(8 * millisecond) { // the first asking
	}
	for range 5 {
		n := h.watches
		h.update(UpdateFailed)
		if h.advance(10100 * millisecond); h.watches != n+1 {
			t.Fatalf("asked %d times after a failure", h.watches-n)
		}
	}
}

// Fault: a call to a pushed list that an outage had silenced was given up after 3 s and retried up to 0.2 s
// later, whatever the grace: 23 draining backends were sent to 335 times. A third of the grace is the
// instance's own.
func TestEndpoints_SilentWatchIsRetriedWithinTheGrace(t *testing.T) {
	for _, grace := range []int64{200 * millisecond, 250 * millisecond, 500 * millisecond, second, 10 * second} {
		timeouts := Settings{DrainGrace: grace}.DiscoveryTimeouts()
		watch, late, whole, again := timeouts.Watch, timeouts.Lateness, timeouts.Snapshot, timeouts.RetryDelay
		if max(watch+late, whole)+again > grace*7/10 || watch < 50*millisecond {
			t.Errorf("of a grace of %d: a watch of %d and %d, a list of %d, again after %d",
				grace, watch, late, whole, again)
		}
		settings := defaultSettings()
		settings.DrainGrace = grace
		h := newHarness(t, settings, readyEndpoints(1)...)
		for range 20 { // however long the outage
			n := h.watches
			h.update(UpdateFailed)
			if h.advance(grace/10 + 8*millisecond); h.watches != n+1 {
				t.Fatalf("asked %d times within a tenth of %d", h.watches-n, grace)
			}
		}
	}
	// Asked for: what a watch missed that fell silent counts as reported six seconds after discovery had it,
	// whatever the wait that it was given and whatever failed before. Eight tenths are left for the answer to
	// the call that opens it anew, or to the one after a refusal.
	for _, within := range []int64{second, 4 * second, 10 * second, 30 * second} {
		settings := defaultSettings()
		settings.PollEndpoints, settings.PollTimeout = true, within
		timeouts := settings.DiscoveryTimeouts()
		watch, late, whole, again := timeouts.Watch, timeouts.Lateness, timeouts.Snapshot, timeouts.RetryDelay
		if watch+late+again > 5200*millisecond || whole+again > 5200*millisecond {
			t.Errorf("asked for within %d: %d, %d, %d, %d", within, watch, late, whole, again)
		}
		h := newHarness(t, settings, readyEndpoints(1)...)
		for h.advance(8 * millisecond); h.watches == 0; h.advance(8 * millisecond) { // the first asking
		}
		for range 20 {
			n := h.watches
			h.update(UpdateFailed)
			if h.advance(4*second + 8*millisecond); h.watches != n+1 {
				t.Fatalf("asked %d times in the four seconds after a failure", h.watches-n)
			}
		}
	}
}

// overbookedDiscovery answers 20 calls a second, in turn, works at those too that have waited for more than
// two seconds, and refuses those that find a full queue.
type overbookedDiscovery struct{ freeAt int64 }

// call returns when a call made now is answered, and whether well.
func (d *overbookedDiscovery) call(now int64) (answerAt int64, ok bool) {
	const work, maxWait, queueLength = second / 20, 2 * second, 50
	d.freeAt = max(d.freeAt, now)
	wait := d.freeAt - now
	if wait > queueLength*work {
		return now, false
	}
	d.freeAt += work
	if wait+work > maxWait { // answered too late
		return now + maxWait, false
	}
	return now, true
}

// discoveryClient is an instance that polls.
type discoveryClient struct {
	*harness
	callAt   int64 // when its watch ends; 0: it has none
	failsAt  int64 // when its call fails; 0: it does not
	lastList int64
}

// step moves the instance to now, and returns whether it got an answer.
func (c *discoveryClient) step(now, watch int64, discovery *overbookedDiscovery) bool {
	if c.advance(4 * millisecond); c.watches > 0 {
		c.watches, c.callAt = 0, now
	}
	if c.failsAt != 0 && now >= c.failsAt {
		c.failsAt = 0
		c.engine.UpdateEndpoints(c.now, UpdateFailed, nil)
	}
	if c.callAt == 0 || now < c.callAt {
		return false
	}
	c.callAt = 0
	answerAt, ok := discovery.call(now)
	if !ok {
		c.failsAt = answerAt
		return false
	}
	c.engine.UpdateEndpoints(c.now, Delta, nil)
	c.callAt = now + watch // without an event
	return true
}

// Fault: instances refused by an overbooked discovery retried all at once, and as often: its queue was always
// full of calls that it answered too late, and no instance ever got an answer.
func TestEndpoints_OverbookedDiscoveryAnswersAll(t *testing.T) {
	const instances, end = 80, startOfTest + 60*second
	settings := defaultSettings()
	settings.Instances = instances
	settings.PollEndpoints, settings.PollTimeout = true, 10*second
	watch := settings.DiscoveryTimeouts().Watch
	var clients []*discoveryClient
	for n := range instances {
		client := &discoveryClient{harness: newHarness(t, settings, readyEndpoints(1)...)}
		client.engine.random = pcg.New(uint64(n))
		client.watches, client.callAt = 0, client.now // all poll at once
		clients = append(clients, client)
	}
	discovery, gap := &overbookedDiscovery{}, int64(0)
	for now := startOfTest; now < end; now += 4 * millisecond {
		for _, client := range clients {
			if !client.step(now, watch, discovery) {
				continue
			}
			if now > startOfTest+20*second { // from then on the six seconds hold for every instance
				gap = max(gap, now-client.lastList)
			}
			client.lastList = now
		}
	}
	for _, client := range clients {
		gap = max(gap, end-client.lastList)
	}
	if gap > 6*second {
		t.Errorf("an instance got no list for %d ms", gap/millisecond)
	}
}

// Fault: 56 instances killed at once polled in the instant of their start, and the 34 that discovery did not
// answer within two seconds got no list for the next sixteen. A few instances still poll at once.
func TestEndpoints_InstancesThatStartTogetherPollApart(t *testing.T) {
	for _, test := range []struct {
		instances int
		from, end int64 // of their askings
	}{{80, 2 * second, 5 * second}, {3, 0, 150 * millisecond}} {
		first, last := int64(math.MaxInt64), int64(0)
		for index := range test.instances {
			settings := defaultSettings()
			settings.InstanceIndex = index
			settings.Instances = test.instances
			settings.PollEndpoints = true
			settings.PollTimeout = 10 * second
			h := &harness{t: t, settings: settings, now: startOfTest}
			for h.engine = New(h.now, uint64(index), settings, h); h.watches == 0 && h.now < startOfTest+10*second; {
				h.advance(4 * millisecond)
			}
			first, last = min(first, h.now-startOfTest), max(last, h.now-startOfTest)
		}
		if last-first < test.from || last > test.end {
			t.Errorf("%d instances ask from %d to %d ns after their start", test.instances, first, last)
		}
	}
}
