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

// TryID names one try of a transaction by a client; each try has an id of its own.
type TryID uint64

// Kind is what happened.
type Kind uint8

const (
	Asked      Kind = iota // a client wrote a try whole to a door
	Fulfilled              // the client had the backend's answer
	Dismissed              // the client was told that trying again does no harm
	BrokenOff              // any other final answer
	Left                   // the client gave up, or its door died: nothing is owed
	Sent                   // a door sent a shot; told by the model alone
	Arrived                // a shot came whole to a backend
	TurnedAway             // the backend proved that it did not run
	Told                   // discovery told a door of a backend
	DoorDied
)

// Event is one thing that was seen. At is nanoseconds on one clock; only the fields of its kind are read.
type Event struct {
	At       int64
	Kind     Kind
	Try      TryID
	Door     int
	Backend  int
	Customer int
	Profile  int
	Plan     int
	Units    float64
	Due      int64                // Asked: when it was to be asked by the plan of arrivals; latencies count from here
	Again    bool                 // Asked: a client's repeat
	Limit    int64                // Asked: until when the client waits
	Stage    policy.EndpointState // Told
	Started  int64                // Told, Arrived: the backend's last start; 0: long ago
	Work     float64              // Arrived: seconds of one core that the shot takes, or would have taken
}

// Terms are the figures that the rules go by.
type Terms struct {
	Profiles     []policy.ClassSettings
	Plans        []policy.PlanSettings
	CeilingSlack []float64 // by plan
	Grace        int64     // of an answer after the client's time
	Drain        int64     // of a send after the door heard
	Slack        int64     // what the way from a door to a backend or client may take, where only arrivals are seen
	Cores        float64   // of a warm backend
	ColdShare    float64
	WarmUp       int64
	FallMultiple float64
	FallSpan     int64
	Zone, Group  func(backend int) int
}

// Finding is a broken rule.
type Finding struct {
	Rule int    `json:"rule"` // 1 to 5
	At   int64  `json:"at_ns"`
	What string `json:"what"`
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
	terms    Terms
	tries    map[TryID]*try
	order    []TryID // in the order they ended, so that what is long over is forgotten
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
func New(terms Terms) *Checker {
	return &Checker{terms: terms, tries: map[TryID]*try{}, told: map[[2]int]Event{}, pushes: map[int][]push{},
		felled: map[int]int64{}, ceilings: map[int]*ceiling{}}
}

// mostFindings bounds what is kept of each rule; the count goes on.
const mostFindings = 20

func (c *Checker) find(rule int, at int64, form string, words ...any) {
	if c.counts[rule]++; c.counts[rule] <= mostFindings {
		c.found = append(c.found, Finding{rule, at, fmt.Sprintf(form, words...)})
	}
}

// See takes the next event.
func (c *Checker) See(e Event) {
	switch e.Kind {
	case Told:
		key := [2]int{e.Door, e.Backend}
		if old, there := c.told[key]; there && old.Stage != policy.EndpointReady && e.Stage != policy.EndpointReady {
			e.At = old.At // it has been told to stop before
		}
		c.told[key] = e
		return
	case DoorDied:
		for key := range c.told {
			if key[0] == e.Door {
				delete(c.told, key)
			}
		}
		return
	case Asked:
		if c.tries[e.Try] != nil {
			c.find(1, e.At, "try %d: its id was used before", e.Try)
			return
		}
		c.tries[e.Try] = &try{Event: e, owed: true}
		return
	}
	t := c.tries[e.Try]
	if t == nil {
		if e.Kind != Left && e.Kind != TurnedAway {
			c.find(1, e.At, "try %d: no client asked for it, or it was over long ago", e.Try)
		}
		return
	}
	switch e.Kind {
	case Fulfilled, Dismissed, BrokenOff:
		c.answered(t, e)
	case Left:
		if t.owed = false; t.retired == 0 {
			t.retired = e.At
			c.retire(e)
		}
	case Sent:
		if t.ended > 0 && e.At > t.ended {
			c.find(1, e.At, "try %d: sent to backend %d %s after its final answer", e.Try, e.Backend, inMs(e.At-t.ended))
		}
	case Arrived:
		c.arrived(t, e)
	case TurnedAway:
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
		c.find(1, e.At, "try %d: a second final answer", e.Try)
		return
	}
	if over := e.At - t.Limit - c.terms.Grace; t.owed && over > 0 {
		c.find(1, e.At, "try %d: answered %s after its time and grace", e.Try, inMs(over))
	}
	t.ended, t.owed = e.At, false
	if t.retired == 0 { // not if its client had left: it stands in the order already
		t.retired = e.At
		c.retire(e)
	}
	p := c.terms.Profiles[t.Profile]
	if e.Kind == Dismissed && !(p.Idempotency == policy.Idempotent || p.Idempotency == policy.IdempotentWithKey && p.DedupScope == policy.DedupByAll) {
		for _, s := range t.shots {
			if !s.away {
				c.find(2, e.At, "try %d: dismissed though its shot at backend %d may have run", e.Try, s.backend)
			}
		}
	}
}

// retire forgets tries that were over half a minute ago: no shot of theirs is left anywhere by then.
func (c *Checker) retire(e Event) {
	c.order = append(c.order, e.Try)
	for len(c.order) > 0 && e.At-c.tries[c.order[0]].retired > 30e9 {
		delete(c.tries, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Checker) arrived(t *try, e Event) {
	if t.ended > 0 && e.At > t.ended+c.terms.Slack {
		c.find(1, e.At, "try %d: came to backend %d %s after its final answer", e.Try, e.Backend, inMs(e.At-t.ended))
	}
	p := c.terms.Profiles[t.Profile]
	for _, s := range t.shots {
		if s.away {
			continue
		}
		switch {
		case p.Idempotency == policy.NonIdempotent:
			c.find(2, e.At, "try %d: came to backend %d though its shot at %d may have run", e.Try, e.Backend, s.backend)
		case p.Idempotency == policy.IdempotentWithKey && (p.DedupScope == policy.DedupByZone && c.terms.Zone(s.backend) != c.terms.Zone(e.Backend) ||
			p.DedupScope == policy.DedupByGroup && c.terms.Group(s.backend) != c.terms.Group(e.Backend)):
			c.find(2, e.At, "try %d: came to backend %d, outside the group of %d where it may have run", e.Try, e.Backend, s.backend)
		case p.Idempotency == policy.IdempotentWithKey && e.At-s.at > p.DedupWindow+c.terms.Slack:
			c.find(2, e.At, "try %d: came to backend %d %s after its first shot, beyond the memory", e.Try, e.Backend, inMs(e.At-s.at))
		}
	}
	t.shots = append(t.shots, arrival{backend: e.Backend, at: e.At})
	told := c.told[[2]int{t.Door, e.Backend}]
	if told.Kind == Told && told.Stage != policy.EndpointReady {
		if over := e.At - told.At - c.terms.Drain - c.terms.Slack; over > 0 {
			c.find(3, e.At, "try %d: door %d sent to backend %d %s after the grace of hearing that it drains or is gone",
				e.Try, t.Door, e.Backend, inMs(over))
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
	if e.Started == 0 || e.At-e.Started > c.terms.WarmUp || told.Started != e.Started {
		return // warm, or the door had not been told
	}
	all := append(c.pushes[e.Backend], push{e.At, e.Work, t.Door})
	all = slices.DeleteFunc(all, func(p push) bool { return e.At-p.at > c.terms.FallSpan || p.at < e.Started })
	c.pushes[e.Backend] = all
	work, largest := 0.0, 0.0
	for _, p := range all {
		work += p.work
		largest = max(largest, p.work)
	}
	from, to := max(e.At-c.terms.FallSpan, e.Started), e.At
	at := func(x int64) float64 {
		return c.terms.ColdShare + (1-c.terms.ColdShare)*float64(x-e.Started)/float64(max(c.terms.WarmUp, 1))
	}
	// The whole span counts from the start on: a burst at the start is borne as far as a span bears it. Beside
	// the budget stand the largest shots, which nobody can send in part: chance in their size breaks no rule.
	bears := c.terms.FallMultiple * c.terms.Cores * (at(from) + at(to)) / 2 * float64(c.terms.FallSpan) / 1e9
	if work > bears+3*largest && c.felled[e.Backend] != e.Started {
		c.felled[e.Backend] = e.Started
		c.find(4, e.At, "backend %d, started %s ago, was sent %.3f s of work in %s and bears %.3f s", e.Backend,
			inMs(e.At-e.Started), work, inMs(c.terms.FallSpan), bears)
	}
}

func (c *Checker) draw(t *try, e Event, plan policy.PlanSettings) {
	store := c.ceilings[t.Customer]
	if store == nil {
		store = &ceiling{left: plan.HardQuotaBurst, at: e.At}
		c.ceilings[t.Customer] = store
	}
	store.left = min(store.left+float64(e.At-store.at)/1e9*plan.HardQuotaRate, plan.HardQuotaBurst)
	store.at = e.At
	if store.left -= t.Units; store.left < -c.terms.CeilingSlack[t.Plan]-1e-6 {
		c.find(5, e.At, "customer %d: %.2f units beyond its ceiling, with a slack of %.2f", t.Customer, -store.left,
			c.terms.CeilingSlack[t.Plan])
	}
}

// End takes the end of the run at the time at, and gives what was found, and how often each rule was broken.
// Tries whose time was up by then and that had no answer are lost.
func (c *Checker) End(at int64) (found []Finding, counts map[string]int) {
	var lost []TryID
	for id, t := range c.tries {
		if t.owed && at > t.Limit+c.terms.Grace {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		c.find(1, at, "try %d at door %d: no final answer", id, c.tries[id].Door)
	}
	counts = map[string]int{}
	for n := 1; n <= 5; n++ {
		counts[fmt.Sprint(n)] = c.counts[n]
	}
	slices.SortStableFunc(c.found, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return c.found, counts
}
