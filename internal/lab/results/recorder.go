package results

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// pending is a submission that has neither been answered nor abandoned.
type pending struct {
	invariants.Event
	hasArrived bool // an attempt of it has arrived at a backend
}

// Recorder computes a run's results from events that it observes in order of time. Instants count from the run's
// start.
type Recorder struct {
	scenario        *scenario.Scenario
	checker         *invariants.Checker
	run             *Run
	row             Row
	rowLatency      histogram // latencies of successful submissions in the current row
	latency         histogram // latencies of successful submissions in the run
	pending         map[invariants.SubmissionID]*pending
	quotas          map[int]*exactQuota // by tenant
	withdrawals     map[invariants.Route]*withdrawal
	withdrawalTimes histogram
}

// New returns a recorder for a scenario. settings are the gateways' settings, which define classes and plans. slack
// is the allowance for the transit time of a message of which only the sending or the arrival is observed.
func New(s *scenario.Scenario, settings policy.Settings, slack time.Duration) *Recorder {
	return &Recorder{
		scenario:        s,
		checker:         invariants.New(checkerSettings(s, settings, slack)),
		run:             newRun(s),
		rowLatency:      newHistogram(),
		latency:         newHistogram(),
		pending:         map[invariants.SubmissionID]*pending{},
		quotas:          map[int]*exactQuota{},
		withdrawals:     map[invariants.Route]*withdrawal{},
		withdrawalTimes: newHistogram(),
	}
}

func checkerSettings(s *scenario.Scenario, settings policy.Settings, slack time.Duration) invariants.Settings {
	rules := invariants.Settings{
		Classes:           settings.Classes,
		Plans:             settings.Plans,
		AnswerGrace:       time.Duration(s.Rules.DeadlineGrace),
		DrainGrace:        time.Duration(s.Rules.DrainGrace),
		TransitSlack:      slack,
		Cores:             float64(s.Backends.Cores),
		SlowStartShare:    s.Rules.SlowStartShare,
		SlowStartDuration: time.Duration(s.Rules.SlowStartDuration),
		OverloadMultiple:  s.Rules.OverloadMultiple,
		OverloadWindow:    time.Duration(s.Rules.OverloadWindow),
		Zone:              func(backend int) int { return backend % s.Backends.Zones },
		Group:             func(backend int) int { return backend % s.Backends.Groups },
	}
	for _, plan := range s.Plans {
		rules.HardQuotaSlack = append(rules.HardQuotaSlack, plan.HardQuotaSlack)
	}
	return rules
}

func newRun(s *scenario.Scenario) *Run {
	run := &Run{
		Version:          Version,
		Scenario:         s.Name,
		Description:      s.Description,
		Environment:      s.Environment,
		Seed:             s.Seed,
		Instances:        s.Instances.Count,
		Backends:         s.Backends.Count,
		Rate:             s.Load.Rate,
		LatencyObjective: float64(s.Classes[0].LatencyObjective) / 1e6,
	}
	for _, fault := range s.Faults {
		run.Faults = append(run.Faults, newFaultSpan(s, fault))
	}
	return run
}

// newFaultSpan returns the time from the start of a fault at its first target to the end at its last target.
func newFaultSpan(s *scenario.Scenario, fault scenario.Fault) FaultSpan {
	occurrences := s.Occurrences(fault)
	return FaultSpan{
		Kind:  faultKindInFile(fault.Kind),
		From:  monotime.Seconds(occurrences[0].Begin),
		Until: monotime.Seconds(occurrences[len(occurrences)-1].End),
	}
}

// faultKindInFile returns the name of a kind of fault in results files. These keep the original names of kinds that
// have been renamed in scenario files.
func faultKindInFile(kind scenario.FaultKind) string {
	if kind == scenario.InstanceRestart {
		return "door-restart"
	}
	return string(kind)
}

// closeRowsBefore closes the rows of all seconds that end at or before the given time.
func (r *Recorder) closeRowsBefore(at monotime.Instant) {
	for at.Sub(monotime.Instant{}) >= time.Duration(r.row.Second+1)*time.Second {
		r.closeRow()
	}
}

func (r *Recorder) closeRow() {
	if r.rowLatency.TotalCount() > 0 {
		r.row.P50 = r.rowLatency.millisAt(50)
		r.row.P99 = r.rowLatency.millisAt(99)
		r.rowLatency.Reset()
	}
	for _, quota := range r.quotas {
		over, under := quota.drift()
		r.row.DriftOver += over
		r.row.DriftUnder += under
	}
	r.run.Rows = append(r.run.Rows, r.row)
	r.row = Row{Second: r.row.Second + 1}
}

// Observe records the next event, which must not be earlier than the previous one.
func (r *Recorder) Observe(event invariants.Event) {
	r.closeRowsBefore(event.At)
	r.checker.Observe(event)
	switch event.Kind {
	case invariants.EndpointDelivered:
		r.recordDelivery(event)
	case invariants.Submitted:
		r.recordSubmission(event)
	case invariants.AttemptRefused:
		r.row.AttemptsRefused++
	case invariants.AttemptArrived:
		r.recordArrival(event)
	case invariants.Succeeded, invariants.Rejected, invariants.Aborted, invariants.Abandoned:
		r.recordEnd(event)
	}
}

func (r *Recorder) recordSubmission(event invariants.Event) {
	r.pending[event.Submission] = &pending{Event: event}
	r.applyExactQuota(event)
	r.row.Submitted++
	if !event.IsRetry {
		r.run.Total.Requests++
	}
}

func (r *Recorder) recordArrival(event invariants.Event) {
	r.row.Attempts++
	if w := r.withdrawals[invariants.Route{Instance: event.Instance, Backend: event.Backend}]; w != nil {
		w.lastAttemptDelay = max(event.At.Sub(w.deliveredAt), minLastAttemptDelay)
	}
	if submission := r.pending[event.Submission]; submission != nil && !submission.hasArrived {
		submission.hasArrived = true
		r.recordSentUnits(event.At, submission.Event)
	}
}

// recordEnd records how a submission ended.
func (r *Recorder) recordEnd(event invariants.Event) {
	submission := r.pending[event.Submission]
	if submission == nil {
		return
	}
	delete(r.pending, event.Submission)
	switch event.Kind {
	case invariants.Succeeded:
		r.recordSuccess(submission, event)
	case invariants.Rejected:
		r.row.Rejected++
	case invariants.Aborted:
		r.row.Aborted++
	default:
		r.row.Abandoned++
	}
}

func (r *Recorder) recordSuccess(submission *pending, event invariants.Event) {
	latency := max(event.At.Sub(submission.Due), 0)
	micros := max(latency.Microseconds(), 1)
	r.rowLatency.record(micros)
	r.latency.record(micros)
	r.row.Succeeded++
	if latency > time.Duration(r.scenario.Classes[submission.Class].LatencyObjective) {
		r.row.Late++
	}
}

// CountDNSUpdate counts a DNS update that a gateway answered.
func (r *Recorder) CountDNSUpdate() { r.run.DNSUpdates++ }

// CountNotSent counts a request that no instance accepted.
func (r *Recorder) CountNotSent(at monotime.Instant) {
	r.closeRowsBefore(at)
	r.row.NotSent++
}

// CountCounterCall counts a call to the counter, and its failure if it failed.
func (r *Recorder) CountCounterCall(at monotime.Instant, failed bool) {
	r.closeRowsBefore(at)
	r.row.CounterCalls++
	if failed {
		r.row.CounterFailures++
	}
}

// SetOpenBreakers records how many instances have an open circuit breaker.
func (r *Recorder) SetOpenBreakers(at monotime.Instant, instances int) {
	r.closeRowsBefore(at)
	r.row.OpenBreakers = instances
}

// Finish ends the run and returns its results.
func (r *Recorder) Finish(at monotime.Instant, events uint64) *Run {
	r.closeRowsBefore(at)
	r.closeRow()
	r.run.Events = events
	r.run.Findings, r.run.RulesBroken = r.checker.End(at)
	for key := range r.withdrawals {
		r.endWithdrawal(key)
	}
	r.summarizeWithdrawals()
	for _, row := range r.run.Rows {
		r.run.Total.add(row)
	}
	r.run.Total.Second = len(r.run.Rows)
	if r.latency.TotalCount() > 0 {
		r.summarizeLatency()
	}
	return r.run
}

// summarizeLatency sets the latency percentiles of the whole run.
func (r *Recorder) summarizeLatency() {
	total := &r.run.Total
	total.P50 = r.latency.millisAt(50)
	total.P90 = r.latency.millisAt(90)
	total.P99 = r.latency.millisAt(99)
	total.P999 = r.latency.millisAt(99.9)
	total.Max = float64(r.latency.Max()) / 1e3
	points := &r.run.Latency
	for _, bracket := range r.latency.CumulativeDistribution() {
		isNext := len(*points) == 0 || bracket.Quantile > (*points)[len(*points)-1].Percent
		if bracket.Count > 0 && isNext {
			*points = append(*points, LatencyPercentile{Percent: bracket.Quantile, Millis: float64(bracket.ValueAt) / 1e3})
		}
	}
}
