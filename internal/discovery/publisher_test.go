package discovery

import (
	"fmt"
	"testing"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

func newTestPublisher() (*publisher, *recorder) {
	r := newRecorder()
	return newPublisher(Options{Subscriber: r, AddressBook: r, Config: &config.Config{}}), r
}

func TestPublisher_IDsDoNotDependOnOrder(t *testing.T) {
	publisherA, _ := newTestPublisher()
	publisherB, _ := newTestPublisher()
	first, second := publisherA.backendID("s-1"), publisherA.backendID("s-2")
	if second != publisherB.backendID("s-2") || first != publisherB.backendID("s-1") || first == second {
		t.Error("ids are equal, or differ between publishers")
	}
}

// TestPublisher_RemovesStateOfGoneBackends guards against unbounded growth of memory: new backends get new names, so
// no state of removed backends may be kept.
func TestPublisher_RemovesStateOfGoneBackends(t *testing.T) {
	p, r := newTestPublisher()
	r.updates = make(chan update, 10000)
	for n := range 5000 {
		status := []string{"up", "removed"}[n%2]
		decoded, err := decodeList([]byte(list(n, n%4 == 0, entry(fmt.Sprint("s-", n/2), status))))
		if err != nil {
			t.Fatal(err)
		}
		kind := policy.Delta
		if decoded.Snapshot {
			kind = policy.FullSnapshot
		}
		p.publish(kind, decoded.Endpoints)
	}
	if total := len(p.ids) + len(p.names) + len(p.listed) + len(r.addresses); total > 4 {
		t.Errorf("%d names, %d ids, %d listed and %d addresses are left",
			len(p.names), len(p.ids), len(p.listed), len(r.addresses))
	}
}

// TestPublisher_ListedAndRemovedInOneDelta guards against a backend that is never removed: a backend that the same
// delta listed and then removed remained in the list, and in the metric.
func TestPublisher_ListedAndRemovedInOneDelta(t *testing.T) {
	p, _ := newTestPublisher()
	p.publish(policy.Delta, []Endpoint{
		{Name: "s-1", Address: "127.0.0.1:1", Status: StatusUp},
		{Name: "s-2", Address: "127.0.0.1:2", Status: StatusUp},
		{Name: "s-1", Address: "127.0.0.1:1", Status: StatusRemoved},
	})
	if len(p.listed) != 1 {
		t.Errorf("%d backends are listed, want 1", len(p.listed))
	}
}

// Guards against an attempt to a process that was taken for another one: connections to the former process of a backend
// were kept when the list showed a new one at the same address.
func TestPublisher_NewProcessGetsNewConnections(t *testing.T) {
	p, r := newTestPublisher()
	listed := Endpoint{Name: "s-1", Address: "127.0.0.1:1", Status: StatusUp, StartedAtMillis: 1000}
	restarted := listed
	restarted.StartedAtMillis = 2000
	for want, list := range [][]Endpoint{{listed}, {restarted}} {
		p.publish(policy.Delta, list)
		p.publish(policy.Delta, list) // the same process
		if r.resets != want {
			t.Errorf("start at %v: connections reset %d times, want %d", list[0].StartedAtMillis, r.resets, want)
		}
	}
}
