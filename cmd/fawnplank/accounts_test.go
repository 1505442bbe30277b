package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
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

// billingReceiver stands in for the receiver of exported usage: each batch counts once, and some answers are
// errors though it counted.
type billingReceiver struct {
	mu    sync.Mutex
	last  uint64
	keys  map[string]bool
	plans map[string]int64 // millionths, by plan
	calls int
	fault string
}

func (b *billingReceiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	if r.Method == http.MethodGet {
		sendf(w, `{"last":%d}`, b.last)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); !b.keys[key] {
		b.keys[key] = true
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			b.count(lines.Text())
		}
	}
	if b.calls%3 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (b *billingReceiver) count(line string) {
	var record struct {
		Sequence   uint64 `json:"sequence"`
		Plan       string `json:"plan"`
		MicroUnits int64  `json:"micro_units"`
	}
	if json.Unmarshal([]byte(line), &record) != nil || record.Sequence != b.last+1 {
		b.fault = fmt.Sprintf("after %d: %s", b.last, line)
	}
	b.last = record.Sequence
	b.plans[record.Plan] += record.MicroUnits
}

// units is the sum over all plans.
func (b *billingReceiver) units() (sum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, micro := range b.plans {
		sum += float64(micro) / 1e6
	}
	return sum
}

// billedFleet is two gateways with a replica each, a replica alone, clients and a receiver.
type billedFleet struct {
	replicas         []*replicaProcess
	receiver         *billingReceiver
	clients, limits  []string // addresses, by gateway
	secretFile       string
	stopLoad         chan struct{}
	load             sync.WaitGroup
	mu               sync.Mutex
	succeeded        []success
	unsure           int     // requests whose gateway died before the answer came
	lost             float64 // units that a killed gateway may not have reported
	kills            int
	committed        float64 // units of the reservation
	unreportedWindow time.Duration
}

// success is a request that its client saw succeed.
type success struct {
	gateway int
	at      time.Time
}

const (
	billedTenant = "0000000000000005"
	// requestUnits is what each of the clients' requests counts.
	requestUnits = 2
)

func newBilledFleet(t *testing.T) *billedFleet {
	t.Helper()
	backend := testutil.ServeCommands(t, func(conn net.Conn) { send(conn, successResponse) })
	f := &billedFleet{
		replicas: newReplicas(t, "a", "b", "c"),
		receiver: &billingReceiver{keys: map[string]bool{}, plans: map[string]int64{}},
		stopLoad: make(chan struct{}),
		// An election, and the reports that wait for it, take up to two seconds.
		unreportedWindow: 2 * time.Second,
	}
	server := httptest.NewServer(f.receiver)
	t.Cleanup(server.Close)
	folder := filepath.Dir(f.replicas[0].folder)
	f.secretFile = filepath.Join(folder, "secret")
	writeFile(t, f.secretFile, "a secret of some length\n")
	for n, r := range f.replicas[:2] {
		f.clients, f.limits = append(f.clients, freeAddress(t)), append(f.limits, freeAddress(t))
		settings := filepath.Join(folder, r.id+".json")
		operator := filepath.Join(folder, r.id+".toml")
		text := fmt.Sprintf(configuration, f.clients[n], freeAddress(t), backend)
		text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, n), 1)
		text = strings.Replace(text, `"tariffs":[`,
			`"tariffs":[{"name":"large","quota-rate":1000,"peak-units":500},`, 1)
		writeFile(t, settings, text)
		writeFile(t, operator, fmt.Sprintf("[limits]\nlisten = %q\n"+
			"[[limits.key]]\nname = \"ops\"\nsecret_file = %q\n"+
			"rights = [\"read\", \"reserve\", \"change\"]\n[billing]\non = true\nwindow = \"1s\"\nlate = \"200ms\"\n"+
			"lead = \"2s\"\nclock_skew = \"50ms\"\nreport_every = \"50ms\"\nexport_url = %q\n",
			f.limits[n], f.secretFile, server.URL))
		r.args = []string{"serve", "-c", settings, "--operator", operator}
	}
	startReplicas(t, f.replicas)
	return f
}

// command runs a billing command at a gateway.
func (f *billedFleet) command(t *testing.T, gateway int, args ...string) (string, error) {
	t.Helper()
	flags := []string{"billing", "--at", f.limits[gateway], "--key", "ops", "--secret-file", f.secretFile}
	out, err := runProgram(t, append(flags, args...)...)
	return strings.TrimSpace(out), err
}

// startLoad starts four clients, two at each gateway, until stopLoad is closed.
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
			dialed, err := dialer.DialContext(t.Context(), "tcp", f.clients[n%2])
			if err != nil {
				continue
			}
			conn = dialed
			reader = bufio.NewReader(dialed)
		}
		if err := f.requestOnce(conn, reader, n, i); err != nil {
			f.mu.Lock()
			f.unsure++
			f.mu.Unlock()
			hangUp(conn)
			conn = nil
		}
	}
}

// requestOnce sends one request, and counts it if it succeeds. An error answer is no error.
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

// killReplica kills a replica, and its gateway with it, and starts it again.
func (f *billedFleet) killReplica(t *testing.T, n int) {
	t.Helper()
	f.replicas[n].kill()
	f.kills++
	now := time.Now()
	f.mu.Lock()
	for _, s := range f.succeeded {
		if s.gateway == n && s.at.After(now.Add(-f.unreportedWindow)) {
			f.lost += requestUnits
		}
	}
	f.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	f.replicas[n].start(t, f.replicas)
}

// changePlan changes a tenant's plan, and checks that a second change at the same moment is refused.
func (f *billedFleet) changePlan(t *testing.T) {
	t.Helper()
	moment := fmt.Sprint(time.Now().Add(2500 * time.Millisecond).UnixMilli())
	testutil.Eventually(t, "a plan change", func() bool {
		_, err := f.command(t, 0, "change", billedTenant, "spring", "large", moment)
		return err == nil
	})
	out, err := f.command(t, 1, "change", billedTenant, "other", "team", moment)
	if err == nil || !strings.Contains(out, "is taken") {
		t.Errorf("two changes at one moment: %v, %s", err, out)
	}
}

// spendReservation reserves units and commits some of them; a commit sent twice is refused, and so is a
// reservation without a key.
func (f *billedFleet) spendReservation(t *testing.T) {
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
		f.committed = 30
		out, err = f.command(t, 0, "commit", billedTenant, "batch", fmt.Sprint(epoch), "30")
		if err == nil || !strings.Contains(out, "epoch") {
			t.Errorf("a commit sent twice: %v, %s", err, out)
		}
		return true
	})
	out, err := runProgram(t, "billing", "--at", f.limits[0],
		"reserve", billedTenant, "x", "h", "large", "1", "1000")
	if err == nil || !strings.Contains(out, "NOPERM") {
		t.Errorf("without a key: %v, %s", err, out)
	}
}

// waitExported waits until all usage is exported, and returns the units that the receiver has.
func (f *billedFleet) waitExported(t *testing.T) float64 {
	t.Helper()
	var exported float64
	text := ""
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("the store's keys: ", text, exported)
		}
	})
	testutil.Eventually(t, "all to be exported", func() bool {
		var err error
		text, err = f.replicas[2].call(t, http.MethodGet, "/v1/kv?prefix=billing/", "")
		if err != nil || strings.Contains(text, "billing/use/") || strings.Contains(text, "billing/record/") {
			return false
		}
		time.Sleep(1500 * time.Millisecond) // longer than a window and its lateness
		before := exported
		exported = f.receiver.units()
		return before == exported
	})
	return exported
}

// Two gateways under load, replicas and gateways killed outright at random, a plan changed while requests are
// in flight, a reservation spent, a receiver that answers errors after having counted. What it has in the end
// is what clients saw succeed, but for what a killed gateway had not reported.
func TestAccounts_UsageIsBilledOnceDespiteKills(t *testing.T) {
	f := newBilledFleet(t)
	f.startLoad(t)
	testutil.Eventually(t, "a first export", func() bool { return f.receiver.units() > 0 })
	f.changePlan(t)
	chance := rand.New(rand.NewPCG(5, 5))
	for range 4 {
		f.killReplica(t, chance.IntN(3))
		time.Sleep(time.Duration(800+chance.IntN(700)) * time.Millisecond)
	}
	f.spendReservation(t)
	close(f.stopLoad)
	f.load.Wait()
	expected := requestUnits*float64(len(f.succeeded)) + f.committed
	exported := f.waitExported(t)

	receiver := f.receiver
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	most := expected + requestUnits*float64(f.unsure)
	if receiver.fault != "" || exported > most || exported < expected-f.lost {
		t.Errorf("%s; the receiver has %g units; clients saw %g succeed, at most %g; "+
			"killed gateways may have lost %g", receiver.fault, exported, expected, most, f.lost)
	}
	if receiver.plans["large"] == 0 || receiver.plans["team"] == 0 {
		t.Errorf("by plan: %v", receiver.plans)
	}
	t.Logf("%g units succeeded, %g billed in %d records, %d kills (at most %g lost), "+
		"%d requests without an answer, by plan %v",
		expected, exported, receiver.last, f.kills, f.lost, f.unsure, receiver.plans)
}
