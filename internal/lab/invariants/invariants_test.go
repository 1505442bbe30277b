package invariants

import (
	"testing"

	"fawnplank/policy"
)

const ms = int64(1e6)

var terms = Terms{
	Profiles: []policy.ClassSettings{{LatencyObjective: 750 * ms}, {Idempotency: policy.NonIdempotent},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByGroup, DedupWindow: 1000 * ms}, {Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByAll, DedupWindow: 1000 * ms}},
	Plans: []policy.PlanSettings{{}, {HardQuotaRate: 1, HardQuotaBurst: 2}}, CeilingSlack: []float64{0, 1},
	Grace: 100 * ms, Drain: 500 * ms, Cores: 1, ColdShare: 0.5, WarmUp: 10_000 * ms, FallMultiple: 2, FallSpan: 1000 * ms,
	Zone: func(b int) int { return 0 }, Group: func(b int) int { return b % 2 },
}

// play gives the rules found broken.
func play(events ...Event) map[string]int {
	c := New(terms)
	last := int64(0)
	for _, e := range events {
		if e.Try == 0 {
			e.Try = 1
		}
		c.See(e)
		last = max(last, e.At)
	}
	_, counts := c.End(last + 5000*ms)
	return counts
}

func asked(profile int) Event {
	return Event{Kind: Asked, Profile: profile, Limit: 1000 * ms, Units: 1}
}

func arrived(at int64, backend int) Event {
	return Event{At: at * ms, Kind: Arrived, Backend: backend}
}

func TestPlantedViolationsAreFound(t *testing.T) {
	answer := func(at int64, k Kind) Event { return Event{At: at * ms, Kind: k} }
	away := func(at int64, b int) Event { return Event{At: at * ms, Kind: TurnedAway, Backend: b} }
	told := func(at int64, s policy.EndpointState, started int64) Event {
		return Event{At: at * ms, Kind: Told, Stage: s, Started: started * ms}
	}
	ceiling := func(id TryID, at int64) []Event {
		return []Event{{Try: id, At: at * ms, Kind: Asked, Plan: 1, Units: 1, Limit: (at + 1000) * ms, Customer: 7},
			{Try: id, At: at * ms, Kind: Arrived}, {Try: id, At: at * ms, Kind: Fulfilled}}
	}
	ceilings := func(times ...int64) (all []Event) {
		for n, at := range times {
			all = append(all, ceiling(TryID(n+1), at)...)
		}
		return all
	}
	cold := func(work float64, count int, tell bool) (all []Event) {
		if tell {
			all = append(all, told(100, policy.EndpointReady, 100))
		}
		for n := range count {
			id := TryID(n + 1)
			all = append(all, Event{Try: id, At: 200 * ms, Kind: Asked, Limit: 1200 * ms},
				Event{Try: id, At: 210 * ms, Kind: Arrived, Started: 100 * ms, Work: work}, Event{Try: id, At: 300 * ms, Kind: Fulfilled})
		}
		return all
	}
	for _, x := range []struct {
		name   string
		rule   string // the one broken; empty: none
		events []Event
	}{
		{"in order", "", []Event{asked(0), arrived(10, 1), answer(20, Fulfilled)}},
		{"no answer", "1", []Event{asked(0), arrived(10, 1)}},
		{"the client left", "", []Event{asked(0), arrived(10, 1), answer(500, Left)}},
		{"two answers", "1", []Event{asked(0), answer(10, Dismissed), answer(20, Fulfilled)}},
		{"an answer after the time", "1", []Event{asked(0), answer(1101, BrokenOff)}},
		{"an answer within the grace", "", []Event{asked(0), answer(1099, BrokenOff)}},
		{"sent after the answer", "1", []Event{asked(0), answer(10, Dismissed), {At: 20 * ms, Kind: Sent}}},
		{"came after the answer", "1", []Event{asked(0), answer(10, Dismissed), arrived(20, 1)}},
		{"an id twice", "1", []Event{asked(0), asked(0), answer(10, Dismissed)}},
		{"nobody asked", "1", []Event{arrived(10, 1)}},
		{"reissuable twice", "", []Event{asked(0), arrived(10, 1), arrived(20, 2), answer(30, Dismissed)}},
		{"at most once, twice", "2", []Event{asked(1), arrived(10, 1), arrived(20, 2), answer(30, Fulfilled)}},
		{"at most once, first turned away", "", []Event{asked(1), arrived(10, 1), away(15, 1), arrived(20, 2), answer(30, Fulfilled)}},
		{"at most once, dismissed after it may have run", "2", []Event{asked(1), arrived(10, 1), answer(30, Dismissed)}},
		{"at most once, broken off", "", []Event{asked(1), arrived(10, 1), answer(30, BrokenOff)}},
		{"at most once, dismissed after being turned away", "", []Event{asked(1), arrived(10, 1), away(11, 1), answer(30, Dismissed)}},
		{"numbered, within the group", "", []Event{asked(2), arrived(10, 1), arrived(20, 3), answer(30, Fulfilled)}},
		{"numbered, outside the group", "2", []Event{asked(2), arrived(10, 1), arrived(20, 2), answer(30, Fulfilled)}},
		{"numbered, beyond the memory", "2", []Event{{Kind: Asked, Profile: 2, Limit: 3000 * ms}, arrived(10, 1), arrived(1020, 3), answer(1030, Fulfilled)}},
		{"numbered of a group, dismissed", "2", []Event{asked(2), arrived(10, 1), answer(30, Dismissed)}},
		{"numbered of all, dismissed", "", []Event{asked(3), arrived(10, 1), answer(30, Dismissed)}},
		{"within the grace of a drain", "", []Event{told(0, policy.EndpointDraining, 0), asked(0), arrived(499, 0), answer(600, Fulfilled)}},
		{"after the grace of a drain", "3", []Event{told(0, policy.EndpointDraining, 0), asked(0), arrived(501, 0), answer(600, Fulfilled)}},
		{"told twice, the first counts", "3", []Event{told(0, policy.EndpointDraining, 0), asked(0), told(400, policy.EndpointGone, 0), arrived(600, 0), answer(700, Fulfilled)}},
		{"ready again", "", []Event{told(0, policy.EndpointDraining, 0), asked(0), told(400, policy.EndpointReady, 0), arrived(600, 0), answer(700, Fulfilled)}},
		{"another door was told", "", []Event{{Kind: Told, Door: 4, Stage: policy.EndpointDraining}, asked(0), arrived(900, 0), answer(950, Fulfilled)}},
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
		id := TryID(n + 1)
		c.See(Event{At: at, Kind: Asked, Try: id, Limit: at + 1000*ms})
		c.See(Event{At: at + ms, Kind: Arrived, Try: id})
		if n%2 == 0 {
			c.See(Event{At: at + 2*ms, Kind: Left, Try: id})
		}
		c.See(Event{At: at + 2*ms, Kind: Fulfilled, Try: id})
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
		c.See(Event{Kind: Asked, Try: TryID(n + 1), Limit: ms})
	}
	found, counts := c.End(1e12)
	if counts["1"] != 1000 || len(found) != mostFindings {
		t.Error(counts, len(found))
	}
}
