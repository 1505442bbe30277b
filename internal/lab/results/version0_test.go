package results_test

import (
	"bytes"
	"os"
	"testing"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/model"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/internal/testutil"
)

const version0Scenario = `name = "version-0"
about = "a backend is withdrawn while the counter is away"
seed = 7
duration = "6s"
[doors]
count = 2
[backends]
count = 3
cores = 1
work = "40ms"
queue = 3
[load]
rate = 200
customers = 10
retries = 1
[[profile]]
name = "calc"
effect = "reissuable"
promised = "200ms"
hard_limit = "400ms"
late_utility = 0.5
share = 1
[[plan]]
name = "despacho"
rate = 12
burst = 20
[[fault]]
kind = "counter-refuse"
at = "2s"
for = "2s"
[[fault]]
kind = "backend-withdraw"
who = [1]
at = "1s"
for = "3s"
[[fault]]
kind = "door-restart"
who = [0]
at = "3s"
for = "1s"
[[fault]]
kind = "backend-slow"
who = [0]
at = "4s"
for = "1s"
factor = 10
`

// exampleFinding is the finding in the fixture.
var exampleFinding = invariants.Finding{Rule: 3, At: monotime.FromNanos(2_500_000_000), Description: "an example"}

// version0Run returns the path of the fixture, a results file written by an earlier version of the package.
func version0Run(t *testing.T) string {
	t.Helper()
	return testutil.Fixture(t, "run.json", func(path string) {
		s, err := scenario.Parse("version-0", []byte(version0Scenario))
		if err != nil {
			t.Fatal(err)
		}
		r, err := model.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		r.Label, r.DNSUpdates, r.LagP50, r.LagP99 = "before", 4, 0.25, 1.5
		r.Findings = append(r.Findings, exampleFinding)
		r.RulesBroken["3"]++
		r.Total.Aborted, r.Total.OpenBreakers, r.Total.UnitsOverQuota, r.Total.DriftOver = 2, 3, 6.5, 8.25
		r.Withdrawals = &results.Withdrawals{Count: 2, WithLateAttempt: 1, P50: 3.5, P99: 4.5, Max: 5}
		if err := r.Write(path); err != nil {
			t.Fatal(err)
		}
	})
}

// TestRead_ReadsVersion0Run checks that a stored run of the earlier version is read with all its values, and that
// writing it again gives the same bytes. The model produced the fixture's rows. Label, updates, lag and a finding,
// which the model does not produce, were added so that every field is present.
func TestRead_ReadsVersion0Run(t *testing.T) {
	path := version0Run(t)
	r, err := results.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	const about = "a backend is withdrawn while the counter is away"
	if r.Scenario != "version-0" || r.Description != about || r.Environment != "model" || r.Label != "before" ||
		r.Seed != 7 || r.Instances != 2 || r.Backends != 3 || r.Rate != 200 || r.LatencyObjective != 200 ||
		r.Events != 11159 || r.DNSUpdates != 4 || r.LagP50 != 0.25 || r.LagP99 != 1.5 {
		t.Errorf("fields other than rows and totals: %+v", r)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := r.Bytes(); err != nil || !bytes.Equal(again, text) {
		t.Errorf("written again (error %v): %d bytes, which differ from the fixture's %d", err, len(again), len(text))
	}
	total := results.Total{Row: results.Row{
		Second: 8, Submitted: 2181, Succeeded: 170, Late: 5, Rejected: 2007, Aborted: 2, Abandoned: 4,
		NotSent: 15, P50: 64.479, P99: 230.271, Attempts: 181, AttemptsRefused: 1, CounterCalls: 236,
		CounterFailures: 10, OpenBreakers: 3, UnitsOverQuota: 6.5, UnitsWithinQuota: 179, UnitsExact: 904,
		DriftOver: 8.25, DriftUnder: 725}, Requests: 1085, P90: 138.879, P999: 376.063, Max: 376.063}
	if r.Total != total {
		t.Errorf("total %+v, not %+v", r.Total, total)
	}
	row := results.Row{
		Second: 3, Submitted: 312, Succeeded: 1, Rejected: 312, Abandoned: 4, NotSent: 15,
		P50: 62.879, P99: 62.879, Attempts: 1, OpenBreakers: 1,
		UnitsWithinQuota: 1, UnitsExact: 123, DriftUnder: 541}
	if len(r.Rows) != 8 || r.Rows[3] != row {
		t.Errorf("row 3 of %d: %+v", len(r.Rows), r.Rows[3])
	}
	withdrawals := results.Withdrawals{Count: 2, WithLateAttempt: 1, P50: 3.5, P99: 4.5, Max: 5}
	if r.Withdrawals == nil || *r.Withdrawals != withdrawals {
		t.Errorf("withdrawals %+v", r.Withdrawals)
	}
	if len(r.Findings) != 1 || r.Findings[0] != exampleFinding || r.Violations() != 1 {
		t.Errorf("findings %+v, broken %v", r.Findings, r.RulesBroken)
	}
	if want := (results.LatencyPercentile{Percent: 50, Millis: 64.479}); len(r.Latency) < 2 || r.Latency[1] != want {
		t.Errorf("latency %+v", r.Latency)
	}
	fault := results.FaultSpan{Kind: "backend-withdraw", From: 1, Until: 4}
	if len(r.Faults) != 4 || r.Faults[1] != fault {
		t.Errorf("faults %+v", r.Faults)
	}
}

// TestStoredTypes_HaveTags checks that every stored field has a JSON tag, so that renaming a Go field does not
// change the file format.
func TestStoredTypes_HaveTags(t *testing.T) {
	testutil.CheckJSONTags(t, results.Run{})
}

// TestNew_StoresFaultKindsUnderOriginalNames checks that results files keep the original name of a kind of fault
// that scenario files have renamed.
func TestNew_StoresFaultKindsUnderOriginalNames(t *testing.T) {
	s, err := scenario.Parse("version-0", []byte(version0Scenario))
	if err != nil {
		t.Fatal(err)
	}
	r, err := model.Run(s)
	if err != nil {
		t.Fatal(err)
	}
	fault := results.FaultSpan{Kind: "door-restart", From: 3, Until: 4}
	if len(r.Faults) != 4 || r.Faults[2] != fault {
		t.Errorf("faults %+v", r.Faults)
	}
}
