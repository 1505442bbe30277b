// Package results turns what was seen in a run into its results: one row per second, latencies in an HDR
// histogram, quotas compared with those of an exact counter, and the findings of the invariants. A run is
// written as JSON and read back for reports. The package runs nothing.
//
// A Recorder is not safe for concurrent use; a Log, which connects one to the wall clock, is.
package results

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"fawnplank/internal/lab/invariants"
)

// EnvironmentClients says where a run was played that was seen only from the clients' side: it has no attempts,
// counter calls or quotas.
const EnvironmentClients = "clients"

// Version is the version of the file format of runs. Files of another version are refused.
const Version = 1

// Row is one second of a run. Latencies are milliseconds, from when a submission was due to the last byte of
// its answer; percentiles are those of the successes. Units are compared with those of an exact counter, which
// decides on the same submissions by the quota alone.
type Row struct {
	Second           int     `json:"second"` // from 0 on; in a total, their number
	Submitted        int     `json:"asked"`  // retries included
	Succeeded        int     `json:"fulfilled"`
	Late             int     `json:"late"` // succeeded after the latency objective
	Rejected         int     `json:"dismissed"`
	Aborted          int     `json:"broken_off"`
	Abandoned        int     `json:"left"`   // the client gave up, or its instance died
	NotSent          int     `json:"unsent"` // no instance accepted the connection
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	Attempts         int     `json:"shots"`       // that arrived at backends
	AttemptsRefused  int     `json:"turned_away"` // by backends that had not run them
	CounterCalls     int     `json:"counter_calls"`
	CounterFailures  int     `json:"counter_failed"` // of the calls
	OpenBreakers     int     `json:"breakers_open"`  // instances with an open breaker, or that called nothing
	UnitsOverQuota   float64 `json:"units_over"`     // sent on; an exact counter would have rejected them
	UnitsWithinQuota float64 `json:"units_inside"`   // sent on within the quota
	UnitsExact       float64 `json:"units_honest"`   // units that an exact counter would have admitted
	DriftOver        float64 `json:"drift_over"`     // units that tenants had too many since the start
	DriftUnder       float64 `json:"drift_under"`    // units that other tenants had too few since the start
}

// Total is the sums of a run, and percentiles in milliseconds over all of it. The field Row has no tag, so that
// its fields are among the others in the file: a name would nest them.
type Total struct {
	Row
	Requests int     `json:"transactions"` // submissions without clients' retries
	P90      float64 `json:"p90_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
}

// LatencyPercentile is a percentile of the latencies of successes.
type LatencyPercentile struct {
	Percent float64 `json:"percent"` // from 0 to 100
	Millis  float64 `json:"ms"`
}

// Run is the results of one run. The same scenario on the model always gives the same bytes.
type Run struct {
	Version          int                  `json:"version"` // of the format
	Scenario         string               `json:"scenario"`
	Description      string               `json:"about"`
	Environment      string               `json:"on"`              // EnvironmentClients, or one of package scenario
	Label            string               `json:"label,omitempty"` // what the user calls the run
	Seed             uint64               `json:"seed"`
	Instances        int                  `json:"doors"`
	Backends         int                  `json:"backends"`
	Rate             float64              `json:"rate"`            // requests per second, of the scenario
	LatencyObjective float64              `json:"promised_ms"`     // of the first class
	Events           uint64               `json:"events"`          // that were handled
	LagP50           float64              `json:"tool_lag_p50_ms"` // of the load tool itself; 0 on the model
	LagP99           float64              `json:"tool_lag_p99_ms"`
	Total            Total                `json:"total"`
	Latency          []LatencyPercentile  `json:"latency"`
	RulesBroken      map[string]int       `json:"rules_broken"` // how often, by the number of the rule
	Findings         []invariants.Finding `json:"findings"`
	Withdrawals      *Withdrawals         `json:"withdrawals,omitempty"` // nil: no backend was removed
	DNSUpdates       int                  `json:"dns_updates,omitempty"` // answered by gateways
	Faults           []FaultSpan          `json:"faults"`
	Rows             []Row                `json:"rows"` // by second
}

// Withdrawals says how long after a backend was delivered to an instance as gone the last attempt from there
// arrived, in milliseconds; 0 if none did.
type Withdrawals struct {
	Count           int     `json:"count"`     // one for each instance
	WithLateAttempt int     `json:"with_shot"` // those after which an attempt arrived
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	Max             float64 `json:"max_ms"`
}

// FaultSpan says when a fault was in force, in seconds, for plots.
type FaultSpan struct {
	Kind  string  `json:"kind"` // by its first name, where scenarios have renamed it
	From  float64 `json:"from_s"`
	Until float64 `json:"until_s"`
}

// add adds a second to the sums. Figures that count from the run's start are replaced by their latest value.
func (t *Total) add(row Row) {
	t.Submitted += row.Submitted
	t.Succeeded += row.Succeeded
	t.Late += row.Late
	t.Rejected += row.Rejected
	t.Aborted += row.Aborted
	t.Abandoned += row.Abandoned
	t.NotSent += row.NotSent
	t.Attempts += row.Attempts
	t.AttemptsRefused += row.AttemptsRefused
	t.CounterCalls += row.CounterCalls
	t.CounterFailures += row.CounterFailures
	t.UnitsOverQuota += row.UnitsOverQuota
	t.UnitsWithinQuota += row.UnitsWithinQuota
	t.UnitsExact += row.UnitsExact
	t.DriftOver = row.DriftOver
	t.DriftUnder = row.DriftUnder
	t.OpenBreakers = max(t.OpenBreakers, row.OpenBreakers)
}

// Violations returns how often rules were broken in all.
func (r *Run) Violations() int {
	total := 0
	for _, count := range r.RulesBroken {
		total += count
	}
	return total
}

// Drift returns how many units tenants had beyond those that an exact counter would have admitted, and how
// many other tenants had less, both as shares of what it would have admitted by the end.
func (r *Run) Drift() (over, under float64) {
	exact := math.Max(r.Total.UnitsExact, 1)
	return r.Total.DriftOver / exact, r.Total.DriftUnder / exact
}

// Bytes returns the text of the run's file.
func (r *Run) Bytes() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", " ")
	return append(text, '\n'), err
}

// Write writes the run to a file, over one that is there.
func (r *Run) Write(path string) error {
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Read reads a run from its file. It returns an error that names the file if the file cannot be read, is no
// run, is of another version, or has no rows.
func Read(path string) (*Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var run Run
	if err := json.Unmarshal(text, &run); err != nil {
		return nil, fmt.Errorf("%s: no run: %w", path, err)
	}
	if run.Version != Version {
		return nil, fmt.Errorf("%s: a run of form %d, where %d is read: run the scenario again",
			path, run.Version, Version)
	}
	if len(run.Rows) == 0 {
		return nil, fmt.Errorf("%s: a run without rows: run the scenario again", path)
	}
	return &run, nil
}
