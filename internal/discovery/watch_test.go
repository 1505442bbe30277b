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
	client.WatchEndpoints() // must not start a second watch
	snapshot := updates.next(t)
	x := snapshot.endpoints[0]
	if snapshot.kind != policy.FullSnapshot || len(snapshot.addresses) != 2 || x.Zone != 1 || x.Group != 3 ||
		x.State != policy.EndpointReady || x.Weight != 1.5 || x.StartedAt.Nanos() != 1700000000123e6 ||
		x.Backend == snapshot.endpoints[1].Backend {
		t.Errorf("%+v", snapshot)
	}
	if emptyDelta := updates.next(t); emptyDelta.kind != policy.Delta || len(emptyDelta.endpoints) != 0 {
		t.Errorf("%+v", emptyDelta)
	}
	draining := updates.next(t)
	if draining.endpoints[0].State != policy.EndpointDraining || len(draining.addresses) != 2 {
		t.Errorf("%+v", draining)
	}
	if removed := updates.next(t); removed.endpoints[0].State != policy.EndpointGone || len(removed.addresses) != 1 {
		t.Errorf("%+v", removed)
	}
	unknownStatus := updates.next(t)
	if unknownStatus.kind != policy.FullSnapshot || unknownStatus.endpoints[0].State != policy.EndpointDraining ||
		len(unknownStatus.addresses) != 1 {
		t.Errorf("%+v", unknownStatus)
	}
	checkCalls(t, calls, snapshotURL, watchFrom4URL, "/v1/endpoints?index=5&wait=2000")
}

// TestWatch_RequestsSnapshotAfterFailure checks that the watch stops after a failure, and that the next WatchEndpoints
// requests a full snapshot.
func TestWatch_RequestsSnapshotAfterFailure(t *testing.T) {
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
			t.Errorf("call %s, want a request for a full snapshot", got)
		}
	}
}

// TestWatch_WaitsForEngineAfterRefusal guards against a retry storm: when an overloaded service refused their calls,
// all instances requested full snapshots ten times a second, and none succeeded. The client must poll only when the
// engine requests it, and then only for the changes since its last list.
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
		t.Errorf("%d calls before the engine requested another watch, want 2", len(calls))
	}
	client.WatchEndpoints()
	updates.next(t)
	client.WatchEndpoints()
	if got := updates.next(t); got.kind != policy.Delta {
		t.Errorf("%+v", got)
	}
	checkCalls(t, calls, snapshotURL, watchFrom4URL, watchFrom4URL, watchFrom4URL)
}

// TestWatch_TimeoutsWithPolledEndpoints guards against two faults with a service that must produce a list for each
// call. Watch calls of 2 s from many instances were more than the service could answer. Watch calls of 10 s that got no
// answer were retried only 5 s after the changes that they missed had counted as delivered.
func TestWatch_TimeoutsWithPolledEndpoints(t *testing.T) {
	configuration := &config.Config{Discovery: "127.0.0.1:1"}
	configuration.Settings.PollEndpoints = true
	configuration.Settings.PollTimeout = 10e9
	got := New(Options{Config: configuration}).timeouts
	if got.Watch < 4*time.Second || got.Watch+got.WatchGrace > 5*time.Second {
		t.Errorf("a watch call waits for %v, and times out %v later", got.Watch, got.WatchGrace)
	}
}

// TestWatch_RetriesUnansweredCallSoon guards against an outdated list: after a watch call that was never answered, the
// list was not updated for 20 s.
func TestWatch_RetriesUnansweredCallSoon(t *testing.T) {
	client, updates, calls := startClient(t, list(4, true, entry("s-1", "up")))
	client.WatchEndpoints()
	updates.next(t)
	<-calls
	<-calls // the watch call, which is never answered
	if got := updates.next(t); got.kind != policy.UpdateFailed {
		t.Errorf("%+v", got)
	}
	client.WatchEndpoints()
	select {
	case url := <-calls:
		if url != snapshotURL {
			t.Errorf("the next call is %s, want a request for a full snapshot", url)
		}
	case <-time.After(4 * time.Second): // 2 s before a published change counts as delivered
		t.Error("no further call within 4 s")
	}
}

// Guards against a list that is never replaced: a new process of the discovery service, whose indexes begin anew, was
// taken for the former one. It reported no changes since an index that it had not reached.
func TestWatch_RequestsSnapshotFromNewProcess(t *testing.T) {
	client, updates, calls := startClient(t,
		list(4, true, entry("x", "up")), list(2, false), list(2, true, entry("y", "up")), list(3, false))
	client.WatchEndpoints()
	former := updates.next(t)
	current := updates.next(t)
	if current.kind != policy.FullSnapshot || len(current.endpoints) != 1 ||
		current.endpoints[0].Backend == former.endpoints[0].Backend {
		t.Errorf("%+v, want the new process's list", current)
	}
	if next := updates.next(t); next.kind != policy.Delta {
		t.Errorf("%+v", next)
	}
	checkCalls(t, calls, snapshotURL, watchFrom4URL, snapshotURL, "/v1/endpoints?index=2&wait=2000")
}
