package discovery

import (
	"testing"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

const (
	snapshotURL   = "/v1/endpoints"
	watchFrom4URL = "/v1/endpoints?index=4&wait=2000"
)

func TestWatch_PublishesSnapshotsAndDeltas(t *testing.T) {
	client, updates, calls := startClient(t,
		list(4, true, entry("x", "up"), entry("y", "up")),
		list(5, false),
		list(6, false, entry("x", "draining")),
		list(7, false, entry("x", "removed")),
		list(9, true, entry("z", "odd")))
	client.WatchEndpoints()
	client.WatchEndpoints() // while it watches already: there is no more than one watch
	snapshot := updates.next(t)
	x := snapshot.endpoints[0]
	if snapshot.kind != policy.FullSnapshot || len(snapshot.addresses) != 2 || x.Zone != 1 || x.Group != 3 ||
		x.State != policy.EndpointReady || x.Weight != 1.5 || x.StartedAt.Nanos() != 1700000000123e6 ||
		x.Backend == snapshot.endpoints[1].Backend {
		t.Errorf("%+v", snapshot)
	}
	if nothing := updates.next(t); nothing.kind != policy.Delta || len(nothing.endpoints) != 0 {
		t.Errorf("%+v", nothing)
	}
	draining := updates.next(t)
	if draining.endpoints[0].State != policy.EndpointDraining || len(draining.addresses) != 2 {
		t.Errorf("%+v", draining)
	}
	if gone := updates.next(t); gone.endpoints[0].State != policy.EndpointGone || len(gone.addresses) != 1 {
		t.Errorf("%+v", gone)
	}
	unknown := updates.next(t)
	if unknown.kind != policy.FullSnapshot || unknown.endpoints[0].State != policy.EndpointDraining ||
		len(unknown.addresses) != 1 {
		t.Errorf("%+v", unknown)
	}
	checkCalls(t, calls, snapshotURL, watchFrom4URL, "/v1/endpoints?index=5&wait=2000")
}

// TestWatch_AsksForSnapshotAfterFailure: a failure breaks the watch. When the engine asks again, it is for a
// full snapshot.
func TestWatch_AsksForSnapshotAfterFailure(t *testing.T) {
	client, updates, calls := startClient(t, answerFailure, "{",
		list(4, true, `{"name":"x","address":"nowhere"}`),
		list(4, true, entry("x", "up")))
	for range 3 {
		client.WatchEndpoints()
		if got := updates.next(t); got.kind != policy.UpdateFailed {
			t.Errorf("%+v", got)
		}
	}
	client.WatchEndpoints()
	if got := updates.next(t); got.kind != policy.FullSnapshot || len(got.endpoints) != 1 {
		t.Errorf("%+v", got)
	}
	for range 4 {
		if got := <-calls; got != snapshotURL {
			t.Errorf("call %s", got)
		}
	}
}

// TestWatch_WaitsForEngineAfterRefusal guards against a fault: refused by an overbooked service, every
// instance asked for a full snapshot ten times a second, and none ever got it. The client asks only when the
// engine does, and then for what is new since the list that it has.
func TestWatch_WaitsForEngineAfterRefusal(t *testing.T) {
	client, updates, calls := startClient(t,
		list(4, true, entry("x", "up")), answerRefusal, answerRefusal, list(5, false))
	client.WatchEndpoints()
	updates.next(t)
	if got := updates.next(t); got.kind != policy.UpdateFailed {
		t.Errorf("%+v", got)
	}
	time.Sleep(300 * time.Millisecond)
	if len(calls) != 2 {
		t.Errorf("%d calls", len(calls))
	}
	client.WatchEndpoints()
	updates.next(t)
	client.WatchEndpoints()
	if got := updates.next(t); got.kind != policy.Delta {
		t.Errorf("%+v", got)
	}
	checkCalls(t, calls, snapshotURL, watchFrom4URL, watchFrom4URL, watchFrom4URL)
}

// TestWatch_IsLongWhereEndpointsArePolled guards against a fault: where each call is work for the service,
// the watches of two seconds of many instances were more than it answers; those of ten seconds, fallen
// silent, were made anew when what they missed had counted as delivered for five.
func TestWatch_IsLongWhereEndpointsArePolled(t *testing.T) {
	configuration := &config.Config{Discovery: "127.0.0.1:1"}
	configuration.Settings.PollEndpoints = true
	configuration.Settings.PollTimeout = 10e9
	got := New(Options{Config: configuration}).timeouts
	if got.Watch < 4*time.Second || got.Watch+got.WatchGrace > 5*time.Second {
		t.Errorf("a watch lasts %v, and is given up %v later", got.Watch, got.WatchGrace)
	}
}

// TestWatch_UnansweredCallIsMadeAnewSoon guards against a fault: a watch whose answer never came left the
// list old for twenty seconds.
func TestWatch_UnansweredCallIsMadeAnewSoon(t *testing.T) {
	client, updates, calls := startClient(t, list(4, true, entry("s-1", "up")))
	client.WatchEndpoints()
	updates.next(t)
	<-calls
	<-calls // the watch, never answered
	if got := updates.next(t); got.kind != policy.UpdateFailed {
		t.Errorf("%+v", got)
	}
	client.WatchEndpoints()
	select {
	case url := <-calls:
		if url != snapshotURL {
			t.Errorf("then %s", url)
		}
	case <-time.After(4 * time.Second): // two less than until what the service publishes counts as delivered
		t.Error("not asked again within four seconds")
	}
}
