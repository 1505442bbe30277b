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

// program is the path of the gateway's executable, which TestMain builds.
var program string

// TestMain builds the gateway once for all tests of the package.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the gateway, runs the tests and returns their exit code. It is separate from TestMain because
// os.Exit skips deferred calls.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "fawnplank-testbed-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		_ = os.RemoveAll(folder) // if this fails, the system eventually removes its temporary files
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

// smallScenario is a scenario of three seconds with two gateways and three backends.
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

// playSmallScenario plays the small scenario, with the given text appended and the given keys overridden, and reports
// each violated rule as a test error.
func playSmallScenario(t *testing.T, appended string, overrides ...string) *results.Run {
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

// succeededAtLeast returns a function that reports whether at least the given share of the requests succeeded.
func succeededAtLeast(minShare float64) func(total results.Total) bool {
	return func(total results.Total) bool {
		return float64(total.Succeeded) >= minShare*float64(total.Requests)
	}
}

// succeededPartly reports whether some requests failed and some succeeded, as expected of a fault that affects every
// backend for a third of the run.
func succeededPartly(total results.Total) bool {
	share := float64(total.Succeeded) / float64(total.Requests)
	return share >= 0.3 && share <= 0.85
}

// succeededDuringRestart reports whether most requests succeeded although a restart affected some of them.
func succeededDuringRestart(total results.Total) bool {
	affected := total.Abandoned + total.NotSent + total.Submitted - total.Requests
	return succeededAtLeast(0.7)(total) && affected > 0
}

// TestRun_ServesDuringEveryFault injects each fault of the emulator while real gateways serve the small scenario. The
// share of successful requests must be what the fault allows, and the five rules must hold as observed at the clients
// and the backends.
func TestRun_ServesDuringEveryFault(t *testing.T) {
	const respProtocol = "[counter]\nprotocol = \"resp\""
	for _, test := range []struct {
		kind          scenario.FaultKind
		faultSettings string
		want          func(total results.Total) bool
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
		{scenario.CounterRefuse, respProtocol, succeededAtLeast(0.95)},
		{scenario.CounterHang, respProtocol, succeededAtLeast(0.95)},
		{scenario.CounterHang, "", succeededAtLeast(0.95)},
		{scenario.CounterSlow, "delay = \"300ms\"", succeededAtLeast(0.95)},
		{scenario.CounterCut, "targets = [0]", succeededAtLeast(0.95)},
		{scenario.DiscoveryStale, "", succeededAtLeast(0.99)},
		{scenario.DiscoveryRefuse, "", succeededAtLeast(0.99)},
		{scenario.InstanceRestart, "targets = [1]", succeededDuringRestart},
	} {
		t.Run(string(test.kind)+test.faultSettings, func(t *testing.T) {
			t.Parallel()
			fault := ""
			if test.kind != "" {
				fault = fmt.Sprintf("[[fault]]\nkind = %q\nat = \"1s\"\nduration = \"1s\"\n%s\n",
					test.kind, test.faultSettings)
			}
			if run := playSmallScenario(t, fault); !test.want(run.Total) {
				t.Errorf("%+v", run.Total)
			}
		})
	}
}

// The counter refuses connections for 15 s and restarts empty, while tenants request 25% more than their quotas. The
// admitted units must stay within the stated 5% of those that a single exact counter would admit.
func TestRun_QuotaDriftDuringCounterOutage(t *testing.T) {
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
				t.Errorf("%d calls reached the counter while it refused connections", calls)
			}
		})
	}
}

// TestRun_DynamicUpdatesUnderLoad withdraws backends by dynamic DNS updates at a rate of three hundred a minute, with
// each update sent to two gateways under load. More than a second after a gateway has been notified, it must not send
// a new attempt to the withdrawn backend, and the five rules must hold. A killed gateway must resume from its journal.
func TestRun_DynamicUpdatesUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name              string
		faults            string
		minShare          float64
		checksWithdrawals bool
	}{
		{
			name: "many",
			faults: "[[fault]]\nkind = \"backend-withdraw\"\nat = \"200ms\"\nduration = \"600ms\"\n" +
				"targets = [0, 1, 2, 3]\neach = \"200ms\"\ntimes = 3\nevery = \"800ms\"\n",
			minShare:          0.9,
			checksWithdrawals: true,
		},
		{
			name: "gateway killed during the updates",
			faults: "[[fault]]\nkind = \"backend-withdraw\"\nat = \"900ms\"\nduration = \"1500ms\"\n" +
				"targets = [1]\n[[fault]]\nkind = \"gateway-restart\"\nat = \"1200ms\"\nduration = \"200ms\"\n" +
				"targets = [0]\n",
			minShare:          0.9,
			checksWithdrawals: true,
		},
		{
			name:     "drained",
			faults:   "[[fault]]\nkind = \"backend-drain\"\nat = \"500ms\"\nduration = \"1s\"\ntargets = [0]\n",
			minShare: 0.97,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run := playSmallScenario(t, "source = \"dns\"\n"+test.faults, "backends.count=6")
			if w := run.Withdrawals; test.checksWithdrawals && (w == nil || w.Max > 1000) {
				t.Errorf("%+v: an attempt more than a second after a withdrawal", w)
			}
			if !succeededAtLeast(test.minShare)(run.Total) || run.DNSUpdates == 0 {
				t.Errorf("%+v, %d updates", run.Total, run.DNSUpdates)
			}
			t.Logf("%d updates, %+v, %d of %d succeeded",
				run.DNSUpdates, run.Withdrawals, run.Total.Succeeded, run.Total.Requests)
		})
	}
}

// A gateway that exits before it answers, cannot be started, or crashes makes the run return an error that quotes the
// end of its log, if it has written any.
func TestRun_ReportsFailingGateways(t *testing.T) {
	s, err := scenario.Parse("small", []byte(smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	exitingCommand := []string{"/bin/sh", "-c", "echo startup failed; exit 3"}
	_, err = Run(t.Context(), s, Options{GatewayCommand: exitingCommand})
	if err == nil || !strings.Contains(err.Error(), "gateway 0 exited before it answered a PING: startup failed") {
		t.Error(err)
	}
	_, err = Run(t.Context(), s, Options{GatewayCommand: []string{filepath.Join(t.TempDir(), "none")}})
	if err == nil || !strings.Contains(err.Error(), "gateway 0") {
		t.Error(err)
	}
	crashingCommand := []string{"/bin/sh", "-c", `exec timeout -s KILL 1.5 "$0" "$@"`, program}
	run, err := Run(t.Context(), s, Options{GatewayCommand: crashingCommand})
	if err == nil || !strings.Contains(err.Error(), "crashed") {
		t.Error(err)
	}
	if run == nil {
		t.Error("a run with a crash returned no results")
	}
}
