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

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

// program is the gateway's program, whose processes these tests run.
var program string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the program, runs the tests and returns their exit code. It is apart from TestMain since
// os.Exit skips deferred calls.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fawnplank-testbed-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		_ = os.RemoveAll(folder) // under the folder for temporary files, which the system clears
	}()
	program = filepath.Join(folder, "fawnplank")
	build := exec.CommandContext(context.Background(),
		"go", "build", "-o", program, "fawnplank/cmd/fawnplank")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// smallScenario is a run of three seconds with two gateways and three backends.
const smallScenario = `name = "small"
on = "sockets"
duration = "3s"
[gateways]
count = 2
[backends]
count = 3
cores = 4
work = "4ms"
groups = 3
[load]
rate = 80
tenants = 10
retries = 1
[[class]]
name = "calc"
idempotency = "idempotent"
latency_objective = "400ms"
deadline = "800ms"
share = 4
[[class]]
name = "file"
idempotency = "non-idempotent"
latency_objective = "400ms"
deadline = "800ms"
[[plan]]
name = "despacho"
rate = 30
burst = 60
[discovery]
delay = "20ms"
`

// play runs the small scenario with what is appended to its text and laid over its keys, and reports broken
// rules.
func play(t *testing.T, appended string, overrides ...string) *results.Run {
	t.Helper()
	s, err := scenario.Parse("small", []byte(smallScenario+appended), overrides...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	run, err := Run(ctx, s, Options{GatewayCommand: []string{program}})
	if err != nil {
		t.Fatal(err)
	}
	for _, finding := range run.Findings {
		t.Errorf("rule %d: %s", finding.Rule, finding.Description)
	}
	return run
}

// succeededAtLeast reports on results in which at least a share of the requests succeeded.
func succeededAtLeast(minShare float64) func(total results.Total) bool {
	return func(total results.Total) bool {
		return float64(total.Succeeded) >= minShare*float64(total.Requests)
	}
}

// succeededPartly reports on results of a fault that hits every backend for a third of the run: some requests
// fail, and some succeed.
func succeededPartly(total results.Total) bool {
	share := float64(total.Succeeded) / float64(total.Requests)
	return share >= 0.3 && share <= 0.85
}

// succeededThroughRestart reports on results in which most requests succeeded, and some were hit by a
// restart.
func succeededThroughRestart(total results.Total) bool {
	hit := total.Abandoned + total.NotSent + total.Submitted - total.Requests
	return succeededAtLeast(0.7)(total) && hit > 0
}

// TestRun_ServesThroughEveryFault: each fault of the emulator meets real gateways. Their clients get what the
// fault leaves, and the five rules hold, as seen from clients and backends.
func TestRun_ServesThroughEveryFault(t *testing.T) {
	const resp = "[counter]\nprotocol = \"resp\""
	for _, test := range []struct {
		kind scenario.FaultKind
		more string
		want func(total results.Total) bool
	}{
		{"", "", succeededAtLeast(0.99)},
		{scenario.BackendRefuse, "targets = [0]", succeededAtLeast(0.97)},
		{scenario.BackendRefuse, "share = 1", succeededPartly},
		{scenario.BackendHang, "targets = [0]", succeededAtLeast(0.95)},
		{scenario.BackendSlow, "targets = [0]\nfactor = 20", succeededAtLeast(0.95)},
		{scenario.BackendReset, "share = 1", succeededPartly},
		{scenario.BackendGarble, "share = 1", succeededPartly},
		{scenario.BackendError, "share = 1", succeededPartly},
		{scenario.BackendDrain, "targets = [0, 1]", succeededAtLeast(0.97)},
		{scenario.BackendVanish, "targets = [1]", succeededAtLeast(0.9)},
		{scenario.BackendRestart, "targets = [1]", succeededAtLeast(0.9)},
		{scenario.CounterRefuse, "", succeededAtLeast(0.95)},
		{scenario.CounterRefuse, resp, succeededAtLeast(0.95)},
		{scenario.CounterHang, resp, succeededAtLeast(0.95)},
		{scenario.CounterHang, "", succeededAtLeast(0.95)},
		{scenario.CounterSlow, "delay = \"300ms\"", succeededAtLeast(0.95)},
		{scenario.CounterCut, "targets = [0]", succeededAtLeast(0.95)},
		{scenario.DiscoveryStale, "", succeededAtLeast(0.99)},
		{scenario.DiscoveryRefuse, "", succeededAtLeast(0.99)},
		{scenario.InstanceRestart, "targets = [1]", succeededThroughRestart},
	} {
		t.Run(string(test.kind)+test.more, func(t *testing.T) {
			t.Parallel()
			fault := ""
			if test.kind != "" {
				fault = fmt.Sprintf("[[fault]]\nkind = %q\nat = \"1s\"\nduration = \"1s\"\n%s\n",
					test.kind, test.more)
			}
			if run := play(t, fault); !test.want(run.Total) {
				t.Errorf("%+v", run.Total)
			}
		})
	}
}

// TestRun_DriftThroughLostCounter: the counter refuses for 15 s and comes back empty, while tenants ask for a
// quarter more than their quotas. What they are admitted with stays within the stated bound of what one
// exact counter admits.
func TestRun_DriftThroughLostCounter(t *testing.T) {
	for _, protocol := range []string{"text", "resp"} {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load("../../../lab/scenarios/counter-lost.toml",
				"counter.protocol="+protocol, "duration=28s")
			if err != nil {
				t.Fatal(err)
			}
			run, err := Run(t.Context(), s, Options{GatewayCommand: []string{program}})
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

// TestRun_DynamicUpdatesUnderLoad: three hundred withdrawals of backends a minute by dynamic DNS updates,
// each sent to two gateways under load. No new attempt reaches a backend a second after a gateway was
// notified, and the five rules hold; a killed gateway resumes from its journal.
func TestRun_DynamicUpdatesUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name              string
		faults            string
		minShare          float64
		boundsWithdrawals bool
	}{
		{
			name: "many",
			faults: "[[fault]]\nkind = \"backend-withdraw\"\nat = \"200ms\"\nduration = \"600ms\"\n" +
				"targets = [0, 1, 2, 3]\neach = \"200ms\"\ntimes = 3\nevery = \"800ms\"\n",
			minShare:          0.9,
			boundsWithdrawals: true,
		},
		{
			name: "a gateway killed meanwhile",
			faults: "[[fault]]\nkind = \"backend-withdraw\"\nat = \"900ms\"\nduration = \"1500ms\"\n" +
				"targets = [1]\n[[fault]]\nkind = \"gateway-restart\"\nat = \"1200ms\"\nduration = \"200ms\"\n" +
				"targets = [0]\n",
			minShare:          0.9,
			boundsWithdrawals: true,
		},
		{
			name:     "drained",
			faults:   "[[fault]]\nkind = \"backend-drain\"\nat = \"500ms\"\nduration = \"1s\"\ntargets = [0]\n",
			minShare: 0.97,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run := play(t, "source = \"dns\"\n"+test.faults, "backends.count=6")
			if w := run.Withdrawals; test.boundsWithdrawals && (w == nil || w.Max > 1000) {
				t.Errorf("%+v: an attempt more than a second after", w)
			}
			if !succeededAtLeast(test.minShare)(run.Total) || run.DNSUpdates == 0 {
				t.Errorf("%+v, %d updates", run.Total, run.DNSUpdates)
			}
			t.Logf("%d updates, %+v, %d of %d succeeded",
				run.DNSUpdates, run.Withdrawals, run.Total.Succeeded, run.Total.Requests)
		})
	}
}

// TestRun_ReportsFailingGateways: a gateway that does not come up, or crashes, makes the run fail with the
// end of its log.
func TestRun_ReportsFailingGateways(t *testing.T) {
	s, err := scenario.Parse("small", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	exits := []string{"/bin/sh", "-c", "echo out of sorts; exit 3"}
	_, err = Run(t.Context(), s, Options{GatewayCommand: exits})
	if err == nil || !strings.Contains(err.Error(), "gateway 0 ended: out of sorts") {
		t.Error(err)
	}
	_, err = Run(t.Context(), s, Options{GatewayCommand: []string{filepath.Join(t.TempDir(), "none")}})
	if err == nil || !strings.Contains(err.Error(), "gateway 0") {
		t.Error(err)
	}
	crashes := []string{"/bin/sh", "-c", `exec timeout -s KILL 1.5 "$0" "$@"`, program}
	run, err := Run(t.Context(), s, Options{GatewayCommand: crashes})
	if err == nil || !strings.Contains(err.Error(), "crashed") {
		t.Error(err)
	}
	if run == nil {
		t.Error("no results of a run with a crash")
	}
}
