// Package record turns what was seen in a run into its results: rows a second, latencies in an HDR histogram
// (Tene's), quotas against the stores as one honest counter would keep them, and the findings of the rules. A run
// is written as JSON and read back for reports. The package runs nothing and holds no clock.
package results

import (
	"encoding/json"
	"fmt"
	"math"
	"os"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// OnClients is where a run was played of which only the clients' side was seen: no shots, calls or quotas.
const OnClients = "clients"

// Version is of the form of a run's file; another one is refused.
const Version = 1

// Row is one second of a run. Latencies are milliseconds, from when a try was due to its answer's last byte.
type Row struct {
	Second          int     `json:"second"`
	Submitted       int     `json:"asked"`
	Succeeded       int     `json:"fulfilled"`
	Late            int     `json:"late"` // of the fulfilled, after the promised time
	Rejected        int     `json:"dismissed"`
	Aborted         int     `json:"broken_off"`
	Abandoned       int     `json:"left"`
	NotSent         int     `json:"unsent"` // no door took it
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	Attempts        int     `json:"shots"`
	AttemptsRefused int     `json:"turned_away"`
	CounterCalls    int     `json:"counter_calls"`
	CounterFailures int     `json:"counter_failed"`
	OpenBreakers    int     `json:"breakers_open"` // doors whose breaker is open, or that called nothing
	UnitsOver       float64 `json:"units_over"`    // units sent on that an honest counter would have turned away
	UnitsInside     float64 `json:"units_inside"`  // units sent on within the quota
	UnitsExact      float64 `json:"units_honest"`  // units that an honest counter would have let in of the same tries
	DriftOver       float64 `json:"drift_over"`    // units that customers have had beyond those since the start, by now
	DriftUnder      float64 `json:"drift_under"`   // units that others have had less
}

// Total is a run's sums. Row has no tag: its fields stand among the others in the file, and a name would nest them.
type Total struct {
	Row
	Requests int     `json:"transactions"` // tries but for clients' repeats
	P90      float64 `json:"p90_ms"`
	P999     float64 `json:"p999_ms"`
	Max      float64 `json:"max_ms"`
}

// Point is a percentile of the answers' latencies.
type Point struct {
	Percent float64 `json:"percent"`
	Ms      float64 `json:"ms"`
}

// Run is the results of one run. The same scenario on the model gives the same bytes.
type Run struct {
	Version          int                  `json:"version"`
	Scenario         string               `json:"scenario"`
	About            string               `json:"about"`
	On               string               `json:"on"`
	Label            string               `json:"label,omitempty"`
	Seed             uint64               `json:"seed"`
	Instances        int                  `json:"doors"`
	Backends         int                  `json:"backends"`
	Rate             float64              `json:"rate"`
	LatencyObjective float64              `json:"promised_ms"` // of the first profile
	Events           uint64               `json:"events"`
	LagP50           float64              `json:"tool_lag_p50_ms"` // the load tool's own part of the latencies; 0 on the model
	LagP99           float64              `json:"tool_lag_p99_ms"`
	Total            Total                `json:"total"`
	Latency          []Point              `json:"latency"`
	RulesBroken      map[string]int       `json:"rules_broken"`
	Findings         []invariants.Finding `json:"findings"`
	Withdrawals      *Withdrawals         `json:"withdrawals,omitempty"` // nil: nothing was withdrawn
	DNSUpdates       int                  `json:"dns_updates,omitempty"` // answered by front doors
	Faults           []FaultSpan          `json:"faults"`
	Rows             []Row                `json:"rows"`
}

// Withdrawals are how long after a door began to be told that a backend is gone its last new shot came there: 0
// where none did.
type Withdrawals struct {
	Count       int     `json:"count"` // a door each
	WithAttempt int     `json:"with_shot"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	Max         float64 `json:"max_ms"`
}

// FaultSpan is when a fault held, in seconds, for plots.
type FaultSpan struct {
	Kind  string  `json:"kind"`
	From  float64 `json:"from_s"`
	Until float64 `json:"until_s"`
}

type open struct {
	invariants.Event
	arrived bool
}

// store is a customer's quota as one honest counter would keep it. left is drawn by what the doors sent on; ideal by
// what such a counter would have let in of the same tries, which need not be the same ones.
type store struct {
	left, ideal  float64
	at           int64
	sent, honest float64 // units since the start
}

// Recorder takes events in order of time, in nanoseconds since the run's start.
type Recorder struct {
	s       *scenario.Scenario
	checker *invariants.Checker
	run     *Run
	row     Row
	second  *hdrhistogram.Histogram
	all     *hdrhistogram.Histogram
	tries   map[invariants.SubmissionID]*open
	stores  map[int]*store
	gone    map[way]*last // withdrawn backends, as a door knows them
	lasts   *hdrhistogram.Histogram
}

// way leads from a door to a backend.
type way struct{ door, backend int }

// last is when a door was told, and how long after that its last shot came.
type last struct {
	told  int64
	after int64
}

// New makes a recorder for a scenario. slack is what the ways between the parties may take where only ends are
// seen; ceilings and profiles are read from the terms, which front doors go by too.
func New(s *scenario.Scenario, terms policy.Settings, slack int64) *Recorder {
	t := invariants.Settings{Classes: terms.Classes, Plans: terms.Plans, GraceNanos: int64(s.Rules.Grace), DrainNanos: int64(s.Rules.Drain),
		SlackNanos: slack, Cores: float64(s.Backends.Cores), InitialCapacity: s.Rules.InitialCapacity, SlowStartNanos: int64(s.Rules.SlowStart),
		CollapseMultiple: s.Rules.CollapseMultiple, CollapseWindowNanos: int64(s.Rules.CollapseWindow),
		Zone: func(b int) int { return b % s.Backends.Zones }, Group: func(b int) int { return b % s.Backends.Groups }}
	for _, p := range s.Plans {
		t.HardQuotaSlack = append(t.HardQuotaSlack, p.HardQuotaSlack)
	}
	r := &Recorder{s: s, checker: invariants.New(t), tries: map[invariants.SubmissionID]*open{}, stores: map[int]*store{},
		second: histogram(), all: histogram(), lasts: histogram(), gone: map[way]*last{},
		run: &Run{Version: Version, Scenario: s.Name, About: s.About, On: s.On, Seed: s.Seed, Instances: s.Instances.Count,
			Backends: s.Backends.Count, Rate: s.Load.Rate, LatencyObjective: float64(s.Classes[0].LatencyObjective) / 1e6}}
	for _, f := range s.Faults {
		// Staggered faults last until the last one's end.
		last := f.At + f.Duration + f.Stagger*scenario.Span(max(len(s.Targets(f))-1, 0))
		r.run.Faults = append(r.run.Faults, FaultSpan{string(f.Kind), float64(f.At) / 1e9, float64(last) / 1e9})
	}
	return r
}

// histogram holds microseconds up to two minutes, to three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120e6, 3) }

// turn goes on to the second of the time at.
func (r *Recorder) turn(at int64) {
	for int64(r.row.Second+1)*1e9 <= at {
		r.close()
	}
}

func (r *Recorder) close() {
	if r.second.TotalCount() > 0 {
		r.row.P50 = float64(r.second.ValueAtQuantile(50)) / 1e3
		r.row.P99 = float64(r.second.ValueAtQuantile(99)) / 1e3
		r.second.Reset()
	}
	for _, s := range r.stores {
		r.row.DriftOver += math.Max(math.Round(s.sent-s.honest), 0)
		r.row.DriftUnder += math.Max(math.Round(s.honest-s.sent), 0)
	}
	r.run.Rows = append(r.run.Rows, r.row)
	r.row = Row{Second: r.row.Second + 1}
}

// Observe takes the next event.
func (r *Recorder) Observe(e invariants.Event) {
	r.turn(e.AtNanos)
	r.checker.Observe(e)
	t := r.tries[e.Submission]
	switch e.Kind {
	case invariants.EndpointDelivered:
		k := way{e.Instance, e.Backend}
		r.settle(k)
		if e.State == policy.EndpointGone {
			r.gone[k] = &last{told: e.AtNanos}
		}
		return
	case invariants.Submitted:
		r.tries[e.Submission] = &open{Event: e}
		r.ask(e)
		if r.row.Submitted++; !e.IsRetry {
			r.run.Total.Requests++
		}
		return
	case invariants.AttemptRefused:
		r.row.AttemptsRefused++
		return
	case invariants.AttemptArrived:
		r.row.Attempts++
		if x := r.gone[way{e.Instance, e.Backend}]; x != nil {
			x.after = max(e.AtNanos-x.told, 1e3)
		}
	}
	if t == nil {
		return
	}
	switch e.Kind {
	case invariants.AttemptArrived:
		if !t.arrived {
			t.arrived = true
			r.draw(e.AtNanos, t)
		}
		return
	case invariants.Succeeded:
		took := max(e.AtNanos-t.DueNanos, 0)
		r.second.RecordValue(max(min(took/1e3, 120e6), 1))
		r.all.RecordValue(max(min(took/1e3, 120e6), 1))
		r.row.Succeeded++
		if took > int64(r.s.Classes[t.Class].LatencyObjective) {
			r.row.Late++
		}
	case invariants.Rejected:
		r.row.Rejected++
	case invariants.Aborted:
		r.row.Aborted++
	case invariants.Abandoned:
		r.row.Abandoned++
	default:
		return
	}
	delete(r.tries, e.Submission)
}

// settle notes how a withdrawal ended, once the backend is back or the run over.
func (r *Recorder) settle(k way) {
	x := r.gone[k]
	if x == nil {
		return
	}
	delete(r.gone, k)
	if r.run.Withdrawals == nil {
		r.run.Withdrawals = &Withdrawals{}
	}
	r.run.Withdrawals.Count++
	if x.after > 0 {
		r.run.Withdrawals.WithAttempt++
	}
	r.lasts.RecordValue(min(x.after/1e3, 120e6))
}

// CountDNSUpdate counts an update that a front door answered.
func (r *Recorder) CountDNSUpdate() { r.run.DNSUpdates++ }

// fill reckons the customer's store as one honest counter would keep it: it starts full, and refills at the rate.
func (r *Recorder) fill(at int64, e invariants.Event) *store {
	plan := r.s.Plans[e.Plan]
	if plan.Rate <= 0 {
		return nil
	}
	s := r.stores[e.Tenant]
	if s == nil {
		s = &store{left: plan.Burst, ideal: plan.Burst, at: at}
		r.stores[e.Tenant] = s
	}
	refilled := float64(at-s.at) / 1e9 * plan.Rate
	s.left, s.ideal, s.at = min(s.left+refilled, plan.Burst), min(s.ideal+refilled, plan.Burst), at
	return s
}

// ask lets the honest counter decide a try.
func (r *Recorder) ask(e invariants.Event) {
	if s := r.fill(e.AtNanos, e); s != nil && s.ideal >= e.Units {
		s.ideal -= e.Units
		s.honest += e.Units
		r.row.UnitsExact += e.Units
	}
}

// draw takes in that a door sent a try on.
func (r *Recorder) draw(at int64, t *open) {
	s := r.fill(at, t.Event)
	if s == nil {
		return
	}
	s.sent += t.Units
	if s.left >= t.Units {
		s.left -= t.Units
		r.row.UnitsInside += t.Units
	} else {
		r.row.UnitsOver += t.Units
	}
}

// CountNotSent counts a transaction that no door took.
func (r *Recorder) CountNotSent(at int64) { r.turn(at); r.row.NotSent++ }

// CountCounterCall counts a call that came to the counter, or failed to.
func (r *Recorder) CountCounterCall(at int64, failed bool) {
	r.turn(at)
	if r.row.CounterCalls++; failed {
		r.row.CounterFailures++
	}
}

// SetOpenBreakers notes how many doors have their breaker open.
func (r *Recorder) SetOpenBreakers(at int64, doors int) { r.turn(at); r.row.OpenBreakers = doors }

// Finish ends the run at the time at, and gives its results.
func (r *Recorder) Finish(at int64, events uint64) *Run {
	r.turn(at)
	r.close()
	run := r.run
	run.Events = events
	run.Findings, run.RulesBroken = r.checker.End(at)
	for k := range r.gone {
		r.settle(k)
	}
	if w := run.Withdrawals; w != nil {
		ms := func(q float64) float64 { return float64(r.lasts.ValueAtQuantile(q)) / 1e3 }
		w.P50, w.P99, w.Max = ms(50), ms(99), ms(100)
	}
	total := &run.Total
	for _, x := range run.Rows {
		total.Submitted += x.Submitted
		total.Succeeded += x.Succeeded
		total.Late += x.Late
		total.Rejected += x.Rejected
		total.Aborted += x.Aborted
		total.Abandoned += x.Abandoned
		total.NotSent += x.NotSent
		total.Attempts += x.Attempts
		total.AttemptsRefused += x.AttemptsRefused
		total.CounterCalls += x.CounterCalls
		total.CounterFailures += x.CounterFailures
		total.UnitsOver += x.UnitsOver
		total.UnitsInside += x.UnitsInside
		total.UnitsExact += x.UnitsExact
		total.DriftOver, total.DriftUnder = x.DriftOver, x.DriftUnder // as they stand at the end
		total.OpenBreakers = max(total.OpenBreakers, x.OpenBreakers)
	}
	total.Second = len(run.Rows)
	at99 := func(q float64) float64 { return float64(r.all.ValueAtQuantile(q)) / 1e3 }
	if r.all.TotalCount() > 0 {
		total.P50, total.P90, total.P99, total.P999, total.Max = at99(50), at99(90), at99(99), at99(99.9), float64(r.all.Max())/1e3
		for _, b := range r.all.CumulativeDistribution() {
			if b.Count > 0 && (len(run.Latency) == 0 || b.Quantile > run.Latency[len(run.Latency)-1].Percent) {
				run.Latency = append(run.Latency, Point{b.Quantile, float64(b.ValueAt) / 1e3})
			}
		}
	}
	return run
}

// Violations is how often rules were broken, all told.
func (r *Run) Violations() int {
	n := 0
	for _, x := range r.RulesBroken {
		n += x
	}
	return n
}

// Drift is how many units customers had beyond those that an honest counter would have let in, and how many others
// had less, both as shares of what it would have let in by the end.
func (r *Run) Drift() (over, under float64) {
	all := math.Max(r.Total.UnitsExact, 1)
	return r.Total.DriftOver / all, r.Total.DriftUnder / all
}

// Bytes is the run's file.
func (r *Run) Bytes() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", " ")
	return append(text, '\n'), err
}

// Write writes the run to a file.
func (r *Run) Write(path string) error {
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Read reads a run from its file.
func Read(path string) (*Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Run
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: no run: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("%s: a run of form %d, where %d is read", path, r.Version, Version)
	}
	if len(r.Rows) == 0 {
		return nil, fmt.Errorf("%s: a run without rows", path)
	}
	return &r, nil
}
