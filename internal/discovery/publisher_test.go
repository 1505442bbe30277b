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
	one, _ := newTestPublisher()
	two, _ := newTestPublisher()
	first, second := one.backendID("s-1"), one.backendID("s-2")
	if second != two.backendID("s-2") || first != two.backendID("s-1") || first == second {
		t.Error("ids differ between instances")
	}
}

// TestPublisher_ForgetsGoneBackends: new backends come under new names without end. Nothing is left of those
// that are gone.
func TestPublisher_ForgetsGoneBackends(t *testing.T) {
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
