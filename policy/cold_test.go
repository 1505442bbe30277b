package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"fawnplank/internal/timerqueue"
)

// This file plays whole fleets of front doors on one moved clock against simulated backends, and checks rule 4 for
// the sum of all of them: what is sent to a cold backend in any window of the settings' span.

// coldSetting is a fleet and the settings of rule 4. A warm backend of size 1 has so many cores, each of which takes
// so long for a transaction on average.
type coldSetting struct {
	doors, backends int
	cores           float64
	work            int64
	multiple, share float64
	span, warmUp    int64
}

func (c coldSetting) String() string {
	return fmt.Sprintf("%d doors, %d backends of %.0f/s, x%.1f, %.2f, %d s, warm in %d s", c.doors, c.backends,
		c.capacity(), c.multiple, c.share, c.span/second, c.warmUp/second)
}

// capacity is what a warm backend of size 1 answers a second.
func (c coldSetting) capacity() float64 { return c.cores * float64(second) / float64(c.work) }

// coldSite is all around the doors: their clients, the backends, the list, and the clock.
type coldSite struct {
	coldSetting
	t       testing.TB
	r       *rand.Rand
	now     int64
	due     timerqueue.Queue[func()]
	terms   Settings
	lives   [][]*coldLife // by door, those that get traffic
	weight  []float64     // of a door in the traffic, added up
	far     []int64       // what a door's answers take beyond the work
	demand  float64       // transactions a second
	servers map[BackendID]*coldServer
	ids     []BackendID
	late    bool // connections come up together, four times a second; else each by itself
	latest  int64
	bears   []coldBears
	worst   coldWorst
}

// coldBears is the multiple through the play, and how much longer all backends take.
type coldBears struct {
	from           int64
	multiple, slow float64
}

// coldWorst is the window nearest to its bound, or furthest beyond.
type coldWorst struct {
	part      float64 // of the bound
	sent      int
	n, bound  float64
	age       int64
	sum, cold int // shots at cold backends in the play, and backends that were cold
}

// coldServer is a backend.
type coldServer struct {
	id      BackendID
	size    float64
	started int64 // 0: long ago
	ahead   int64 // of that is the start that the list states
	up      bool
	busy    int
	line    []*coldShot
	begun   []int64 // shots since the start
}

// coldLife is one life of a door.
type coldLife struct {
	site *coldSite
	me   int
	gate *Engine
	dead bool
	open map[RequestID]*coldTaken
}

type coldTaken struct {
	id    RequestID
	h     *Request
	shots []*coldShot
	ended bool
}

type coldShot struct {
	life    *coldLife
	x       *coldTaken
	n       int
	to      *coldServer
	started int64 // of the server's life that it was sent to
	sent    int64
	work    float64
	done    bool
}

func (l *coldLife) Send(id RequestID, b BackendID, expire, _ int64) { // none is numbered
	s, x := l.site, l.open[id]
	shot := &coldShot{life: l, x: x, n: len(x.shots), to: s.servers[b], started: l.gate.backends[b].startedAt, sent: s.now,
		work: float64(s.work) * (0.5 + s.r.Float64())}
	x.shots = append(x.shots, shot)
	// Every other connection is open already; the others take up to a quarter of a second to come up.
	begins := s.now
	if s.late {
		begins += 250*millisecond - s.now%(250*millisecond)
	} else if s.r.IntN(2) == 0 {
		begins += s.r.Int64N(250 * millisecond)
	}
	s.at(begins, func() { s.begin(shot) })
	if expire > 0 {
		s.at(expire, func() { s.end(shot, TimedOut) })
	}
}

func (l *coldLife) Cancel(id RequestID, n AttemptID) {
	shot := l.open[id].shots[n]
	l.site.at(l.site.now, func() { l.site.end(shot, Canceled) })
}

func (l *coldLife) WakeAt(at int64, mark uint64) {
	l.site.at(at, func() {
		if !l.dead {
			l.gate.HandleTimer(l.site.now, mark)
		}
	})
}

func (l *coldLife) CheckHealth(b BackendID) {
	s := l.site
	s.at(s.now+5*millisecond, func() {
		if o := ConnectFailed; !l.dead {
			if s.servers[b].up {
				o = Succeeded
			}
			l.gate.HandleHealthCheck(s.now, b, o)
		}
	})
}

func (l *coldLife) Reject(id RequestID, comeBack int64)                  { l.open[id].ended = true }
func (l *coldLife) Abort(id RequestID)                                   { l.open[id].ended = true }
func (l *coldLife) Admit(id RequestID)                                   {}
func (l *coldLife) AddToCounter(c CounterKey, units float64, live int64) {}
func (l *coldLife) WatchEndpoints()                                      {}
func (l *coldLife) Log(text string)                                      { l.site.t.Error(text) }

func newColdSite(t testing.TB, c coldSetting, seed uint64) *coldSite {
	s := &coldSite{coldSetting: c, t: t, r: rand.New(rand.NewPCG(seed, 4)), now: 1000 * second,
		servers: map[BackendID]*coldServer{}, late: seed%2 == 0}
	s.terms = plainTerms()
	s.terms.CounterEnabled, s.terms.Instances, s.terms.Plans = false, c.doors, []PlanSettings{{}}
	s.terms.Classes[0].LatencyObjective = max(750*millisecond, 5*c.work)
	s.terms.SlowStartShare, s.terms.SlowStartDuration, s.terms.OverloadMultiple, s.terms.OverloadWindow = c.share, c.warmUp, c.multiple, c.span
	s.bears = []coldBears{{0, c.multiple, 1}}
	s.lives, s.weight, s.far = make([][]*coldLife, c.doors), make([]float64, c.doors), make([]int64, c.doors)
	s.traffic(func(int) float64 { return 1 })
	for n := range c.backends {
		s.add(BackendID(n+1), 1, 0)
	}
	s.demand = 2 * float64(c.backends) * c.capacity()
	return s
}

// start starts all doors within a second, and the traffic.
func (s *coldSite) start() {
	for me := range s.doors {
		s.at(s.now+s.r.Int64N(second), func() { s.live(me) })
	}
	s.arrive()
}

func (s *coldSite) add(id BackendID, size float64, started int64) {
	s.servers[id] = &coldServer{id: id, size: size, up: true, started: started}
	s.ids = append(s.ids, id)
}

func (s *coldSite) at(when int64, what func()) { s.due.Push(when, what) }

// in calls what so long from the play's beginning on.
func (s *coldSite) in(span int64, what func()) { s.at(1000*second+span, what) }

func (s *coldSite) pass(until int64) {
	s.latest = 1000*second + until
	never := func(func()) bool { return false }
	for {
		next, ok := s.due.NextDue(never)
		if !ok || next > s.latest {
			break
		}
		s.now = max(s.now, next)
		what, _ := s.due.PopDue(s.now)
		what()
	}
	for _, id := range s.ids {
		s.check(s.servers[id])
	}
}

// traffic lays the transactions out over the doors.
func (s *coldSite) traffic(weight func(me int) float64) {
	sum := 0.0
	for me := range s.weight {
		sum += weight(me)
		s.weight[me] = sum
	}
}

func (s *coldSite) listed() (list []Endpoint) {
	for _, id := range s.ids {
		list = append(list, s.servers[id].listed())
	}
	return list
}

func (v *coldServer) listed() Endpoint {
	l := Endpoint{Backend: v.id, Capacity: v.size, StartedAt: v.started + v.ahead, State: EndpointGone}
	if v.up {
		l.State = EndpointReady
	}
	return l
}

// live begins a life of the door beside those that it has.
func (s *coldSite) live(me int) *coldLife {
	l := &coldLife{site: s, me: me, open: map[RequestID]*coldTaken{}}
	terms := s.terms
	terms.InstanceIndex = me
	l.gate = New(s.now, s.r.Uint64(), terms, l)
	l.gate.UpdateEndpoints(s.now, CachedSnapshot, s.listed())
	s.lives[me] = append(s.lives[me], l)
	return l
}

// upgrade begins a new life of the door; the old one keeps a part of its traffic for the time that both overlap.
func (s *coldSite) upgrade(me int, overlap int64) {
	old := s.lives[me][0]
	s.live(me)
	s.at(s.now+overlap, func() {
		s.lives[me] = slices.DeleteFunc(s.lives[me], func(l *coldLife) bool { return l == old })
	})
	s.at(s.now+overlap+3*second, func() { old.dead = true })
}

// tell tells all doors of a backend, each a little later than the list.
func (s *coldSite) tell(v *coldServer) {
	for _, lives := range s.lives {
		for _, l := range lives {
			s.at(s.now+s.r.Int64N(100*millisecond), func() { l.gate.UpdateEndpoints(s.now, Delta, []Endpoint{v.listed()}) })
		}
	}
}

// fall ends a backend's life, and the shots there.
func (s *coldSite) fall(v *coldServer) {
	s.check(v)
	v.up, v.busy = false, 0
	for _, shot := range v.line {
		s.at(s.now, func() { s.end(shot, ConnectionLost) })
	}
	v.line = nil
	s.tell(v)
}

// rise starts it cold.
func (s *coldSite) rise(v *coldServer) {
	v.up, v.started, v.begun = true, s.now, nil
	s.tell(v)
}

// restart does both.
func (s *coldSite) restart(id BackendID) {
	v := s.servers[id]
	s.fall(v)
	s.at(s.now+400*millisecond, func() { s.rise(v) })
}

// replace starts one under a new id, and ends the old one.
func (s *coldSite) replace(old BackendID, size float64) {
	if s.servers[old] != nil {
		s.fall(s.servers[old])
	}
	s.add(old+1000, size, s.now)
	s.tell(s.servers[old+1000])
}

func (s *coldSite) arrive() {
	s.at(s.now+int64(s.r.ExpFloat64()/s.demand*float64(second)), func() {
		x := s.r.Float64() * s.weight[s.doors-1]
		me, _ := slices.BinarySearch(s.weight, x)
		if lives := s.lives[me]; len(lives) > 0 {
			s.take(lives[s.r.IntN(len(lives))])
		}
		s.arrive()
	})
}

func (s *coldSite) take(l *coldLife) {
	x := &coldTaken{id: RequestID(s.r.Uint64())}
	l.open[x.id] = x
	x.h = l.gate.Submit(s.now, RequestSpec{ID: x.id, Tenant: TenantID(s.r.IntN(8)), Remaining: 2 * second,
		Units: 1, EntryPoints: 1})
	if len(x.shots) == 0 {
		delete(l.open, x.id)
		return
	}
	s.at(s.now+2*second, func() {
		if !x.ended {
			x.ended = true
			x.h.HandleClientGone(s.now)
		}
		s.at(s.now+second, func() { delete(l.open, x.id) })
	})
}

// warmth is the part of its capacity that the server has.
func (s *coldSite) warmth(v *coldServer) float64 {
	if v.started == 0 || s.now-v.started >= s.warmUp {
		return 1
	}
	return s.share + (1-s.share)*float64(s.now-v.started)/float64(s.warmUp)
}

// begin brings a shot to its backend.
func (s *coldSite) begin(shot *coldShot) {
	switch v := shot.to; {
	case shot.done:
	case !v.up || v.started+v.ahead != shot.started:
		s.end(shot, ConnectFailed)
	default:
		v.begun = append(v.begun, s.now)
		if len(v.line) > int(10*s.cores) {
			s.end(shot, Rejected)
			return
		}
		v.line = append(v.line, shot)
		s.serve(v)
	}
}

func (s *coldSite) serve(v *coldServer) {
	for ; v.busy < int(s.cores) && v.busy < len(v.line); v.busy++ {
		shot, started := v.line[v.busy], v.started
		s.at(s.now+int64(shot.work*s.bears[len(s.bears)-1].slow/v.size/s.warmth(v)), func() {
			if v.started == started && v.up {
				v.line = slices.DeleteFunc(v.line, func(x *coldShot) bool { return x == shot })
				v.busy--
				s.at(s.now+s.far[shot.life.me], func() { s.end(shot, Succeeded) })
				s.serve(v)
			}
		})
	}
}

// end ends a shot, for its door.
func (s *coldSite) end(shot *coldShot, o Outcome) {
	if shot.done {
		return
	}
	shot.done = true
	if o == Canceled { // one that is worked on is worked on to its end
		v := shot.to
		if n := slices.Index(v.line, shot); n >= v.busy {
			v.line = slices.Delete(v.line, n, n+1)
		}
	}
	if shot.life.dead {
		return
	}
	over := shot.x.ended || o == Succeeded
	shot.x.ended = over
	shot.x.h.HandleAttemptResult(s.now, AttemptResult{Attempt: AttemptID(shot.n), Outcome: o,
		Elapsed: s.now - shot.sent, RequestDone: over})
}

// check holds what was sent to a backend in its life against the rule, in every window of the span.
func (s *coldSite) check(v *coldServer) {
	if v.started == 0 {
		return
	}
	s.worst.cold++
	first := 0
	for n, at := range v.begun {
		age := at - v.started
		if age >= s.warmUp {
			break
		}
		s.worst.sum++
		for v.begun[first] <= at-s.span {
			first++
		}
		multiple := 0.0
		for i, b := range s.bears { // the window may lie across a change
			if b.from <= at && (i+1 == len(s.bears) || s.bears[i+1].from > at-s.span) {
				multiple = max(multiple, b.multiple/b.slow)
			}
		}
		capacity := (s.share + (1-s.share)*float64(age)/float64(s.warmUp)) * v.size * s.capacity()
		bears := multiple * capacity * float64(s.span) / float64(second)
		bound := bears + 2*math.Sqrt(bears) + 2
		if sent := n + 1 - first; float64(sent)/bound > s.worst.part {
			s.worst.part, s.worst.sent, s.worst.n, s.worst.bound, s.worst.age = float64(sent)/bound, sent, bears, bound, age
		}
	}
}

var coldSettings = []coldSetting{
	{20, 12, 1, 100 * millisecond, 2, 0.2, second, 10 * second},
	{30, 12, 4, 150 * millisecond, 2.5, 0.3, 2 * second, 12 * second},
	{30, 10, 8, 200 * millisecond, 4, 0.45, second, 6 * second},
	{20, 12, 2, 100 * millisecond, 2, 0.18, 2 * second, 18 * second},
	{300, 12, 1, 150 * millisecond, 4, 0.25, 2 * second, 15 * second},
	{300, 6, 4, 100 * millisecond, 2.5, 0.35, second, 12 * second},
}

const coldAt = 12 * second // from the play's beginning, when the doors know their fleet

// third restarts a third of the backends at once.
func (s *coldSite) third() {
	for n := range max(s.backends/3, 1) {
		s.restart(BackendID(n + 1))
	}
}

var coldKinds = []struct {
	name string
	play func(s *coldSite)
}{
	{"a third restarts", func(s *coldSite) { s.in(coldAt, s.third) }},
	{"six in ten replaced in 7 s", func(s *coldSite) {
		for n := range s.backends * 6 / 10 {
			s.in(coldAt+int64(n)*7*second/int64(s.backends*6/10), func() { s.replace(BackendID(n+1), 1) })
		}
	}},
	{"doors upgraded by tenths", func(s *coldSite) {
		s.in(coldAt, s.third)
		for me := range s.doors {
			s.in(coldAt-2*second+int64(me*10/s.doors)*second, func() { s.upgrade(me, 3*second) })
		}
	}},
	{"one hot door, others thin", func(s *coldSite) {
		s.traffic(func(me int) float64 {
			if me == 3 {
				return float64(s.doors) / 2
			}
			return 0.5 + float64(me%4)/4
		})
		for me := range s.far {
			s.far[me] = int64(me%5) * 30 * millisecond
		}
		s.in(coldAt, s.third)
	}},
	{"settings told anew", func(s *coldSite) {
		s.in(coldAt, s.third)
		tell := func(multiple float64) func() {
			return func() {
				s.terms.OverloadMultiple = multiple
				s.bears = append(s.bears, coldBears{s.now, multiple, 1})
				for me, lives := range s.lives {
					for _, l := range lives {
						terms := s.terms
						terms.InstanceIndex = me
						l.gate.UpdateSettings(terms)
					}
				}
			}
		}
		s.in(coldAt+s.warmUp/4, tell(s.multiple))
		s.in(coldAt+s.warmUp/2, tell(s.multiple*1.5))
		s.in(coldAt+s.warmUp*3/4, tell(s.multiple))
	}},
	{"cold twice", func(s *coldSite) {
		s.in(coldAt, s.third)
		s.in(coldAt+2500*millisecond, s.third)
		s.in(coldAt+3*second+s.warmUp/2, s.third)
	}},
	{"traffic at a third of the doors", func(s *coldSite) {
		s.traffic(func(me int) float64 { return float64(1 - min(me%3, 1)) })
		s.in(coldAt, s.third)
	}},
	{"all get four times as slow", func(s *coldSite) {
		s.in(coldAt, s.third)
		s.in(coldAt+s.warmUp/2, func() { s.bears = append(s.bears, coldBears{s.now, s.multiple, 4}) })
	}},
	{"the doors with traffic change", func(s *coldSite) {
		for n := range 3 {
			s.in(int64(n)*4*second, func() { s.traffic(func(me int) float64 { return max(0.02, float64(1-min((me+n)%3, 1))) }) })
		}
		s.in(coldAt, func() { s.traffic(func(int) float64 { return 1 }) })
		s.in(coldAt, s.third)
	}},
	{"all start at once", func(s *coldSite) {
		for _, id := range s.ids {
			s.servers[id].started = s.now + 1
		}
	}},
	{"little traffic, then much", func(s *coldSite) {
		much := s.demand
		s.demand = much / 30
		s.in(coldAt, s.third)
		s.in(coldAt+s.warmUp/2, func() { s.demand = much })
	}},
	{"starts stated 30 s ahead", func(s *coldSite) {
		s.in(coldAt, func() {
			for n := range s.backends / 3 {
				s.servers[BackendID(n+1)].ahead = 30 * second
			}
			s.third()
		})
	}},
	{"sizes of 1/4, 1 and 4", func(s *coldSite) {
		for n, id := range s.ids {
			s.servers[id].size = []float64{0.25, 1, 4}[n%3]
		}
		s.in(coldAt, s.third)
	}},
	{"sizes of 4, then 1/2", func(s *coldSite) {
		for n, id := range s.ids {
			s.servers[id].size = 4
			if n%2 == 0 {
				s.in(coldAt, func() { s.replace(id, 0.5) })
			}
		}
		s.demand *= 4
	}},
}

// Failure: a cold backend whose clock is ahead got a burst, and one that is said to be small as much as a usual one.
// The rule on cold backends is for the sum of all doors: beyond the budget N only 2 x root N + 2 are chance.
// COLD_SEEDS=n plays each kind with n seeds. Connections come up together with the even ones, so both ways are
// played with every kind.
func TestColdBudgetHoldsForTheSumOfAllDoors(t *testing.T) {
	seeds := uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("COLD_SEEDS"), 10, 8); err == nil {
		seeds = n
	}
	for k, kind := range coldKinds {
		t.Run(kind.name, func(t *testing.T) {
			for i, c := range coldSettings {
				if c.doors == 300 && i%2 != k%2 { // these take the longest: each is played with every other kind
					continue
				}
				var worst coldWorst
				sum := 0
				for n := range seeds {
					s := newColdSite(t, c, uint64(k*7+i)+n)
					kind.play(s)
					s.start()
					s.pass(coldAt + 2*second + c.warmUp)
					if sum += s.worst.sum; s.worst.part > worst.part {
						worst = s.worst
					}
				}
				line := fmt.Sprintf("%s | %d of N %.1f, bound %.1f (%.2f) at %.1f s; %d in all", c, worst.sent,
					worst.n, worst.bound, worst.part, float64(worst.age)/float64(second), sum)
				if t.Log(line); worst.part > 1 {
					t.Errorf("rule 4: %s", line)
				}
				if sum == 0 {
					t.Errorf("nothing was sent to cold backends: %s", line)
				}
			}
		})
	}
}
