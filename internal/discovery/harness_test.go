package discovery

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// update is a notification of the subscriber, with the addresses that the address book had at that time.
type update struct {
	kind      policy.UpdateKind
	endpoints []policy.Endpoint
	addresses map[policy.BackendID]string
}

// recorder is a Subscriber and an AddressBook that records notifications.
type recorder struct {
	updates   chan update
	addresses map[policy.BackendID]string
	resets    int // calls of ResetConnections
}

func newRecorder() *recorder {
	return &recorder{updates: make(chan update, 100), addresses: map[policy.BackendID]string{}}
}

func (r *recorder) SetAddress(backend policy.BackendID, address string) {
	r.addresses[backend] = address
}

func (r *recorder) SetAddresses(backend policy.BackendID, addresses []netip.AddrPort) {
	r.addresses[backend] = fmt.Sprint(addresses)
}

func (r *recorder) ResetConnections(policy.BackendID) { r.resets++ }

func (r *recorder) RemoveBackend(backend policy.BackendID) { delete(r.addresses, backend) }

func (r *recorder) UpdateEndpoints(kind policy.UpdateKind, endpoints []policy.Endpoint) {
	r.updates <- update{kind, endpoints, maps.Clone(r.addresses)}
}

// next waits for the next update for 4 s. That is 2 s less than the time after which a change that the service has
// published counts as delivered.
func (r *recorder) next(t *testing.T) update {
	t.Helper()
	select {
	case next := <-r.updates:
		return next
	case <-time.After(4 * time.Second):
		t.Fatal("no update within 4 s")
		panic("not reached")
	}
}

// Answers of the fake service that contain no list.
const (
	answerFailure = "fail"
	answerRefusal = "refuse"
)

// startService starts a fake discovery service, which answers each call with the next of the answers, and does not
// answer further calls. It sends the URL of each call to calls.
func startService(t *testing.T, answers ...string) (address string, calls chan string) {
	t.Helper()
	calls = make(chan string, 100)
	var count atomic.Int64 // atomic, since a canceled call may still be handled when the next one arrives
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		number := int(count.Add(1))
		if number > len(answers) {
			<-r.Context().Done()
			return
		}
		switch answer := answers[number-1]; answer {
		case answerFailure:
			w.WriteHeader(http.StatusInternalServerError)
		case answerRefusal:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			respond(w, answer)
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://"), calls
}

// startClient returns a client of a fake service. Its watch calls request a wait of 2 s.
func startClient(t *testing.T, answers ...string) (*Client, *recorder, chan string) {
	t.Helper()
	address, calls := startService(t, answers...)
	r := newRecorder()
	configuration := &config.Config{
		Discovery: address,
		Zones:     []string{"b", "a"},
		Settings:  policy.Settings{DrainGrace: 6e9},
	}
	return New(Options{Subscriber: r, AddressBook: r, Config: configuration}), r, calls
}

// respond writes an answer. It ignores errors, since the client may have closed the connection.
func respond(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// checkCalls checks the URLs of the next calls.
func checkCalls(t *testing.T, calls chan string, want ...string) {
	t.Helper()
	for number, url := range want {
		if got := <-calls; got != url {
			t.Errorf("call %d is %s, want %s", number, got, url)
		}
	}
}

// list returns a list in the service's format.
func list(index int, snapshot bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`,
		index, snapshot, strings.Join(entries, ","))
}

// entry returns an endpoint in the service's format.
func entry(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"10.1.0.18:6379","zone":"a","type":"m2","group":3,"status":%q,
		"weight":1.5,"since_ms":1700000000123}`, name, status)
}
