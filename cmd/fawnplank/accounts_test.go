package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// billingReceiver is a stand-in for the service that receives exported usage. It counts each batch once, by its
// idempotency key, and answers every third call with an error although it has counted the batch.
type billingReceiver struct {
	mu               sync.Mutex
	lastSequence     uint64
	idempotencyKeys  map[string]bool
	microUnitsByPlan map[string]int64 // millionths of a unit, by plan
	calls            int
	sequenceError    string
}

func (b *billingReceiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	if r.Method == http.MethodGet {
		sendf(w, `{"last":%d}`, b.lastSequence)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); !b.idempotencyKeys[key] {
		b.idempotencyKeys[key] = true
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			b.addRecord(lines.Text())
		}
	}
	if b.calls%3 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (b *billingReceiver) addRecord(line string) {
	var record struct {
		Sequence   uint64 `json:"sequence"`
		Plan       string `json:"plan"`
		MicroUnits int64  `json:"micro_units"`
	}
	if json.Unmarshal([]byte(line), &record) != nil || record.Sequence != b.lastSequence+1 {
		b.sequenceError = fmt.Sprintf("after %d: %s", b.lastSequence, line)
	}
	b.lastSequence = record.Sequence
	b.microUnitsByPlan[record.Plan] += record.MicroUnits
}

// totalUnits returns the units received for all plans together.
func (b *billingReceiver) totalUnits() (sum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, micro := range b.microUnitsByPlan {
		sum += float64(micro) / 1e6
	}
	return sum
}

// billedFleet consists of two gateways with a replica each, a third replica without a gateway, clients, and the
// receiver of exported usage.
type billedFleet struct {
	replicas                         []*replicaProcess
	receiver                         *billingReceiver
	clientAddresses, limitsAddresses []string // indexed by gateway
	secretFile                       string
	stopLoad                         chan struct{}
	load                             sync.WaitGroup
	mu                               sync.Mutex
	succeeded                        []success
	unanswered                       int     // requests whose connection failed before the answer arrived
	maxLostUnits                     float64 // units that killed gateways may not have reported
	kills                            int
	committedUnits                   float64 // units committed from the reservation
	unreportedWindow                 time.Duration
}

// success records when a client received a successful answer.
type success struct {
	gateway int
	at      time.Time
}

const (
	billedTenant = "0000000000000005"
	// requestUnits is the number of units that each client request costs.
	requestUnits = 2
)

func newBilledFleet(t *testing.T) *billedFleet {
	t.Helper()
	backend := testutil.ServeCommands(t, func(conn net.Conn) { send(conn, successResponse) })
	fleet := &billedFleet{
		replicas: newReplicas(t, "a", "b", "c"),
		receiver: &billingReceiver{idempotencyKeys: map[string]bool{}, microUnitsByPlan: map[string]int64{}},
		stopLoad: make(chan struct{}),
		// An election, and the usage reports that wait for its end, take up to two seconds.
		unreportedWindow: 2 * time.Second,
	}
	server := httptest.NewServer(fleet.receiver)
	t.Cleanup(server.Close)
	folder := filepath.Dir(fleet.replicas[0].folder)
	fleet.secretFile = filepath.Join(folder, "secret")
	writeFile(t, fleet.secretFile, "a secret of some length\n")
	for n, r := range fleet.replicas[:2] {
		fleet.clientAddresses, fleet.limitsAddresses = append(fleet.clientAddresses, freeAddress(t)),
			append(fleet.limitsAddresses, freeAddress(t))
		settings := filepath.Join(folder, r.id+".json")
		operator := filepath.Join(folder, r.id+".toml")
		text := fmt.Sprintf(configuration, fleet.clientAddresses[n], freeAddress(t), backend)
		text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, n), 1)
		text = strings.Replace(text, `"tariffs":[`,
			`"tariffs":[{"name":"large","quota-rate":1000,"peak-units":500},`, 1)
		writeFile(t, settings, text)
		writeFile(t, operator, fmt.Sprintf("[limits]\nlisten = %q\n"+
			"[[limits.key]]\nname = \"ops\"\nsecret_file = %q\n"+
			"rights = [\"read\", \"reserve\", \"change\"]\n[billing]\non = true\nwindow = \"1s\"\nlate = \"200ms\"\n"+
			"lead = \"2s\"\nclock_skew = \"50ms\"\nreport_every = \"50ms\"\nexport_url = %q\n",
			fleet.limitsAddresses[n], fleet.secretFile, server.URL))
		r.args = []string{"serve", "-c", settings, "--operator", operator}
	}
	startReplicas(t, fleet.replicas)
	return fleet
}

// command runs a billing command against a gateway.
func (f *billedFleet) command(t *testing.T, gateway int, args ...string) (string, error) {
	t.Helper()
	flags := []string{"billing", "--at", f.limitsAddresses[gateway], "--key", "ops", "--secret-file", f.secretFile}
	out, err := runProgram(t, append(flags, args...)...)
	return strings.TrimSpace(out), err
}

// startLoad starts four clients, two for each gateway, which run until stopLoad is closed.
func (f *billedFleet) startLoad(t *testing.T) {
	t.Helper()
	for n := range 4 {
		f.load.Go(func() { f.runClient(t, n) })
	}
}

func (f *billedFleet) runClient(t *testing.T, n int) {
	t.Helper()
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-f.stopLoad:
			return
		case <-time.After(3 * time.Millisecond):
		}
		if conn == nil {
			dialer := net.Dialer{Timeout: time.Second}
			dialed, err := dialer.DialContext(t.Context(), "tcp", f.clientAddresses[n%2])
			if err != nil {
				continue
			}
			conn = dialed
			reader = bufio.NewReader(dialed)
		}
		if err := f.requestOnce(conn, reader, n, i); err != nil {
			f.mu.Lock()
			f.unanswered++
			f.mu.Unlock()
			closeIgnoringError(conn)
			conn = nil
		}
	}
}

// requestOnce sends one request and records it if it succeeds. It returns an error only if the connection fails, not
// for an error answer.
func (f *billedFleet) requestOnce(conn net.Conn, reader *bufio.Reader, n, i int) error {
	setDeadline(conn, 3*time.Second)
	const fields = "c=lookup,t=team,d=1400,units=2"
	id := fmt.Sprintf("%d-%08d", n, i)
	_, err := fmt.Fprintf(conn, "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n%016x\r\n$10\r\n%s\r\n$%d\r\n%s\r\n",
		5+n%3, id, len(fields), fields)
	if err != nil {
		return err
	}
	line, err := reader.ReadString('\n')
	if err != nil || line != "$2\r\n" {
		return err
	}
	_, err = reader.ReadString('\n')
	f.mu.Lock()
	f.succeeded = append(f.succeeded, success{gateway: n % 2, at: time.Now()})
	f.mu.Unlock()
	return err
}

// killReplica kills the process of a replica, and of its gateway if it has one, and starts it again.
func (f *billedFleet) killReplica(t *testing.T, n int) {
	t.Helper()
	f.replicas[n].kill()
	f.kills++
	now := time.Now()
	f.mu.Lock()
	for _, s := range f.succeeded {
		if s.gateway == n && s.at.After(now.Add(-f.unreportedWindow)) {
			f.maxLostUnits += requestUnits
		}
	}
	f.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	f.replicas[n].start(t, f.replicas)
}

// changePlan schedules a change of a tenant's plan, and checks that a second change for the same time is refused.
func (f *billedFleet) changePlan(t *testing.T) {
	t.Helper()
	effectiveAt := fmt.Sprint(time.Now().Add(2500 * time.Millisecond).UnixMilli())
	testutil.Eventually(t, "a plan change", func() bool {
		_, err := f.command(t, 0, "change", billedTenant, "spring", "large", effectiveAt)
		return err == nil
	})
	out, err := f.command(t, 1, "change", billedTenant, "other", "team", effectiveAt)
	if err == nil || !strings.Contains(out, "is taken") {
		t.Errorf("second plan change for the same time: %v, %s", err, out)
	}
}

// commitReservation reserves units and commits some of them. It checks that a repeated commit is refused, and that a
// reservation without a key is refused.
func (f *billedFleet) commitReservation(t *testing.T) {
	t.Helper()
	testutil.Eventually(t, "a reservation", func() bool {
		out, err := f.command(t, 0, "reserve", billedTenant, "batch", "host", "large", "40", "60000")
		var epoch, until int64
		var remaining float64
		_, scanErr := fmt.Sscan(out, &epoch, &remaining, &until)
		if errors.Join(err, scanErr) != nil || remaining != 40 {
			return false
		}
		if out, err = f.command(t, 1, "commit", billedTenant, "batch", fmt.Sprint(epoch), "30"); err != nil {
			t.Fatalf("%v, %s", err, out)
		}
		f.committedUnits = 30
		out, err = f.command(t, 0, "commit", billedTenant, "batch", fmt.Sprint(epoch), "30")
		if err == nil || !strings.Contains(out, "epoch") {
			t.Errorf("repeated commit: %v, %s", err, out)
		}
		return true
	})
	out, err := runProgram(t, "billing", "--at", f.limitsAddresses[0],
		"reserve", billedTenant, "x", "h", "large", "1", "1000")
	if err == nil || !strings.Contains(out, "NOPERM") {
		t.Errorf("reservation without a key: %v, %s", err, out)
	}
}

// waitExported waits until all usage has been exported, and returns the units that the receiver has counted.
func (f *billedFleet) waitExported(t *testing.T) float64 {
	t.Helper()
	var exported float64
	text := ""
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("billing keys in the store, and exported units: ", text, exported)
		}
	})
	testutil.Eventually(t, "all usage to be exported", func() bool {
		var err error
		text, err = f.replicas[2].call(t, http.MethodGet, "/v1/kv?prefix=billing/", "")
		if err != nil || strings.Contains(text, "billing/use/") || strings.Contains(text, "billing/record/") {
			return false
		}
		time.Sleep(1500 * time.Millisecond) // longer than a window and the time allowed for late reports
		previous := exported
		exported = f.receiver.totalUnits()
		return previous == exported
	})
	return exported
}

// TestAccounts_UsageIsBilledOnceDespiteKills kills replicas and gateways at random under load, changes a plan while
// requests are in flight, and commits a reservation; the receiver answers some exports with an error although it has
// counted them. The receiver must end up with the units of all successful requests, except for those that a killed
// gateway had not reported.
func TestAccounts_UsageIsBilledOnceDespiteKills(t *testing.T) {
	fleet := newBilledFleet(t)
	fleet.startLoad(t)
	testutil.Eventually(t, "a first export", func() bool { return fleet.receiver.totalUnits() > 0 })
	fleet.changePlan(t)
	random := rand.New(rand.NewPCG(5, 5))
	for range 4 {
		fleet.killReplica(t, random.IntN(3))
		time.Sleep(time.Duration(800+random.IntN(700)) * time.Millisecond)
	}
	fleet.commitReservation(t)
	close(fleet.stopLoad)
	fleet.load.Wait()
	expected := requestUnits*float64(len(fleet.succeeded)) + fleet.committedUnits
	exported := fleet.waitExported(t)

	receiver := fleet.receiver
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	maxExpected := expected + requestUnits*float64(fleet.unanswered)
	if receiver.sequenceError != "" || exported > maxExpected || exported < expected-fleet.maxLostUnits {
		t.Errorf("invalid record: %q; the receiver counted %g units; successful requests cost %g, at most %g; "+
			"killed gateways may have lost %g", receiver.sequenceError, exported, expected, maxExpected, fleet.maxLostUnits)
	}
	if receiver.microUnitsByPlan["large"] == 0 || receiver.microUnitsByPlan["team"] == 0 {
		t.Errorf("want units for both plans, got %v", receiver.microUnitsByPlan)
	}
	t.Logf("%g units succeeded, %g billed in %d records, %d kills (at most %g lost), "+
		"%d requests without an answer, by plan %v",
		expected, exported, receiver.lastSequence, fleet.kills, fleet.maxLostUnits, fleet.unanswered,
		receiver.microUnitsByPlan)
}

// TestAccounts_PlanChangeHoldsAfterRestart guards against usage that is billed under the former plan. A restarted
// gateway took requests without the plan changes of the store until the store's leader had sent it the log again.
func TestAccounts_PlanChangeHoldsAfterRestart(t *testing.T) {
	t.Parallel()
	fleet := newBilledFleet(t)
	const restarted = 1
	for gateway := range fleet.limitsAddresses {
		testutil.Eventually(t, "the accounts at both gateways", func() bool {
			_, err := fleet.command(t, gateway, "changes", billedTenant)
			return err == nil
		})
	}
	fleet.changePlan(t)
	fleet.replicas[restarted].kill()
	time.Sleep(2600 * time.Millisecond) // the change is in force then
	fleet.replicas[restarted].start(t, fleet.replicas)
	testutil.Eventually(t, "a request to succeed at the restarted gateway", func() bool {
		conn, err := tryDial(t, fleet.clientAddresses[restarted])
		if err != nil {
			return false
		}
		defer closeIgnoringError(conn)
		return fleet.requestOnce(conn, bufio.NewReader(conn), 0, restarted) == nil && len(fleet.succeeded) > 0
	})
	testutil.Eventually(t, "the request's units to be exported", func() bool { return fleet.receiver.totalUnits() > 0 })
	fleet.waitExported(t)
	fleet.receiver.mu.Lock()
	defer fleet.receiver.mu.Unlock()
	want := map[string]int64{"large": requestUnits * 1e6}
	if got := fleet.receiver.microUnitsByPlan; !maps.Equal(got, want) {
		t.Errorf("billed %v, want %v", got, want)
	}
}
