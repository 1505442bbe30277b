package discovery

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// TestClient_LoadSnapshot: the list in the configuration serves first, and the watch asks for what is new
// since.
func TestClient_LoadSnapshot(t *testing.T) {
	client, updates, calls := startClient(t)
	if err := client.LoadSnapshot([]byte(list(4, true, entry("x", "up")))); err != nil {
		t.Fatal(err)
	}
	if got := updates.next(t); got.kind != policy.CachedSnapshot || len(got.addresses) != 1 {
		t.Errorf("%+v", got)
	}
	client.WatchEndpoints()
	if got := <-calls; got != watchFrom4URL {
		t.Errorf("an instance with a list asks for %s", got)
	}
}

// TestClient_SetAddressStartsNewWatch: at a new address a full snapshot is asked for at once, whatever the
// old watch was waiting for.
func TestClient_SetAddressStartsNewWatch(t *testing.T) {
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
	<-calls // waits for an event
	client.SetAddress(strings.TrimPrefix(newService.URL, "http://"), policy.Settings{DrainGrace: 6e9})
	got := updates.next(t)
	if got.kind != policy.FullSnapshot || len(got.endpoints) != 1 || len(got.addresses) != 1 {
		t.Errorf("%+v", got)
	}
	checkCalls(t, newCalls, snapshotURL, watchFrom4URL)
	if len(calls) != 0 {
		t.Errorf("the old address was called again: %s", <-calls)
	}
}

// TestClient_RefreshReplacesWatch: with another source the discovery service is not called, and
// WatchEndpoints makes the source publish.
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
			t.Errorf("address %s, wanted %s", address, want)
		}
	}
	if len(calls) != 0 {
		t.Errorf("the service was called: %s", <-calls)
	}
}
