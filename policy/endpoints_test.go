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
			h.update(Delta, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now}, Endpoint{Backend: n - 1, State: EndpointGone})
		} else {
			h.update(FullSnapshot, Endpoint{Backend: n, State: EndpointReady, StartedAt: h.now})
		}
		if n%200 == 0 {
			h.advance(100 * millisecond)
		}
	}
	if len(h.engine.endpoints) > 210 || len(h.engine.backends) != len(h.engine.endpoints) || h.engine.backends[1] == nil {
		t.Errorf("%d backends are kept, %d of them listed", len(h.engine.backends), len(h.engine.endpoints))
	}
	h.endAttempt(held, 0, Succeeded)
	if h.advance(100 * millisecond); h.engine.backends[1] != nil {
		t.Error("one that is gone and has nothing out is kept")
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
			t.Errorf("of a grace of %d: a watch of %d and %d, a list of %d, again after %d", grace, watch, late, whole, again)
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
	// Asked for: what a watch missed that fell silent counts as told six seconds after discovery had it, whatever the
	// wait that it was given and whatever failed before. Eight tenths are left for the answer to the call that opens it
	// anew, or to the one after a refusal.
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

// Fault: instances refused by an overbooked discovery retried all at once, and as often: its queue was always
// full of calls that it answered too late, and no instance ever got an answer. Here it takes 20 calls a
// second, in turn, works at those too that have waited for more than two seconds, and then refuses them.
func TestEndpoints_OverbookedDiscoveryAnswersAll(t *testing.T) {
	const instances, each, late, room = 80, second / 20, 2 * second, 50
	settings := defaultSettings()
	settings.Instances = instances
	settings.PollEndpoints = true
	settings.PollTimeout = 10 * second
	watch := settings.DiscoveryTimeouts().Watch
	harnesses, last, next, reported := make([]*harness, instances), make([]int64, instances), make([]int64, instances), make([]int64, instances)
	gap := int64(0)
	for n := range harnesses {
		harnesses[n] = newHarness(t, settings, readyEndpoints(1)...)
		harnesses[n].engine.random = pcg.New(uint64(n))
		harnesses[n].watches, next[n] = 0, harnesses[n].now // all ask at once
	}
	free := int64(0)
	for now := 1000 * second; now < 1060*second; now += 4 * millisecond {
		for n, h := range harnesses {
			if h.advance(4 * millisecond); h.watches > 0 {
				h.watches, next[n] = 0, now
			}
			if reported[n] != 0 && now >= reported[n] {
				reported[n] = 0
				h.engine.UpdateEndpoints(h.now, UpdateFailed, nil)
			}
			if next[n] == 0 || now < next[n] {
				continue
			}
			free = max(free, now)
			wait := free - now
			if next[n] = 0; wait > room*each { // no room in the line
				reported[n] = now
				continue
			}
			if free += each; wait+each > late { // answered too late
				reported[n] = now + late
				continue
			}
			h.engine.UpdateEndpoints(h.now, Delta, nil)
			if now > 1020*second { // from then on the six seconds hold for every instance
				gap = max(gap, now-last[n])
			}
			last[n] = now
			next[n] = now + watch // without news
		}
	}
	for n := range harnesses {
		gap = max(gap, 1060*second-last[n])
	}
	if gap > 6*second {
		t.Errorf("an instance heard nothing for %d ms", gap/millisecond)
	}
}

// Fault: 56 instances killed at once polled in the instant of their start, and the 34 that discovery did not
// answer within two seconds got no list for the next sixteen. A few instances still poll at once.
func TestEndpoints_InstancesThatStartTogetherPollApart(t *testing.T) {
	for _, request := range []struct {
		instances int
		from, end int64 // of their askings
	}{{80, 2 * second, 5 * second}, {3, 0, 150 * millisecond}} {
		first, last := int64(math.MaxInt64), int64(0)
		for index := range request.instances {
			settings := defaultSettings()
			settings.InstanceIndex = index
			settings.Instances = request.instances
			settings.PollEndpoints = true
			settings.PollTimeout = 10 * second
			h := &harness{t: t, settings: settings, now: 1000 * second, endpoints: map[BackendID]Endpoint{}, requests: map[RequestID]*clientRequest{}}
			for h.engine = New(h.now, uint64(index), settings, h); h.watches == 0 && h.now < 1010*second; {
				h.advance(4 * millisecond)
			}
			first, last = min(first, h.now-startOfTest), max(last, h.now-startOfTest)
		}
		if last-first < request.from || last > request.end {
			t.Errorf("%d instances ask from %d to %d ns after their start", request.instances, first, last)
		}
	}
}
