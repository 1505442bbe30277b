package policy_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"testing"

	"fawnplank/internal/monotime"
	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// This file models what the instances of a golden day share: the counter, the backends, the list and the clock.

// goldenWorld is everything that a day consists of.
type goldenWorld struct {
	day       goldenDay
	now       int64
	events    timerqueue.Queue[func()]
	random    *pcg.Source
	hash      hash.Hash
	buffer    []byte
	effects   int
	settings  policy.Settings
	instances []*goldenInstance
	backends  []*goldenBackend
	nextID    uint64
	nextBack  uint32
	listDown  int
	pauses    int // how many are under way in which no client comes
	counter   goldenCounter
}

type goldenCounter struct {
	totals                                map[policy.CounterKey]float64
	until                                 map[policy.CounterKey]int64
	refuses, hangs, rejects, breaks, slow int
}

type goldenBackend struct {
	id                                                  uint32
	zone, group                                         uint16
	size                                                float64
	state                                               policy.EndpointState
	started                                             int64
	working                                             int
	refuses, hangs, resets, errs, slow, unstarted, full int
}

func playGoldenDay(t *testing.T, day goldenDay) (sum string, effects int) {
	t.Helper()
	w := &goldenWorld{
		day:      day,
		now:      goldenStart,
		random:   pcg.New(day.seed),
		hash:     sha256.New(),
		settings: goldenSettings(),
	}
	w.counter.totals = map[policy.CounterKey]float64{}
	w.counter.until = map[policy.CounterKey]int64{}
	day.settings(&w.settings)
	w.settings.Instances = day.instances
	for range day.backends {
		w.addBackend(0)
	}
	for n := range day.instances {
		in := &goldenInstance{world: w, number: n}
		w.instances = append(w.instances, in)
		in.start(nil, 0)
	}
	w.arrive()
	w.observe()
	w.breakSomething()
	end := goldenStart + day.seconds*goldenSecond
	for {
		at, ok := w.events.NextDue(func(func()) bool { return false })
		if !ok || at.Nanos() > end {
			break
		}
		run, _ := w.events.PopDue(at)
		w.now = at.Nanos()
		run()
	}
	return hex.EncodeToString(w.hash.Sum(nil)), w.effects
}

// write hashes a record: its code, the time, the instance and the rest.
func (w *goldenWorld) write(code uint64, instance int, fields ...uint64) {
	b := w.buffer[:0]
	b = binary.LittleEndian.AppendUint64(b, code)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	b = binary.LittleEndian.AppendUint64(b, uint64(instance))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(fields)))
	for _, f := range fields {
		b = binary.LittleEndian.AppendUint64(b, f)
	}
	w.hash.Write(b)
	w.buffer = b
}

func (w *goldenWorld) effect(code uint64, instance int, fields ...uint64) {
	w.effects++
	w.write(code, instance, fields...)
}

// float returns a number's bits. NaN has many forms, and which one comes out is up to the compiler.
func float(x float64) uint64 {
	if math.IsNaN(x) {
		return 0x7ff8000000000001
	}
	return math.Float64bits(x)
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// at runs a function at a time, or now if that has passed.
func (w *goldenWorld) at(when int64, run func()) {
	w.events.Push(monotime.FromNanos(max(when, w.now)), run)
}

// instant returns the present time as engines see it.
func (w *goldenWorld) instant() policy.Instant { return monotime.FromNanos(w.now) }

// after runs a function after a time.
func (w *goldenWorld) after(wait int64, run func()) { w.at(w.now+wait, run) }

// randomInt draws a number from 0 on and below n.
func (w *goldenWorld) randomInt(n int) int { return int(w.random.Uint64() % uint64(n)) }

// happens draws whether something of the given probability happens.
func (w *goldenWorld) happens(probability float64) bool { return w.random.Float64() < probability }

// exponential draws a time of the given mean.
func (w *goldenWorld) exponential(mean int64) int64 {
	return int64(-math.Log(1-w.random.Float64()) * float64(mean))
}

func (w *goldenWorld) addBackend(started int64) *goldenBackend {
	w.nextBack++
	b := &goldenBackend{
		id:      w.nextBack,
		zone:    uint16(w.nextBack % 2),
		group:   uint16(w.nextBack % 3),
		size:    1 + float64(w.nextBack%3)/2,
		state:   policy.EndpointReady,
		started: started,
	}
	w.backends = append(w.backends, b)
	return b
}

func (b *goldenBackend) endpoint() policy.Endpoint {
	return policy.Endpoint{
		Backend:   policy.BackendID(b.id),
		Zone:      policy.ZoneID(b.zone),
		Group:     policy.GroupID(b.group),
		Weight:    b.size,
		State:     b.state,
		StartedAt: monotime.FromNanos(b.started),
	}
}

// announce delivers an entry of the list to every instance, to each after a random delay.
func (w *goldenWorld) announce(b *goldenBackend) {
	endpoint := b.endpoint()
	for _, in := range w.instances {
		incarnation := in.incarnation
		w.after(w.exponential(10*goldenMillisecond), func() {
			if in.engine != nil && in.incarnation == incarnation {
				in.engine.UpdateEndpoints(w.instant(), policy.Delta, []policy.Endpoint{endpoint})
			}
		})
	}
}

// arrive lets one client come and plans the next.
func (w *goldenWorld) arrive() {
	w.after(w.exponential(int64(float64(goldenSecond)/w.day.rate)), func() {
		if w.pauses > 0 {
			w.arrive()
			return
		}
		tenant := min(w.randomInt(w.day.tenants), w.randomInt(w.day.tenants)) // some are busier
		first := tenant % w.day.instances
		in := w.instances[(first+w.randomInt(w.day.entryPoints))%w.day.instances]
		class, plan := w.randomInt(len(w.settings.Classes)), tenant%len(w.settings.Plans)
		remaining := int64(w.settings.Classes[class].Deadline)
		if w.happens(0.05) {
			remaining = int64(float64(remaining) * (w.random.Float64() - 0.05))
		}
		units := []float64{0.25, 0.5, 1, 1, 1, 1, 2, 3.7}[w.randomInt(8)]
		switch w.randomInt(500) {
		case 0:
			class += 1000
		case 1:
			plan += 1000
		case 2:
			plan = w.randomInt(len(w.settings.Plans)) // the tenant changed its plan
		}
		if w.day.workByUnits {
			units *= units / 2
		}
		if w.day.zeroUnits && w.happens(0.3) {
			units = -1 + float64(w.randomInt(2)) // the engine takes a negative number for 0
		}
		if in.engine != nil {
			in.submit(class, plan, tenant, remaining, units, first)
		}
		w.arrive()
	})
}

// observe hashes what the instances answer to questions, twice a second.
func (w *goldenWorld) observe() {
	for _, in := range w.instances {
		if in.engine != nil {
			in.observe()
		}
	}
	w.after(goldenSecond/2, w.observe)
}

// during counts one more fault for a time. It is a count, because faults of a kind may overlap.
func (w *goldenWorld) during(active *int, duration int64) {
	*active++
	w.after(duration, func() { *active-- })
}
