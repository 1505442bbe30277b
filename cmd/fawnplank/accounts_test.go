package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// books are a stand-in for billing's receiver: each batch counts once, and some answers are errors though it counted.
type books struct {
	mu    sync.Mutex
	last  uint64
	keys  map[string]bool
	plans map[string]int64 // millionths, by plan
	calls int
	bad   string
}

func (b *books) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls++; r.Method == "GET" {
		fmt.Fprintf(w, `{"last":%d}`, b.last)
		return
	}
	if key := r.Header.Get("Idempotency-Key"); !b.keys[key] {
		b.keys[key] = true
		for in := bufio.NewScanner(r.Body); in.Scan(); {
			var x struct {
				Sequence uint64 `json:"sequence"`
				Plan     string `json:"plan"`
				Micro    int64  `json:"micro_units"`
			}
			if json.Unmarshal(in.Bytes(), &x) != nil || x.Sequence != b.last+1 {
				b.bad = fmt.Sprintf("after %d: %s", b.last, in.Text())
			}
			b.last = x.Sequence
			b.plans[x.Plan] += x.Micro
		}
	}
	if b.calls%3 == 0 {
		w.WriteHeader(500)
	}
}

func (b *books) sum() (sum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.plans {
		sum += float64(n) / 1e6
	}
	return sum
}

// Two front doors under load, replicas and doors killed outright at random, a plan changed while tries are in flight, a
// reservation spent, a receiver that answers errors after having counted. What it has in the end is what clients saw
// fulfilled, but for what a killed door had not reported.
func TestUseIsBilledOnceThroughKills(t *testing.T) {
	backend := standIn(t, func(c net.Conn) { c.Write([]byte("*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")) })
	receiver := &books{keys: map[string]bool{}, plans: map[string]int64{}}
	server := httptest.NewServer(receiver)
	defer server.Close()
	all := replicas(t, "a", "b", "c")
	folder := filepath.Dir(all[0].dir)
	secret := filepath.Join(folder, "secret")
	os.WriteFile(secret, []byte("a secret of some length\n"), 0o600)
	var fronts, limits []string
	for n, r := range all[:2] {
		fronts, limits = append(fronts, freeAddress(t)), append(limits, freeAddress(t))
		config, operator := filepath.Join(folder, r.id+".json"), filepath.Join(folder, r.id+".toml")
		text := strings.Replace(fmt.Sprintf(configuration, fronts[n], freeAddress(t), backend), `"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, n), 1)
		os.WriteFile(config, []byte(strings.Replace(text, `"tariffs":[`, `"tariffs":[{"name":"large","quota-rate":1000,"peak-units":500},`, 1)), 0o600)
		os.WriteFile(operator, []byte(fmt.Sprintf("[limits]\nlisten = %q\n[[limits.key]]\nname = \"ops\"\nsecret_file = %q\nrights = [\"read\", \"reserve\", \"change\"]\n"+
			"[billing]\non = true\nwindow = \"1s\"\nlate = \"200ms\"\nlead = \"2s\"\nclock_skew = \"50ms\"\nreport_every = \"50ms\"\nexport_url = %q\n", limits[n], secret, server.URL)), 0o600)
		r.words = []string{"serve", "-c", config, "--operator", operator}
	}
	for _, r := range all {
		r.start(t, all)
	}
	command := func(door int, words ...string) (string, error) {
		out, err := program(append([]string{"billing", "--at", limits[door], "--key", "ops", "--secret-file", secret}, words...)...).CombinedOutput()
		return strings.TrimSpace(string(out)), err
	}
	type try struct {
		door int
		at   time.Time
	}
	var mu sync.Mutex
	var fulfilled []try
	unsure := 0 // asked, and the door died before its answer came
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			var conn net.Conn
			var in *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(3 * time.Millisecond):
				}
				if conn == nil {
					if conn, _ = net.DialTimeout("tcp", fronts[n%2], time.Second); conn == nil {
						continue
					}
					in = bufio.NewReader(conn)
				}
				conn.SetDeadline(time.Now().Add(3 * time.Second))
				head, id := "c=lookup,t=team,d=1400,units=2", fmt.Sprintf("%d-%08d", n, i)
				_, err := fmt.Fprintf(conn, "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n%016x\r\n$10\r\n%s\r\n$%d\r\n%s\r\n", 5+n%3, id, len(head), head)
				line := ""
				if err == nil {
					line, err = in.ReadString('\n')
				}
				if err == nil && line == "$2\r\n" {
					_, err = in.ReadString('\n')
					mu.Lock()
					fulfilled = append(fulfilled, try{n % 2, time.Now()})
					mu.Unlock()
				}
				if err != nil {
					mu.Lock()
					unsure++
					mu.Unlock()
					conn.Close()
					conn = nil
				}
			}
		})
	}
	until(t, "a first export", func() bool { return receiver.sum() > 0 })
	moment := time.Now().Add(2500 * time.Millisecond).UnixMilli()
	until(t, "a plan change", func() bool {
		_, err := command(0, "change", "0000000000000005", "spring", "large", fmt.Sprint(moment))
		return err == nil
	})
	if out, err := command(1, "change", "0000000000000005", "other", "team", fmt.Sprint(moment)); err == nil || !strings.Contains(out, "is taken by") && !strings.Contains(out, "is taken") {
		t.Errorf("two changes at one moment: %v, %s", err, out)
	}
	lost, kills := 0, 0
	kill := func(r *replica, door int) {
		r.kill()
		kills++
		now := time.Now()
		mu.Lock()
		for _, f := range fulfilled { // an election, and the reports that wait for it, take up to two seconds
			if f.door == door && f.at.After(now.Add(-2*time.Second)) {
				lost += 2
			}
		}
		mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		r.start(t, all)
	}
	chance := rand.New(rand.NewPCG(5, 5))
	for range 4 {
		n := chance.IntN(3)
		kill(all[n], n)
		time.Sleep(time.Duration(800+chance.IntN(700)) * time.Millisecond)
	}
	committed := 0.0
	until(t, "a reservation", func() bool {
		out, err := command(0, "reserve", "0000000000000005", "batch", "host", "large", "40", "60000")
		var epoch, at int64
		var left float64
		if _, scan := fmt.Sscan(out, &epoch, &left, &at); err != nil || scan != nil || left != 40 {
			return false
		}
		if out, err = command(1, "commit", "0000000000000005", "batch", fmt.Sprint(epoch), "30"); err != nil {
			t.Fatalf("%v, %s", err, out)
		}
		committed = 30
		if out, err = command(0, "commit", "0000000000000005", "batch", fmt.Sprint(epoch), "30"); err == nil || !strings.Contains(out, "epoch") {
			t.Errorf("a commit sent twice: %v, %s", err, out)
		}
		return true
	})
	if out, err := program("billing", "--at", limits[0], "reserve", "0000000000000005", "x", "h", "large", "1", "1000").CombinedOutput(); err == nil || !strings.Contains(string(out), "NOPERM") {
		t.Errorf("without a key: %v, %s", err, out)
	}
	close(stop)
	wg.Wait()
	honest := 2*float64(len(fulfilled)) + committed
	var last float64
	text := ""
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("the store's keys: ", text, last)
		}
	})
	until(t, "all to be exported", func() bool {
		var err error
		text, err = all[2].ask("GET", "/v1/kv?prefix=billing/", "")
		if err != nil || strings.Contains(text, "billing/use/") || strings.Contains(text, "billing/record/") {
			return false
		}
		time.Sleep(1500 * time.Millisecond) // longer than a window and its lateness
		was := last
		last = receiver.sum()
		return was == last
	})
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	if most := honest + 2*float64(unsure); receiver.bad != "" || last > most || last < honest-float64(lost) {
		t.Errorf("%s; the receiver has %g units; clients saw %g fulfilled, at most %g; killed doors may have lost %d", receiver.bad, last, honest, most, lost)
	}
	if receiver.plans["large"] == 0 || receiver.plans["team"] == 0 {
		t.Errorf("by plan: %v", receiver.plans)
	}
	t.Logf("%g units fulfilled, %g billed in %d records, %d kills (at most %d lost), %d tries without an answer, by plan %v", honest, last, receiver.last, kills, lost, unsure, receiver.plans)
}
