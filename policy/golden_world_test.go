package policy_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"testing"

	"fawnplank/internal/pcg"
	"fawnplank/internal/timerqueue"
	"fawnplank/policy"
)

// This file models what the instances of a golden day share: the counter, the backends, the list and the clock.

// goldenWorld is all there is on a day.
type goldenWorld struct {
	day       goldenDay
	now       int64
	events    timerqueue.Queue[func()]
	chance    *pcg.Source
	hash      hash.Hash
	buffer    []byte
	effects   int
	settings  policy.Settings
	instances []*goldenInstance
	backends  []*goldenBackend
	nextID    uint64
	nextBack  uint32
	listDown  int
	lull      int // no client comes
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
	w := &goldenWorld{day: day, now: goldenStart, chance: pcg.New(day.seed), hash: sha256.New(), settings: goldenSettings()}
	w.counter.totals, w.counter.until = map[policy.CounterKey]float64{}, map[policy.CounterKey]int64{}
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
		if !ok || at > end {
			break
		}
		what, _ := w.events.PopDue(at)
		w.now = at
		what()
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

// float is a number's bits; what is no number has many forms, and which one comes out is up to the compiler.
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

func (w *goldenWorld) at(when int64, what func()) { w.events.Push(max(when, w.now), what) }

func (w *goldenWorld) after(wait int64, what func()) { w.at(w.now+wait, what) }

func (w *goldenWorld) below(n int) int { return int(w.chance.Uint64() % uint64(n)) }

func (w *goldenWorld) likely(part float64) bool { return w.chance.Float64() < part }

// about is a random time around the mean.
func (w *goldenWorld) about(mean int64) int64 {
	return int64(-math.Log(1-w.chance.Float64()) * float64(mean))
}

func (w *goldenWorld) addBackend(started int64) *goldenBackend {
	w.nextBack++
	b := &goldenBackend{id: w.nextBack, zone: uint16(w.nextBack % 2), group: uint16(w.nextBack % 3),
		size: 1 + float64(w.nextBack%3)/2, state: policy.EndpointReady, started: started}
	w.backends = append(w.backends, b)
	return b
}

func (b *goldenBackend) endpoint() policy.Endpoint {
	return policy.Endpoint{Backend: policy.BackendID(b.id), Zone: policy.ZoneID(b.zone), Group: policy.GroupID(b.group),
		Capacity: b.size, State: b.state, StartedAt: b.started}
}

// tell brings a change of the list to every instance, each a little later than the one before.
func (w *goldenWorld) announce(b *goldenBackend) {
	endpoint := b.endpoint()
	for _, in := range w.instances {
		incarnation := in.incarnation
		w.after(w.about(10*goldenMillisecond), func() {
			if in.engine != nil && in.incarnation == incarnation {
				in.engine.UpdateEndpoints(w.now, policy.Delta, []policy.Endpoint{endpoint})
			}
		})
	}
}

// arrive lets one client come and plans the next.
func (w *goldenWorld) arrive() {
	w.after(w.about(int64(float64(goldenSecond)/w.day.rate)), func() {
		if w.lull > 0 {
			w.arrive()
			return
		}
		tenant := min(w.below(w.day.tenants), w.below(w.day.tenants)) // some are busier
		first := tenant % w.day.instances
		in := w.instances[(first+w.below(w.day.entries))%w.day.instances]
		class, plan := w.below(len(w.settings.Classes)), tenant%len(w.settings.Plans)
		remaining := w.settings.Classes[class].Deadline
		if w.likely(0.05) {
			remaining = int64(float64(remaining) * (w.chance.Float64() - 0.05))
		}
		units := []float64{0.25, 0.5, 1, 1, 1, 1, 2, 3.7}[w.below(8)]
		switch w.below(500) {
		case 0:
			class += 1000
		case 1:
			plan += 1000
		case 2:
			plan = w.below(len(w.settings.Plans)) // the tenant changed its plan
		}
		if w.day.workByUnits {
			units *= units / 2
		}
		if w.day.zeroUnits && w.likely(0.3) {
			units = -1 + float64(w.below(2)) // below none is taken for none
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

// during counts up for a while: faults of a kind may overlap.
func (w *goldenWorld) during(n *int, wait int64) {
	*n++
	w.after(wait, func() { *n-- })
}
