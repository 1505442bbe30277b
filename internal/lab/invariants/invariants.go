// Package rules checks the five rules of a front door from outside, from what clients, backends and discovery
// saw, whoever produced it: the model or front doors on sockets. It is pure: events go in, in order of time,
// and findings come out. It knows nothing of the decisions it judges.
package invariants

import (
	"cmp"
	"fmt"

	"slices"

	"fawnplank/policy"
)

// SubmissionID names one try of a transaction by a client; each try has an id of its own.
type SubmissionID uint64

// Kind is what happened.
type Kind uint8

const (
	Submitted         Kind = iota // a client wrote a try whole to a door
	Succeeded                     // the client had the backend's answer
	Rejected                      // the client was told that trying again does no harm
	Aborted                       // any other final answer
	Abandoned                     // the client gave up, or its door died: nothing is owed
	AttemptSent                   // a door sent a shot; told by the model alone
	AttemptArrived                // a shot came whole to a backend
	AttemptRefused                // the backend proved that it did not run
	EndpointDelivered             // discovery told a door of a backend
	InstanceDied
)

// Event is one thing that was seen. At is nanoseconds on one clock; only the fields of its kind are read.
type Event struct {
	AtNanos       int64
	Kind          Kind
	Submission    SubmissionID
	Instance      int
	Backend       int
	Tenant        int
	Class         int
	Plan          int
	Units         float64
	DueNanos      int64                // Asked: when it was to be asked by the plan of arrivals; latencies count from here
	IsRetry       bool                 // Asked: a client's repeat
	DeadlineNanos int64                // Asked: until when the client waits
	State         policy.EndpointState // Told
	StartedNanos  int64                // Told, Arrived: the backend's last start; 0: long ago
	WorkSeconds   float64              // Arrived: seconds of one core that the shot takes, or would have taken
}

// Settings are the figures that the rules go by.
type Settings struct {
	Classes             []policy.ClassSettings
	Plans               []policy.PlanSettings
	HardQuotaSlack      []float64 // by plan
	GraceNanos          int64     // of an answer after the client's time
	DrainNanos          int64     // of a send after the door heard
	SlackNanos          int64     // what the way from a door to a backend or client may take, where only arrivals are seen
	Cores               float64   // of a warm backend
	InitialCapacity     float64
	SlowStartNanos      int64
	CollapseMultiple    float64
	CollapseWindowNanos int64
	Zone, Group         func(backend int) int
}

// Finding is a broken rule.
type Finding struct {
	Rule    int    `json:"rule"` // 1 to 5
	AtNanos int64  `json:"at_ns"`
	What    string `json:"what"`
}

type arrival struct {
	backend int
	at      int64
	away    bool // proved not run
}

type try struct {
	Event
	ended   int64 // when the client had its answer; 0: not yet
	owed    bool
	shots   []arrival
	late    bool // found already
	drawn   bool
	retired int64
}

type push struct {
	at   int64
	work float64
	door int
}

// Checker takes events in order of time.
type Checker struct {
	terms    Settings
	tries    map[SubmissionID]*try
	order    []SubmissionID // in the order they ended, so that what is long over is forgotten
	told     map[[2]int]Event
	pushes   map[int][]push
	felled   map[int]int64 // start of the life in which a backend was pushed over
	ceilings map[int]*ceiling
	found    []Finding
	counts   [6]int
}

type ceiling struct {
	left float64
	at   int64
}

// New makes a checker.
func New(terms Settings) *Checker {
	return &Checker{terms: terms, tries: map[SubmissionID]*try{}, told: map[[2]int]Event{}, pushes: map[int][]push{},
		felled: map[int]int64{}, ceilings: map[int]*ceiling{}}
}

// mostFindings bounds what is kept of each rule; the count goes on.
const mostFindings = 20

func (c *Checker) find(rule int, at int64, form string, words ...any) {
	if c.counts[rule]++; c.counts[rule] <= mostFindings {
		c.found = append(c.found, Finding{rule, at, fmt.Sprintf(form, words...)})
	}
}

// Observe takes the next event.
func (c *Checker) Observe(e Event) {
	switch e.Kind {
	case EndpointDelivered:
		key := [2]int{e.Instance, e.Backend}
		if old, there := c.told[key]; there && old.State != policy.EndpointReady && e.State != policy.EndpointReady {
			e.AtNanos = old.AtNanos // it has been told to stop before
		}
		c.told[key] = e
		return
	case InstanceDied:
		for key := range c.told {
			if key[0] == e.Instance {
				delete(c.told, key)
			}
		}
		return
	case Submitted:
		if c.tries[e.Submission] != nil {
			c.find(1, e.AtNanos, "try %d: its id was used before", e.Submission)
			return
		}
		c.tries[e.Submission] = &try{Event: e, owed: true}
		return
	}
	t := c.tries[e.Submission]
	if t == nil {
		if e.Kind != Abandoned && e.Kind != AttemptRefused {
			c.find(1, e.AtNanos, "try %d: no client asked for it, or it was over long ago", e.Submission)
		}
		return
	}
	switch e.Kind {
	case Succeeded, Rejected, Aborted:
		c.answered(t, e)
	case Abandoned:
		if t.owed = false; t.retired == 0 {
			t.retired = e.AtNanos
			c.retire(e)
		}
	case AttemptSent:
		if t.ended > 0 && e.AtNanos > t.ended {
			c.find(1, e.AtNanos, "try %d: sent to backend %d %s after its final answer", e.Submission, e.Backend, inMs(e.AtNanos-t.ended))
		}
	case AttemptArrived:
		c.arrived(t, e)
	case AttemptRefused:
		for n := len(t.shots) - 1; n >= 0; n-- {
			if t.shots[n].backend == e.Backend && !t.shots[n].away {
				t.shots[n].away = true
				break
			}
		}
	}
}

func inMs(ns int64) string { return fmt.Sprintf("%.1f ms", float64(ns)/1e6) }

func (c *Checker) answered(t *try, e Event) {
	if t.ended > 0 {
		c.find(1, e.AtNanos, "try %d: a second final answer", e.Submission)
		return
	}
	if over := e.AtNanos - t.DeadlineNanos - c.terms.GraceNanos; t.owed && over > 0 {
		c.find(1, e.AtNanos, "try %d: answered %s after its time and grace", e.Submission, inMs(over))
	}
	t.ended, t.owed = e.AtNanos, false
	if t.retired == 0 { // not if its client had left: it stands in the order already
		t.retired = e.AtNanos
		c.retire(e)
	}
	p := c.terms.Classes[t.Class]
	if e.Kind == Rejected && !(p.Idempotency == policy.Idempotent || p.Idempotency == policy.IdempotentWithKey && p.DedupScope == policy.DedupByAll) {
		for _, s := range t.shots {
			if !s.away {
				c.find(2, e.AtNanos, "try %d: dismissed though its shot at backend %d may have run", e.Submission, s.backend)
			}
		}
	}
}

// retire forgets tries that were over half a minute ago: no shot of theirs is left anywhere by then.
func (c *Checker) retire(e Event) {
	c.order = append(c.order, e.Submission)
	for len(c.order) > 0 && e.AtNanos-c.tries[c.order[0]].retired > 30e9 {
		delete(c.tries, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Checker) arrived(t *try, e Event) {
	if t.ended > 0 && e.AtNanos > t.ended+c.terms.SlackNanos {
		c.find(1, e.AtNanos, "try %d: came to backend %d %s after its final answer", e.Submission, e.Backend, inMs(e.AtNanos-t.ended))
	}
	p := c.terms.Classes[t.Class]
	for _, s := range t.shots {
		if s.away {
			continue
		}
		switch {
		case p.Idempotency == policy.NonIdempotent:
			c.find(2, e.AtNanos, "try %d: came to backend %d though its shot at %d may have run", e.Submission, e.Backend, s.backend)
		case p.Idempotency == policy.IdempotentWithKey && (p.DedupScope == policy.DedupByZone && c.terms.Zone(s.backend) != c.terms.Zone(e.Backend) ||
			p.DedupScope == policy.DedupByGroup && c.terms.Group(s.backend) != c.terms.Group(e.Backend)):
			c.find(2, e.AtNanos, "try %d: came to backend %d, outside the group of %d where it may have run", e.Submission, e.Backend, s.backend)
		case p.Idempotency == policy.IdempotentWithKey && e.AtNanos-s.at > p.DedupWindow+c.terms.SlackNanos:
			c.find(2, e.AtNanos, "try %d: came to backend %d %s after its first shot, beyond the memory", e.Submission, e.Backend, inMs(e.AtNanos-s.at))
		}
	}
	t.shots = append(t.shots, arrival{backend: e.Backend, at: e.AtNanos})
	told := c.told[[2]int{t.Instance, e.Backend}]
	if told.Kind == EndpointDelivered && told.State != policy.EndpointReady {
		if over := e.AtNanos - told.AtNanos - c.terms.DrainNanos - c.terms.SlackNanos; over > 0 {
			c.find(3, e.AtNanos, "try %d: door %d sent to backend %d %s after the grace of hearing that it drains or is gone",
				e.Submission, t.Instance, e.Backend, inMs(over))
		}
	}
	c.push(t, e, told)
	if plan := c.terms.Plans[t.Plan]; plan.HardQuotaRate > 0 && !t.drawn {
		t.drawn = true
		c.draw(t, e, plan)
	}
}

// push adds to what a cold backend is sent. Its capacity at an age is not told to anybody; what the doors know
// of it is the share that it starts with and when it is warm at the latest, and a straight line lies between.
func (c *Checker) push(t *try, e Event, told Event) {
	if e.StartedNanos == 0 || e.AtNanos-e.StartedNanos > c.terms.SlowStartNanos || told.StartedNanos != e.StartedNanos {
		return // warm, or the door had not been told
	}
	all := append(c.pushes[e.Backend], push{e.AtNanos, e.WorkSeconds, t.Instance})
	all = slices.DeleteFunc(all, func(p push) bool { return e.AtNanos-p.at > c.terms.CollapseWindowNanos || p.at < e.StartedNanos })
	c.pushes[e.Backend] = all
	work, largest := 0.0, 0.0
	for _, p := range all {
		work += p.work
		largest = max(largest, p.work)
	}
	from, to := max(e.AtNanos-c.terms.CollapseWindowNanos, e.StartedNanos), e.AtNanos
	at := func(x int64) float64 {
		return c.terms.InitialCapacity + (1-c.terms.InitialCapacity)*float64(x-e.StartedNanos)/float64(max(c.terms.SlowStartNanos, 1))
	}
	// The whole span counts from the start on: a burst at the start is borne as far as a span bears it. Beside
	// the budget stand the largest shots, which nobody can send in part: chance in their size breaks no rule.
	bears := c.terms.CollapseMultiple * c.terms.Cores * (at(from) + at(to)) / 2 * float64(c.terms.CollapseWindowNanos) / 1e9
	if work > bears+3*largest && c.felled[e.Backend] != e.StartedNanos {
		c.felled[e.Backend] = e.StartedNanos
		c.find(4, e.AtNanos, "backend %d, started %s ago, was sent %.3f s of work in %s and bears %.3f s", e.Backend,
			inMs(e.AtNanos-e.StartedNanos), work, inMs(c.terms.CollapseWindowNanos), bears)
	}
}

func (c *Checker) draw(t *try, e Event, plan policy.PlanSettings) {
	store := c.ceilings[t.Tenant]
	if store == nil {
		store = &ceiling{left: plan.HardQuotaBurst, at: e.AtNanos}
		c.ceilings[t.Tenant] = store
	}
	store.left = min(store.left+float64(e.AtNanos-store.at)/1e9*plan.HardQuotaRate, plan.HardQuotaBurst)
	store.at = e.AtNanos
	if store.left -= t.Units; store.left < -c.terms.HardQuotaSlack[t.Plan]-1e-6 {
		c.find(5, e.AtNanos, "customer %d: %.2f units beyond its ceiling, with a slack of %.2f", t.Tenant, -store.left,
			c.terms.HardQuotaSlack[t.Plan])
	}
}

// End takes the end of the run at the time at, and gives what was found, and how often each rule was broken.
// Tries whose time was up by then and that had no answer are lost.
func (c *Checker) End(at int64) (found []Finding, counts map[string]int) {
	var lost []SubmissionID
	for id, t := range c.tries {
		if t.owed && at > t.DeadlineNanos+c.terms.GraceNanos {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		c.find(1, at, "try %d at door %d: no final answer", id, c.tries[id].Instance)
	}
	counts = map[string]int{}
	for n := 1; n <= 5; n++ {
		counts[fmt.Sprint(n)] = c.counts[n]
	}
	slices.SortStableFunc(c.found, func(a, b Finding) int { return cmp.Compare(a.AtNanos, b.AtNanos) })
	return c.found, counts
}
