package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

var program string

// TestMain builds the front door once: the doors of these tests are its processes.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "fawnplank-rig-")
	if err == nil {
		program = filepath.Join(folder, "fawnplank")
		build := exec.Command("go", "build", "-o", program, "fawnplank/cmd/fawnplank")
		build.Stderr = os.Stderr
		err = build.Run()
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	os.RemoveAll(folder)
	os.Exit(code)
}

const small = `name = "small"
on = "sockets"
duration = "3s"
[doors]
count = 2
[backends]
count = 3
cores = 4
work = "4ms"
groups = 3
[load]
rate = 80
customers = 10
retries = 1
[[profile]]
name = "calc"
effect = "reissuable"
promised = "400ms"
hard_limit = "800ms"
share = 4
[[profile]]
name = "file"
effect = "at-most-once"
promised = "400ms"
hard_limit = "800ms"
[[plan]]
name = "despacho"
rate = 30
burst = 60
[discovery]
delay = "20ms"
`

func play(t *testing.T, add string, over ...string) *results.Run {
	t.Helper()
	s, err := scenario.Parse("small", []byte(small+add), over...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	run, err := Run(ctx, s, Options{Door: []string{program}})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range run.Findings {
		t.Errorf("rule %d: %s", f.Rule, f.What)
	}
	return run
}

// Each fault of the stand-ins meets real front doors: what their clients get is what the fault leaves, and the
// five rules hold, as seen from clients and backends.
func TestFrontDoorsThroughEveryFault(t *testing.T) {
	served := func(least float64) func(r results.Total) bool {
		return func(r results.Total) bool { return float64(r.Succeeded) >= least*float64(r.Requests) }
	}
	between := func(least, most float64) func(r results.Total) bool {
		return func(r results.Total) bool {
			share := float64(r.Succeeded) / float64(r.Requests)
			return share >= least && share <= most
		}
	}
	for _, x := range []struct {
		kind scenario.FaultKind
		more string
		want func(r results.Total) bool
	}{
		{"", "", served(0.99)},
		{scenario.BackendRefuse, "who = [0]", served(0.97)},
		{scenario.BackendRefuse, "share = 1", between(0.3, 0.85)},
		{scenario.BackendHang, "who = [0]", served(0.95)},
		{scenario.BackendSlow, "who = [0]\nfactor = 20", served(0.95)},
		{scenario.BackendReset, "share = 1", between(0.3, 0.85)},
		{scenario.BackendGarble, "share = 1", between(0.3, 0.85)},
		{scenario.BackendError, "share = 1", between(0.3, 0.85)},
		{scenario.BackendDrain, "who = [0, 1]", served(0.97)},
		{scenario.BackendVanish, "who = [1]", served(0.9)},
		{scenario.BackendRestart, "who = [1]", served(0.9)},
		{scenario.CounterRefuse, "", served(0.95)},
		{scenario.CounterRefuse, "[counter]\nprotocol = \"resp\"", served(0.95)},
		{scenario.CounterHang, "[counter]\nprotocol = \"resp\"", served(0.95)},
		{scenario.CounterHang, "", served(0.95)},
		{scenario.CounterSlow, "delay = \"300ms\"", served(0.95)},
		{scenario.CounterCut, "who = [0]", served(0.95)},
		{scenario.DiscoveryStale, "", served(0.99)},
		{scenario.DiscoveryRefuse, "", served(0.99)},
		{scenario.InstanceRestart, "who = [1]", func(r results.Total) bool { return served(0.7)(r) && r.Abandoned+r.NotSent+r.Submitted-r.Requests > 0 }},
	} {
		t.Run(string(x.kind)+x.more, func(t *testing.T) {
			t.Parallel()
			add := ""
			if x.kind != "" {
				add = fmt.Sprintf("[[fault]]\nkind = %q\nat = \"1s\"\nfor = \"1s\"\n%s\n", x.kind, x.more)
			}
			if run := play(t, add); !x.want(run.Total) {
				t.Errorf("%+v", run.Total)
			}
		})
	}
}

// The counter refuses for 15 s and comes back empty; customers ask for a quarter more than their quotas all the
// while. What they are let have stays within the stated bound of what one honest counter would have let them have.
func TestDriftThroughALostCounter(t *testing.T) {
	for _, protocol := range []string{"text", "resp"} {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("../../../lab/scenarios/counter-lost.toml", "counter.protocol="+protocol, "duration=28s")
			if err != nil {
				t.Fatal(err)
			}
			run, err := Run(context.Background(), s, Options{Door: []string{program}})
			if err != nil || run.Violations() > 0 {
				t.Fatal(err, run.Findings)
			}
			over, under := run.Drift()
			t.Logf("%.1f%% over, %.1f%% under, of %.0f units", 100*over, 100*under, run.Total.UnitsExact)
			if over > 0.05 || under > 0.05 || run.Total.UnitsExact < 3000 {
				t.Errorf("%.1f%% over and %.1f%% under: more than the stated 5%%", 100*over, 100*under)
			}
			if calls := run.Rows[15].CounterCalls + run.Rows[20].CounterCalls; calls > 0 {
				t.Errorf("%d calls came through while the counter refused", calls)
			}
		})
	}
}

// Backends by dynamic updates: three hundred withdrawals a minute, each told to two doors under load. No new shot
// comes to a backend a second after a door was told, and the five rules hold; a killed door goes on from its journal.
func TestDynamicUpdatesUnderLoad(t *testing.T) {
	for name, add := range map[string]string{
		"many": "[[fault]]\nkind = \"backend-withdraw\"\nat = \"200ms\"\nfor = \"600ms\"\nwho = [0, 1, 2, 3]\neach = \"200ms\"\ntimes = 3\nevery = \"800ms\"\n",
		"a door killed meanwhile": "[[fault]]\nkind = \"backend-withdraw\"\nat = \"900ms\"\nfor = \"1500ms\"\nwho = [1]\n" +
			"[[fault]]\nkind = \"door-restart\"\nat = \"1200ms\"\nfor = \"200ms\"\nwho = [0]\n",
		"drained": "[[fault]]\nkind = \"backend-drain\"\nat = \"500ms\"\nfor = \"1s\"\nwho = [0]\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := play(t, "source = \"dns\"\n"+add, "backends.count=6")
			least := 0.9
			if name == "drained" {
				least = 0.97
			} else if w := run.Withdrawals; w == nil || w.Max > 1000 {
				t.Errorf("%+v: a shot more than a second after", w)
			}
			if r := run.Total; float64(r.Succeeded) < least*float64(r.Requests) || run.DNSUpdates == 0 {
				t.Errorf("%+v, %d updates", r, run.DNSUpdates)
			}
			t.Logf("%d updates, %+v, %d of %d fulfilled", run.DNSUpdates, run.Withdrawals, run.Total.Succeeded, run.Total.Requests)
		})
	}
}

// A door that does not come up, or dies by itself, ends the run with what it said last.
func TestDoorsThatFail(t *testing.T) {
	s, err := scenario.Parse("small", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Run(context.Background(), s, Options{Door: []string{"/bin/sh", "-c", "echo out of sorts; exit 3"}})
	if err == nil || !strings.Contains(err.Error(), "front door 0 ended: out of sorts") {
		t.Error(err)
	}
	_, err = Run(context.Background(), s, Options{Door: []string{filepath.Join(t.TempDir(), "none")}})
	if err == nil || !strings.Contains(err.Error(), "front door 0") {
		t.Error(err)
	}
	crashes := []string{"/bin/sh", "-c", `exec timeout -s KILL 1.5 "$0" "$@"`, program}
	_, err = Run(context.Background(), s, Options{Door: crashes})
	if err == nil || !strings.Contains(err.Error(), "crashed") {
		t.Error(err)
	}
}

// The load tool on its own: every try is due at its time and answered; a door that is not there is told apart.
func TestLoadToolAlone(t *testing.T) {
	s, err := scenario.Parse("small", []byte(small), "doors.count=1", "load.spread=1", "load.rate=400", "duration=1s", "load.retries=0")
	if err != nil {
		t.Fatal(err)
	}
	terms, _ := s.EngineSettings(0)
	for address, fulfilled := range map[string]bool{nullDoor(t): true, "127.0.0.1:1": false} {
		log := results.NewLog(results.New(s, terms, 0))
		log.Begin()
		tool := load.New(s, log, []string{address})
		tool.Run(nil)
		run := log.Finish()
		if n := run.Total.Requests + run.Total.NotSent; n < 300 || n > 500 {
			t.Errorf("%d transactions", n)
		}
		if (run.Total.Succeeded == run.Total.Requests && run.Total.NotSent == 0) != fulfilled || run.Violations() > 0 {
			t.Errorf("%s: %+v", address, run.Total)
		}
	}
}
