package invariants

import (
	"testing"

	"fawnplank/policy"
)

const ms = int64(1e6)

var terms = Settings{
	Classes: []policy.ClassSettings{{LatencyObjective: 750 * ms}, {Idempotency: policy.NonIdempotent},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByGroup, DedupWindow: 1000 * ms}, {Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByAll, DedupWindow: 1000 * ms}},
	Plans: []policy.PlanSettings{{}, {HardQuotaRate: 1, HardQuotaBurst: 2}}, HardQuotaSlack: []float64{0, 1},
	GraceNanos: 100 * ms, DrainNanos: 500 * ms, Cores: 1, InitialCapacity: 0.5, SlowStartNanos: 10_000 * ms, CollapseMultiple: 2, CollapseWindowNanos: 1000 * ms,
	Zone: func(b int) int { return 0 }, Group: func(b int) int { return b % 2 },
}

// play gives the rules found broken.
func play(events ...Event) map[string]int {
	c := New(terms)
	last := int64(0)
	for _, e := range events {
		if e.Submission == 0 {
			e.Submission = 1
		}
		c.Observe(e)
		last = max(last, e.AtNanos)
	}
	_, counts := c.End(last + 5000*ms)
	return counts
}

func asked(profile int) Event {
	return Event{Kind: Submitted, Class: profile, DeadlineNanos: 1000 * ms, Units: 1}
}

func arrived(at int64, backend int) Event {
	return Event{AtNanos: at * ms, Kind: AttemptArrived, Backend: backend}
}

func TestPlantedViolationsAreFound(t *testing.T) {
	answer := func(at int64, k Kind) Event { return Event{AtNanos: at * ms, Kind: k} }
	away := func(at int64, b int) Event { return Event{AtNanos: at * ms, Kind: AttemptRefused, Backend: b} }
	told := func(at int64, s policy.EndpointState, started int64) Event {
		return Event{AtNanos: at * ms, Kind: EndpointDelivered, State: s, StartedNanos: started * ms}
	}
	ceiling := func(id SubmissionID, at int64) []Event {
		return []Event{{Submission: id, AtNanos: at * ms, Kind: Submitted, Plan: 1, Units: 1, DeadlineNanos: (at + 1000) * ms, Tenant: 7},
			{Submission: id, AtNanos: at * ms, Kind: AttemptArrived}, {Submission: id, AtNanos: at * ms, Kind: Succeeded}}
	}
	ceilings := func(times ...int64) (all []Event) {
		for n, at := range times {
			all = append(all, ceiling(SubmissionID(n+1), at)...)
		}
		return all
	}
	cold := func(work float64, count int, tell bool) (all []Event) {
		if tell {
			all = append(all, told(100, policy.EndpointReady, 100))
		}
		for n := range count {
			id := SubmissionID(n + 1)
			all = append(all, Event{Submission: id, AtNanos: 200 * ms, Kind: Submitted, DeadlineNanos: 1200 * ms},
				Event{Submission: id, AtNanos: 210 * ms, Kind: AttemptArrived, StartedNanos: 100 * ms, WorkSeconds: work}, Event{Submission: id, AtNanos: 300 * ms, Kind: Succeeded})
		}
		return all
	}
	for _, x := range []struct {
		name   string
		rule   string // the one broken; empty: none
		events []Event
	}{
		{"in order", "", []Event{asked(0), arrived(10, 1), answer(20, Succeeded)}},
		{"no answer", "1", []Event{asked(0), arrived(10, 1)}},
		{"the client left", "", []Event{asked(0), arrived(10, 1), answer(500, Abandoned)}},
		{"two answers", "1", []Event{asked(0), answer(10, Rejected), answer(20, Succeeded)}},
		{"an answer after the time", "1", []Event{asked(0), answer(1101, Aborted)}},
		{"an answer within the grace", "", []Event{asked(0), answer(1099, Aborted)}},
		{"sent after the answer", "1", []Event{asked(0), answer(10, Rejected), {AtNanos: 20 * ms, Kind: AttemptSent}}},
		{"came after the answer", "1", []Event{asked(0), answer(10, Rejected), arrived(20, 1)}},
		{"an id twice", "1", []Event{asked(0), asked(0), answer(10, Rejected)}},
		{"nobody asked", "1", []Event{arrived(10, 1)}},
		{"reissuable twice", "", []Event{asked(0), arrived(10, 1), arrived(20, 2), answer(30, Rejected)}},
		{"at most once, twice", "2", []Event{asked(1), arrived(10, 1), arrived(20, 2), answer(30, Succeeded)}},
		{"at most once, first turned away", "", []Event{asked(1), arrived(10, 1), away(15, 1), arrived(20, 2), answer(30, Succeeded)}},
		{"at most once, dismissed after it may have run", "2", []Event{asked(1), arrived(10, 1), answer(30, Rejected)}},
		{"at most once, broken off", "", []Event{asked(1), arrived(10, 1), answer(30, Aborted)}},
		{"at most once, dismissed after being turned away", "", []Event{asked(1), arrived(10, 1), away(11, 1), answer(30, Rejected)}},
		{"numbered, within the group", "", []Event{asked(2), arrived(10, 1), arrived(20, 3), answer(30, Succeeded)}},
		{"numbered, outside the group", "2", []Event{asked(2), arrived(10, 1), arrived(20, 2), answer(30, Succeeded)}},
		{"numbered, beyond the memory", "2", []Event{{Kind: Submitted, Class: 2, DeadlineNanos: 3000 * ms}, arrived(10, 1), arrived(1020, 3), answer(1030, Succeeded)}},
		{"numbered of a group, dismissed", "2", []Event{asked(2), arrived(10, 1), answer(30, Rejected)}},
		{"numbered of all, dismissed", "", []Event{asked(3), arrived(10, 1), answer(30, Rejected)}},
		{"within the grace of a drain", "", []Event{told(0, policy.EndpointDraining, 0), asked(0), arrived(499, 0), answer(600, Succeeded)}},
		{"after the grace of a drain", "3", []Event{told(0, policy.EndpointDraining, 0), asked(0), arrived(501, 0), answer(600, Succeeded)}},
		{"told twice, the first counts", "3", []Event{told(0, policy.EndpointDraining, 0), asked(0), told(400, policy.EndpointGone, 0), arrived(600, 0), answer(700, Succeeded)}},
		{"ready again", "", []Event{told(0, policy.EndpointDraining, 0), asked(0), told(400, policy.EndpointReady, 0), arrived(600, 0), answer(700, Succeeded)}},
		{"another door was told", "", []Event{{Kind: EndpointDelivered, Instance: 4, State: policy.EndpointDraining}, asked(0), arrived(900, 0), answer(950, Succeeded)}},
		{"a cold backend within its budget", "", cold(0.1, 10, true)},
		{"a cold backend over its budget", "4", cold(0.1, 40, true)},
		{"a cold backend nobody was told of", "", cold(0.1, 40, false)},
		{"within the ceiling and its slack", "", ceilings(0, 0, 0)},
		{"beyond the ceiling and its slack", "5", ceilings(0, 0, 0, 0)},
		{"the ceiling refills", "", ceilings(0, 0, 0, 1000, 2000)},
	} {
		for rule, n := range play(x.events...) {
			if (n > 0) != (rule == x.rule) {
				t.Errorf("%s: rule %s broken %d times", x.name, rule, n)
			}
		}
	}
}

func TestWhatIsOverIsForgotten(t *testing.T) {
	c := New(terms)
	for n := range 10000 {
		at := int64(n) * 100 * ms
		id := SubmissionID(n + 1)
		c.Observe(Event{AtNanos: at, Kind: Submitted, Submission: id, DeadlineNanos: at + 1000*ms})
		c.Observe(Event{AtNanos: at + ms, Kind: AttemptArrived, Submission: id})
		if n%2 == 0 {
			c.Observe(Event{AtNanos: at + 2*ms, Kind: Abandoned, Submission: id})
		}
		c.Observe(Event{AtNanos: at + 2*ms, Kind: Succeeded, Submission: id})
	}
	if len(c.tries) > 400 {
		t.Errorf("%d tries are kept of what ended in the last half minute", len(c.tries))
	}
	if found, _ := c.End(1e15); len(found) > 0 {
		t.Error(found[0])
	}
}

func TestFindingsAreBoundedAndCounted(t *testing.T) {
	c := New(terms)
	for n := range 1000 {
		c.Observe(Event{Kind: Submitted, Submission: SubmissionID(n + 1), DeadlineNanos: ms})
	}
	found, counts := c.End(1e12)
	if counts["1"] != 1000 || len(found) != mostFindings {
		t.Error(counts, len(found))
	}
}
