package results

import (
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// pending is a submission that has no answer yet.
type pending struct {
	invariants.Event
	hasArrived bool
}

// Recorder turns the events that it observes, in order of time, into results. Instants count from the run's
// start.
type Recorder struct {
	scenario        *scenario.Scenario
	checker         *invariants.Checker
	run             *Run
	row             Row
	rowLatency      histogram // of the row's successes
	latency         histogram // of the run's successes
	pending         map[invariants.SubmissionID]*pending
	quotas          map[int]*exactQuota // by tenant
	withdrawals     map[invariants.Route]*withdrawal
	withdrawalTimes histogram
}

// New returns a recorder for a scenario. slack is how long a message may be in transit, where only
// its sending or its arrival is observed. Classes and plans come from the settings, which the gateways have too.
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
	checked := invariants.Settings{
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
		checked.HardQuotaSlack = append(checked.HardQuotaSlack, plan.HardQuotaSlack)
	}
	return checked
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

// newFaultSpan returns the span of a fault, which lasts until it ends for the last of its staggered targets.
func newFaultSpan(s *scenario.Scenario, fault scenario.Fault) FaultSpan {
	occurrences := s.Occurrences(fault)
	return FaultSpan{
		Kind:  storedFaultKind(fault.Kind),
		From:  monotime.Seconds(occurrences[0].Begin),
		Until: monotime.Seconds(occurrences[len(occurrences)-1].End),
	}
}

// storedFaultKind returns the name of a kind of fault in the file of a run, which keeps the names that it has
// always had.
func storedFaultKind(kind scenario.FaultKind) string {
	if kind == scenario.InstanceRestart {
		return "door-restart"
	}
	return string(kind)
}

// advance closes rows up to the second that contains a time.
func (r *Recorder) advance(at monotime.Instant) {
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

// Observe records the next event.
func (r *Recorder) Observe(event invariants.Event) {
	r.advance(event.At)
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
	r.admitExact(event)
	r.row.Submitted++
	if !event.IsRetry {
		r.run.Total.Requests++
	}
}

func (r *Recorder) recordArrival(event invariants.Event) {
	r.row.Attempts++
	if w := r.withdrawals[invariants.Route{Instance: event.Instance, Backend: event.Backend}]; w != nil {
		w.lastAttempt = max(event.At.Sub(w.deliveredAt), minWithdrawal)
	}
	if submission := r.pending[event.Submission]; submission != nil && !submission.hasArrived {
		submission.hasArrived = true
		r.drawExact(event.At, submission.Event)
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

// CountDNSUpdate counts an update that a gateway answered.
func (r *Recorder) CountDNSUpdate() { r.run.DNSUpdates++ }

// CountNotSent counts a request that no instance accepted.
func (r *Recorder) CountNotSent(at monotime.Instant) {
	r.advance(at)
	r.row.NotSent++
}

// CountCounterCall counts a call to the counter, and its failure if it failed.
func (r *Recorder) CountCounterCall(at monotime.Instant, failed bool) {
	r.advance(at)
	r.row.CounterCalls++
	if failed {
		r.row.CounterFailures++
	}
}

// SetOpenBreakers records how many instances have an open breaker.
func (r *Recorder) SetOpenBreakers(at monotime.Instant, instances int) {
	r.advance(at)
	r.row.OpenBreakers = instances
}

// Finish ends the run and returns its results.
func (r *Recorder) Finish(at monotime.Instant, events uint64) *Run {
	r.advance(at)
	r.closeRow()
	r.run.Events = events
	r.run.Findings, r.run.RulesBroken = r.checker.End(at)
	for key := range r.withdrawals {
		r.settleWithdrawal(key)
	}
	r.finishWithdrawals()
	for _, row := range r.run.Rows {
		r.run.Total.add(row)
	}
	r.run.Total.Second = len(r.run.Rows)
	if r.latency.TotalCount() > 0 {
		r.finishLatency()
	}
	return r.run
}

// finishLatency reads the percentiles of the whole run.
func (r *Recorder) finishLatency() {
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
