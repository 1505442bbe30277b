// Package results computes the results of a run from its events: one row per second, latency percentiles, a
// comparison of admitted units with those of an exact counter, and the findings of the invariants. Runs are stored
// as JSON files, which reports read. The package does not execute runs.
//
// A Recorder is not safe for concurrent use. An EventLog, which records events with the wall-clock time, is.
package results

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"fawnplank/internal/lab/invariants"
)

// EnvironmentClients is the environment of a run that was observed only at the clients. Such a run has no data on
// attempts, counter calls or quotas.
const EnvironmentClients = "clients"

// Version is the version of the file format of runs. Read rejects files of other versions.
const Version = 1

// Row holds the figures of one second of a run. Latencies are in milliseconds, from the scheduled time of a
// submission to the last byte of its answer; percentiles are those of successful submissions. Units are compared
// with those of an exact counter, which decides on the same submissions by the quota alone.
type Row struct {
	Second           int     `json:"second"` // counted from 0; in a Total: the number of rows
	Submitted        int     `json:"asked"`  // retries included
	Succeeded        int     `json:"fulfilled"`
	Late             int     `json:"late"` // succeeded after the latency objective
	Rejected         int     `json:"dismissed"`
	Aborted          int     `json:"broken_off"`
	Abandoned        int     `json:"left"`   // the client gave up, or its instance died
	NotSent          int     `json:"unsent"` // no instance accepted the connection
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	Attempts         int     `json:"shots"`       // attempts that arrived at backends
	AttemptsRefused  int     `json:"turned_away"` // attempts refused by backends, which did not run them
	CounterCalls     int     `json:"counter_calls"`
	CounterFailures  int     `json:"counter_failed"` // failed calls
	OpenBreakers     int     `json:"breakers_open"`  // instances with an open breaker, or that made no calls
	UnitsOverQuota   float64 `json:"units_over"`     // forwarded units beyond the quota
	UnitsWithinQuota float64 `json:"units_inside"`   // forwarded units within the quota
	UnitsExact       float64 `json:"units_honest"`   // units that an exact counter would have admitted
	DriftOver        float64 `json:"drift_over"`     // units that tenants got in excess since the start
	DriftUnder       float64 `json:"drift_under"`    // units that other tenants missed since the start
}

// Total holds the sums and the latency percentiles, in milliseconds, of a whole run. The embedded Row has no JSON
// tag, because a tag would nest its fields in an object of their own in the file.
type Total struct {
	Row
	Requests int     `json:"transactions"` // submissions without the clients' retries
	P90      float64 `json:"p90_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
}

// LatencyPercentile is a percentile of the latencies of successful submissions.
type LatencyPercentile struct {
	Percent float64 `json:"percent"` // from 0 to 100
	Millis  float64 `json:"ms"`
}

// Run holds the results of one run. Runs of the same scenario in the model always give the same bytes.
type Run struct {
	Version          int                  `json:"version"` // of the file format
	Scenario         string               `json:"scenario"`
	Description      string               `json:"about"`
	Environment      string               `json:"on"`              // EnvironmentClients, or one of package scenario
	Label            string               `json:"label,omitempty"` // the user's name for the run
	Seed             uint64               `json:"seed"`
	Instances        int                  `json:"doors"`
	Backends         int                  `json:"backends"`
	Rate             float64              `json:"rate"`            // requests per second, of the scenario
	LatencyObjective float64              `json:"promised_ms"`     // of the first class
	Events           uint64               `json:"events"`          // number of events processed
	LagP50           float64              `json:"tool_lag_p50_ms"` // delay of the load tool itself; 0 in the model
	LagP99           float64              `json:"tool_lag_p99_ms"`
	Total            Total                `json:"total"`
	Latency          []LatencyPercentile  `json:"latency"`
	RulesBroken      map[string]int       `json:"rules_broken"` // number of violations by the number of the rule
	Findings         []invariants.Finding `json:"findings"`
	Withdrawals      *Withdrawals         `json:"withdrawals,omitempty"` // nil: no backend was removed
	DNSUpdates       int                  `json:"dns_updates,omitempty"` // answered by gateways
	Faults           []FaultSpan          `json:"faults"`
	Rows             []Row                `json:"rows"` // one per second, in order
}

// Withdrawals holds the distribution of the times, in milliseconds, from the delivery of a backend's removal to an
// instance until the last attempt from that instance arrived at the backend. The time is 0 if no attempt arrived.
type Withdrawals struct {
	Count           int     `json:"count"`     // pairs of a removal and an instance
	WithLateAttempt int     `json:"with_shot"` // withdrawals after which an attempt arrived
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	Max             float64 `json:"max_ms"`
}

// FaultSpan is the time during which a fault was active, in seconds from the run's start. Plots show it.
type FaultSpan struct {
	Kind  string  `json:"kind"` // the original name if scenario files have renamed the kind
	From  float64 `json:"from_s"`
	Until float64 `json:"until_s"`
}

// add adds the figures of a row to the totals. Drift figures, which are cumulative, take the value of the row.
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

// Violations returns the number of violations of all rules.
func (r *Run) Violations() int {
	total := 0
	for _, count := range r.RulesBroken {
		total += count
	}
	return total
}

// Drift returns the units that tenants got in excess of what an exact counter would have admitted, and the units
// that other tenants missed, both as shares of all units that the exact counter would have admitted in the run.
func (r *Run) Drift() (over, under float64) {
	exact := math.Max(r.Total.UnitsExact, 1)
	return r.Total.DriftOver / exact, r.Total.DriftUnder / exact
}

// Bytes returns the content of the run's file.
func (r *Run) Bytes() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", " ")
	return append(text, '\n'), err
}

// Write writes the run to a file and overwrites an existing one.
func (r *Run) Write(path string) error {
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Read reads a run from its file. It returns an error that names the file if the file cannot be read, does not
// contain a run, has another version, or has no rows.
func Read(path string) (*Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var run Run
	if err := json.Unmarshal(text, &run); err != nil {
		return nil, fmt.Errorf("%s: not a results file: %w", path, err)
	}
	if run.Version != Version {
		return nil, fmt.Errorf("%s: file format version %d is not supported, only %d: run the scenario again",
			path, run.Version, Version)
	}
	if len(run.Rows) == 0 {
		return nil, fmt.Errorf("%s: the run has no rows: run the scenario again", path)
	}
	return &run, nil
}
