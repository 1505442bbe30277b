package discovery

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// TestClient_PublishCached checks that the list in the configuration is published first, and that the watch then
// requests the changes since its index.
func TestClient_PublishCached(t *testing.T) {
	client, updates, calls := startClient(t)
	if err := client.PublishCached([]byte(list(4, true, entry("x", "up")))); err != nil {
		t.Fatal(err)
	}
	if got := updates.next(t); got.kind != policy.CachedSnapshot || len(got.addresses) != 1 {
		t.Errorf("%+v", got)
	}
	client.WatchEndpoints()
	if got := <-calls; got != watchFrom4URL {
		t.Errorf("an instance with a cached list requests %s, want the changes since its index 4", got)
	}
}

// TestClient_ReconfigureStartsNewWatch checks that, after a change of the address, the watch requests a full snapshot
// from the new address immediately, even while a call to the old address is in progress.
func TestClient_ReconfigureStartsNewWatch(t *testing.T) {
	client, updates, calls := startClient(t, list(9, true, entry("x", "up"), entry("y", "up")))
	newCalls := make(chan string, 100)
	newService := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newCalls <- r.URL.String()
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		respond(w, list(4, true, entry("y", "up")))
	}))
	t.Cleanup(newService.CloseClientConnections)
	client.WatchEndpoints()
	updates.next(t)
	<-calls
	<-calls // the watch call, which waits for changes
	client.Reconfigure(strings.TrimPrefix(newService.URL, "http://"), policy.Settings{DrainGrace: 6e9})
	got := updates.next(t)
	if got.kind != policy.FullSnapshot || len(got.endpoints) != 1 || len(got.addresses) != 1 {
		t.Errorf("%+v", got)
	}
	checkCalls(t, newCalls, snapshotURL, watchFrom4URL)
	if len(calls) != 0 {
		t.Errorf("the old address was called again: %s", <-calls)
	}
}

// TestClient_RefreshReplacesWatch checks that, with Options.Refresh, the discovery service is not called, and
// WatchEndpoints makes the other source publish.
func TestClient_RefreshReplacesWatch(t *testing.T) {
	address, calls := startService(t)
	r := newRecorder()
	refreshed := make(chan struct{}, 1)
	client := New(Options{
		Subscriber:  r,
		AddressBook: r,
		Config:      &config.Config{Discovery: address},
		Refresh:     func() { refreshed <- struct{}{} },
	})
	client.WatchEndpoints()
	<-refreshed
	addresses := []netip.AddrPort{
		netip.MustParseAddrPort("[2001:db8::1]:80"),
		netip.MustParseAddrPort("192.0.2.1:80"),
	}
	client.Publish(policy.FullSnapshot, []Endpoint{
		{Name: "s-1", Address: "192.0.2.1:80", Addresses: addresses, Status: StatusUp},
		{Name: "s-2", Address: "192.0.2.2:80", Status: StatusDraining},
	})
	got := r.next(t)
	if got.kind != policy.FullSnapshot || len(got.endpoints) != 2 {
		t.Fatalf("%+v", got)
	}
	for n, want := range []string{"[[2001:db8::1]:80 192.0.2.1:80]", "192.0.2.2:80"} {
		if address := got.addresses[got.endpoints[n].Backend]; address != want {
			t.Errorf("address %s, want %s", address, want)
		}
	}
	if len(calls) != 0 {
		t.Errorf("the service was called: %s", <-calls)
	}
}

// TestClient_CloseEndsWatch checks that Close returns immediately, whatever the watch is waiting for, and that
// afterwards the subscriber is not notified and the service is not called. The synctest bubble checks that all
// goroutines have ended.
func TestClient_CloseEndsWatch(t *testing.T) {
	for _, first := range []firstCall{answered, unanswered, unfinished, unreachable} {
		for _, after := range []time.Duration{0, 600 * time.Millisecond, 5 * time.Second} {
			t.Run(first.String()+" "+after.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkCloseEndsWatch(t, first, after) })
			})
		}
	}
}

func checkCloseEndsWatch(t *testing.T, first firstCall, after time.Duration) {
	t.Helper()
	snapshot := list(2, true, entry("s-1", "up"))
	i := startInstance(t, 1, time.Second, first, lists{list(1, true, entry("s-1", "up")), snapshot, snapshot})
	time.Sleep(after)
	synctest.Wait()
	updates, calls, closedAt := i.updates.Load(), i.service.calls.Load(), time.Now()
	i.client.Close()
	if elapsed := time.Since(closedAt); elapsed != 0 {
		t.Errorf("Close took %v", elapsed)
	}
	i.client.WatchEndpoints()
	i.client.Publish(policy.FullSnapshot, nil)
	i.client.Reconfigure("agent:2", startupSettings(time.Second))
	time.Sleep(time.Minute)
	if i.updates.Load() != updates || i.service.calls.Load() != calls {
		t.Errorf("%d updates and %d calls after Close, want none", i.updates.Load()-updates, i.service.calls.Load()-calls)
	}
}

// TestClient_CloseWaitsForPublish checks that Close waits for a call of Publish in progress.
func TestClient_CloseWaitsForPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecorder()
		r.updates = make(chan update) // unbuffered: a notification blocks until the test receives it
		options := Options{Subscriber: r, AddressBook: r, Config: &config.Config{}}
		var client *Client
		options.Refresh = func() { client.Publish(policy.FullSnapshot, nil) }
		client = New(options)
		client.WatchEndpoints()
		synctest.Wait()
		closed := make(chan struct{})
		go func() {
			client.Close()
			close(closed)
		}()
		synctest.Wait()
		select {
		case <-closed:
			t.Error("Close returned while a list was being published")
		default:
		}
		<-r.updates
		<-closed
		client.WatchEndpoints() // would block if it published
	})
}
