package invariants

import (
	"testing"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// afterMillis returns the instant that is the given number of milliseconds after the start.
func afterMillis(millis int64) monotime.Instant {
	return monotime.FromNanos(millis * int64(time.Millisecond))
}

var testSettings = Settings{
	Classes: []policy.ClassSettings{
		idempotent:    {LatencyObjective: 750 * time.Millisecond},
		nonIdempotent: {Idempotency: policy.NonIdempotent},
		keyedByGroup: {
			Idempotency: policy.IdempotentWithKey,
			DedupScope:  policy.DedupByGroup,
			DedupWindow: time.Second,
		},
		keyedByAll: {
			Idempotency: policy.IdempotentWithKey,
			DedupScope:  policy.DedupByAll,
			DedupWindow: time.Second,
		},
	},
	Plans:             []policy.PlanSettings{{}, {HardQuotaRate: 1, HardQuotaBurst: 2}},
	HardQuotaSlack:    []float64{0, 1},
	AnswerGrace:       100 * time.Millisecond,
	DrainGrace:        500 * time.Millisecond,
	Cores:             1,
	SlowStartShare:    0.5,
	SlowStartDuration: 10 * time.Second,
	OverloadMultiple:  2,
	OverloadWindow:    time.Second,
	Zone:              func(int) int { return 0 },
	Group:             func(backend int) int { return backend % 2 },
}

// The classes of testSettings.
const (
	idempotent = iota
	nonIdempotent
	keyedByGroup
	keyedByAll
)

// violations returns the number of violations by rule in a run with the given events.
func violations(events ...Event) map[string]int {
	checker := New(testSettings)
	var last monotime.Instant
	for _, event := range events {
		if event.Submission == 0 {
			event.Submission = 1
		}
		checker.Observe(event)
		last = monotime.Later(last, event.At)
	}
	_, counts := checker.End(last.Add(5 * time.Second))
	return counts
}

func submitted(class int) Event {
	return Event{Kind: Submitted, Class: class, Deadline: afterMillis(1000), Units: 1}
}

func arrived(atMillis int64, backend int) Event {
	return Event{At: afterMillis(atMillis), Kind: AttemptArrived, Backend: backend}
}

func refused(atMillis int64, backend int) Event {
	return Event{At: afterMillis(atMillis), Kind: AttemptRefused, Backend: backend}
}

func eventAt(atMillis int64, kind Kind) Event {
	return Event{At: afterMillis(atMillis), Kind: kind}
}

func delivered(atMillis int64, state policy.EndpointState) Event {
	return Event{At: afterMillis(atMillis), Kind: EndpointDelivered, State: state}
}

// hardQuotaRequests returns the events of one-unit requests by a tenant with a hard quota, sent at the given times.
func hardQuotaRequests(timesMillis ...int64) (events []Event) {
	for n, atMillis := range timesMillis {
		id := SubmissionID(n + 1)
		at := afterMillis(atMillis)
		events = append(events,
			Event{
				Submission: id,
				At:         at,
				Kind:       Submitted,
				Tenant:     7,
				Plan:       1,
				Units:      1,
				Deadline:   at.Add(time.Second),
			},
			Event{Submission: id, At: at, Kind: AttemptArrived},
			Event{Submission: id, At: at, Kind: Succeeded})
	}
	return events
}

// slowStartRequests returns the events of requests, each with 0.1 s of work, to a backend that has just started.
func slowStartRequests(count int, isDelivered bool) (events []Event) {
	startedAt := afterMillis(100)
	if isDelivered {
		start := delivered(100, policy.EndpointReady)
		start.StartedAt = startedAt
		events = append(events, start)
	}
	for n := range count {
		id := SubmissionID(n + 1)
		events = append(events,
			Event{Submission: id, At: afterMillis(200), Kind: Submitted, Deadline: afterMillis(1200)},
			Event{
				Submission:  id,
				At:          afterMillis(210),
				Kind:        AttemptArrived,
				StartedAt:   startedAt,
				WorkSeconds: 0.1,
			},
			Event{Submission: id, At: afterMillis(300), Kind: Succeeded})
	}
	return events
}

type checkerTest struct {
	name   string
	rule   string // the rule that the events break; empty: none
	events []Event
}

var answerTests = []checkerTest{
	{"answered once in time", "", []Event{submitted(idempotent), arrived(10, 1), eventAt(20, Succeeded)}},
	{"no answer", "1", []Event{submitted(idempotent), arrived(10, 1)}},
	{"abandoned", "", []Event{submitted(idempotent), arrived(10, 1), eventAt(500, Abandoned)}},
	{"two answers", "1", []Event{submitted(idempotent), eventAt(10, Rejected), eventAt(20, Succeeded)}},
	{"answered after the grace", "1", []Event{submitted(idempotent), eventAt(1101, Aborted)}},
	{"answered within the grace", "", []Event{submitted(idempotent), eventAt(1099, Aborted)}},
	{"sent after the answer", "1",
		[]Event{submitted(idempotent), eventAt(10, Rejected), eventAt(20, AttemptSent)}},
	{"arrived after the answer", "1", []Event{submitted(idempotent), eventAt(10, Rejected), arrived(20, 1)}},
	{"a duplicate submission ID", "1", []Event{submitted(idempotent), submitted(idempotent), eventAt(10, Rejected)}},
	{"never submitted", "1", []Event{arrived(10, 1)}},
}

var duplicateExecutionTests = []checkerTest{
	{"idempotent, twice", "",
		[]Event{submitted(idempotent), arrived(10, 1), arrived(20, 2), eventAt(30, Rejected)}},
	{"non-idempotent, twice", "2",
		[]Event{submitted(nonIdempotent), arrived(10, 1), arrived(20, 2), eventAt(30, Succeeded)}},
	{"non-idempotent, first refused", "",
		[]Event{submitted(nonIdempotent), arrived(10, 1), refused(15, 1), arrived(20, 2),
			eventAt(30, Succeeded)}},
	{"non-idempotent, rejected after it may have run", "2",
		[]Event{submitted(nonIdempotent), arrived(10, 1), eventAt(30, Rejected)}},
	{"non-idempotent, aborted", "", []Event{submitted(nonIdempotent), arrived(10, 1), eventAt(30, Aborted)}},
	{"non-idempotent, rejected after it was refused", "",
		[]Event{submitted(nonIdempotent), arrived(10, 1), refused(11, 1), eventAt(30, Rejected)}},
	{"with a key, within the scope", "",
		[]Event{submitted(keyedByGroup), arrived(10, 1), arrived(20, 3), eventAt(30, Succeeded)}},
	{"with a key, outside the scope", "2",
		[]Event{submitted(keyedByGroup), arrived(10, 1), arrived(20, 2), eventAt(30, Succeeded)}},
	{"with a key, beyond the window", "2",
		[]Event{{Kind: Submitted, Class: keyedByGroup, Deadline: afterMillis(3000)},
			arrived(10, 1), arrived(1020, 3), eventAt(1030, Succeeded)}},
	{"with a key of a group, rejected", "2",
		[]Event{submitted(keyedByGroup), arrived(10, 1), eventAt(30, Rejected)}},
	{"with a key of all, rejected", "", []Event{submitted(keyedByAll), arrived(10, 1), eventAt(30, Rejected)}},
}

var drainTests = []checkerTest{
	{"within the grace of draining", "",
		[]Event{delivered(0, policy.EndpointDraining), submitted(idempotent), arrived(499, 0),
			eventAt(600, Succeeded)}},
	{"after the grace of draining", "3",
		[]Event{delivered(0, policy.EndpointDraining), submitted(idempotent), arrived(501, 0),
			eventAt(600, Succeeded)}},
	{"gone after draining, the grace counts from draining", "3",
		[]Event{delivered(0, policy.EndpointDraining), submitted(idempotent),
			delivered(400, policy.EndpointGone), arrived(600, 0), eventAt(700, Succeeded)}},
	{"ready again", "",
		[]Event{delivered(0, policy.EndpointDraining), submitted(idempotent),
			delivered(400, policy.EndpointReady), arrived(600, 0), eventAt(700, Succeeded)}},
	{"delivered to another instance", "",
		[]Event{{Kind: EndpointDelivered, Instance: 4, State: policy.EndpointDraining},
			submitted(idempotent), arrived(900, 0), eventAt(950, Succeeded)}},
}

var quotaTests = []checkerTest{
	{"warming up, within the budget", "", slowStartRequests(10, true)},
	{"warming up, over the budget", "4", slowStartRequests(40, true)},
	{"warming up, before the start was delivered", "", slowStartRequests(40, false)},
	{"within the hard quota and its slack", "", hardQuotaRequests(0, 0, 0)},
	{"beyond the hard quota and its slack", "5", hardQuotaRequests(0, 0, 0, 0)},
	{"the hard quota refills", "", hardQuotaRequests(0, 0, 0, 1000, 2000)},
}

// TestChecker_DetectsEachViolation checks for runs that break one rule or none that exactly this rule is reported.
func TestChecker_DetectsEachViolation(t *testing.T) {
	for _, tests := range [][]checkerTest{answerTests, duplicateExecutionTests, drainTests, quotaTests} {
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				for rule, count := range violations(test.events...) {
					if (count > 0) != (rule == test.rule) {
						t.Errorf("rule %s: %d violations", rule, count)
					}
				}
			})
		}
	}
}

// TestChecker_RemovesEndedSubmissions checks that the memory use of a long run is bounded: submissions that ended
// more than the retention time ago are removed.
func TestChecker_RemovesEndedSubmissions(t *testing.T) {
	checker := New(testSettings)
	for n := range 10000 {
		at := afterMillis(int64(n) * 100)
		id := SubmissionID(n + 1)
		start := Event{At: at, Kind: Submitted, Submission: id, Deadline: at.Add(time.Second)}
		checker.Observe(start)
		checker.Observe(Event{At: at.Add(time.Millisecond), Kind: AttemptArrived, Submission: id})
		if n%2 == 0 {
			checker.Observe(Event{At: at.Add(2 * time.Millisecond), Kind: Abandoned, Submission: id})
		}
		checker.Observe(Event{At: at.Add(2 * time.Millisecond), Kind: Succeeded, Submission: id})
	}
	if len(checker.submissions) > 400 {
		t.Errorf("%d submissions are kept, more than those of the last 30 s", len(checker.submissions))
	}
	if findings, _ := checker.End(monotime.FromNanos(1e15)); len(findings) > 0 {
		t.Error(findings[0])
	}
}

// TestChecker_BoundsFindings checks that all violations of a rule are counted, and at most maxFindings reported.
func TestChecker_BoundsFindings(t *testing.T) {
	checker := New(testSettings)
	for n := range 1000 {
		checker.Observe(Event{Kind: Submitted, Submission: SubmissionID(n + 1), Deadline: afterMillis(1)})
	}
	findings, counts := checker.End(monotime.FromNanos(1e12))
	if counts["1"] != 1000 || len(findings) != maxFindings {
		t.Error(counts, len(findings))
	}
}
