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

// This file pins what the decisions do. Seeded days of several instances round one counter, one list and one
// set of backends, all modeled here in simulated time, are played, and every effect is hashed with its time,
// its instance and all its arguments. The encoding is of fixed numbers only: no name of the program is in it,
// so that no renaming changes a hash. A hash that changes means that a decision changed. The floating-point
// results behind them are those of amd64: a compiler that fuses multiply and add rounds otherwise.

const (
	goldenMillisecond = int64(1e6)
	goldenSecond      = int64(1e9)
	goldenStart       = int64(1_700_000_000e9)
)

// Codes of what is hashed. They are part of the golden hashes and must never change.
const (
	codeSend uint64 = iota + 1
	codeCancel
	codeReject
	codeAbort
	codeAdmit
	codeTimer
	codeAddToCounter
	codeCheckHealth
	codeWatch
	codeLog
	codeFinished
	codeQuota
	codeCounterStats
	codeBreaker
	codeExport
	codeRestart
	codeTimeouts
)

// goldenFaults says which kinds of fault a day has.
type goldenFaults struct {
	counter, backends, draining, slowStarts, list, restarts, updates, jams bool
}

// goldenDay is one row of the table.
type goldenDay struct {
	name                                  string
	seed                                  uint64
	instances, backends, tenants, entries int
	rate                                  float64 // requests a second
	seconds                               int64
	service                               int64   // usual service time of a backend
	leave, stream                         float64 // shares of the requests
	settings                              func(*policy.Settings)
	faults                                goldenFaults
	zeroUnits                             bool  // some requests have no units
	workByUnits                           bool  // small requests are much quicker
	calm                                  int64 // mean time between two faults
	minEffects                            int
	want                                  string
}

func goldenSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.ClassSettings{
			{LatencyObjective: 750 * goldenMillisecond, Deadline: 2 * goldenSecond, LateValue: 0.4},
			{LatencyObjective: 500 * goldenMillisecond, Deadline: 1500 * goldenMillisecond},
		},
		Plans: []policy.PlanSettings{
			{Rate: 6, Burst: 12, OverQuotaCost: 1},
			{Rate: 15, Burst: 20, OverQuotaCost: 0.5},
			{Rate: 2, Burst: 3, OverQuotaValue: 0.2, OverQuotaCost: 1.2},
		},
		MaxAttempts: 3, Cancellation: true, HealthChecks: true, RetryAfter: true, MaxRetryAfter: goldenSecond,
		CounterEnabled: true, CounterTimeout: 50 * goldenMillisecond, DrainGrace: goldenSecond,
		SlowStartShare: 0.2, SlowStartDuration: 6 * goldenSecond, OverloadMultiple: 2, OverloadWindow: goldenSecond,
	}
}

// everyEffect is a class for each idempotency and each scope of it.
func everyIdempotency() []policy.ClassSettings {
	classes := []policy.ClassSettings{
		{Idempotency: policy.Idempotent},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByAll, DedupWindow: 800 * goldenMillisecond},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByZone, DedupWindow: goldenSecond},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByGroup, DedupWindow: 600 * goldenMillisecond},
		{Idempotency: policy.NonIdempotent},
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByAll, DedupWindow: 200 * goldenMillisecond}, // gone before a retry is
		{Idempotency: policy.IdempotentWithKey, DedupScope: policy.DedupByGroup, DedupWindow: 120 * goldenMillisecond},
	}
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Deadline = 600*goldenMillisecond, 2*goldenSecond
		classes[i].LateValue = float64(i%2) / 2
	}
	// Long enough for several attempts one after another, up to the last that is worth sending.
	return append(classes, policy.ClassSettings{LatencyObjective: 1500 * goldenMillisecond, Deadline: 2 * goldenSecond})
}

// everySilence is a class for each way to decide while the counter gives no answer.
func everyFallbackMode() []policy.ClassSettings {
	var classes []policy.ClassSettings
	for _, mode := range []policy.FallbackMode{policy.LocalShare, policy.FailOpen, policy.FailClosed} {
		classes = append(classes, policy.ClassSettings{LatencyObjective: 750 * goldenMillisecond,
			Deadline: 2 * goldenSecond, FallbackMode: mode, LateValue: 0.3})
	}
	return classes
}

var goldenDays = []goldenDay{
	{
		name: "quota", seed: 1, instances: 4, backends: 6, tenants: 12, entries: 3, rate: 300, seconds: 20,
		service: 30 * goldenMillisecond, leave: 0.02, minEffects: 5000,
		settings: func(t *policy.Settings) {},
		want:     "9110e0724060f40faa119561907447f28b254c0c4e03692e47013edadfa5390c",
	},
	{
		name: "hard quota and concurrency", seed: 2, instances: 4, backends: 6, tenants: 16, entries: 4, rate: 300, seconds: 20,
		service: 60 * goldenMillisecond, leave: 0.02, stream: 0.2, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.PostPaid = true
			t.Plans = []policy.PlanSettings{
				{Rate: 10, Burst: 20, ConcurrencyLimit: 3, OverQuotaCost: 1},
				{Rate: 8, Burst: 10, HardQuotaRate: 10, HardQuotaBurst: 15, OverQuotaValue: 1, OverQuotaCost: 0.3},
				{ConcurrencyLimit: 4},
				{HardQuotaRate: 6, HardQuotaBurst: 9},
				{Rate: 20, Burst: 10, ConcurrencyLimit: 6, HardQuotaRate: 15, HardQuotaBurst: 30, OverQuotaCost: 0.8},
			}
		},
		want: "452a1a542da134ab658b6d55480942c69df5c90c9fbc213e2063cc23a4acfa41",
	},
	{
		name: "counter outage", seed: 3, instances: 5, backends: 6, tenants: 12, entries: 4, rate: 350, seconds: 60,
		service: 30 * goldenMillisecond, leave: 0.02, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.Classes = everyFallbackMode()
			t.Plans = append(t.Plans, policy.PlanSettings{Rate: 10, Burst: 15, ConcurrencyLimit: 3, OverQuotaCost: 0.9},
				policy.PlanSettings{Rate: 8, Burst: 40, HardQuotaRate: 12, HardQuotaBurst: 30})
		},
		faults: goldenFaults{counter: true},
		calm:   2500 * goldenMillisecond,
		want:   "3512d295feb41902f09c7b06b905dcf90064f3eaaa07fd06b46d6be021c0f717",
	},
	{
		name: "draining and zones", seed: 4, instances: 6, backends: 9, tenants: 20, entries: 3, rate: 300, seconds: 40,
		service: 40 * goldenMillisecond, leave: 0.03, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.PollEndpoints, t.PollTimeout, t.CrossZoneCost = true, 8*goldenSecond, 0.1
		},
		faults: goldenFaults{draining: true, list: true, backends: true},
		calm:   700 * goldenMillisecond,
		want:   "016ffbd41dae9066dfb2ad114734541ac889854a67644a679b2b69a0e6d8598f",
	},
	{
		name: "slow starts", seed: 5, instances: 20, backends: 12, tenants: 40, entries: 8, rate: 400, seconds: 40,
		service: 50 * goldenMillisecond, leave: 0.02, minEffects: 5000,
		settings: func(t *policy.Settings) { t.DrainGrace = 0 },
		faults:   goldenFaults{slowStarts: true, restarts: true},
		calm:     goldenSecond,
		want:     "e64bba705e97aab0f2613153777d3e77f9fa71dffbcf4e24a1c5fafc44cdfdab",
	},
	{
		name: "hedged attempts", seed: 6, instances: 3, backends: 6, tenants: 12, entries: 3, rate: 150, seconds: 40,
		service: 30 * goldenMillisecond, leave: 0.05, stream: 0.1, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.Hedging, t.MaxAttempts, t.Classes = true, 4, everyIdempotency()
		},
		faults: goldenFaults{backends: true},
		calm:   goldenSecond / 2,
		want:   "488888140ee3d0acdb97a6172d2bc2962b79033079be4c9d3ef5bceeaca4cfd6",
	},
	{
		name: "hedged and never canceled", seed: 7, instances: 2, backends: 5, tenants: 8, entries: 2, rate: 150, seconds: 40,
		service: 30 * goldenMillisecond, leave: 0.7, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.Hedging, t.Cancellation, t.HealthChecks, t.RetryAfter, t.Classes = true, false, false, false, everyIdempotency()
		},
		faults: goldenFaults{backends: true, draining: true},
		calm:   goldenSecond / 2,
		want:   "8bf5956c131e1721fd25a3c44d736adff3e2a8ba2b4d2242a1d5d063067e0e49",
	},
	{
		name: "keyed and unsafe with cancels", seed: 8, instances: 3, backends: 6, tenants: 12, entries: 2, rate: 150, seconds: 40,
		service: 30 * goldenMillisecond, leave: 0.05, stream: 0.1, minEffects: 5000,
		settings: func(t *policy.Settings) { t.Classes = everyIdempotency() },
		faults:   goldenFaults{backends: true, slowStarts: true},
		calm:     goldenSecond / 2,
		want:     "b4468a0ef15e9028eba9e12af47f6e95852c780798bef3d526dafe7c886b9618",
	},
	{
		name: "keyed and unsafe with expiry", seed: 9, instances: 3, backends: 6, tenants: 12, entries: 2, rate: 150, seconds: 40,
		service: 30 * goldenMillisecond, leave: 0.05, stream: 0.05, minEffects: 5000,
		settings: func(t *policy.Settings) { t.Classes, t.Cancellation, t.MaxAttempts = everyIdempotency(), false, 5 },
		faults:   goldenFaults{backends: true, slowStarts: true, draining: true},
		calm:     goldenSecond / 2,
		want:     "246c2a7a5ca95694adddec843ec747987f6fce835983f4bdd9f20d8a3a2530c6",
	},
	{
		name: "alone without a counter", seed: 10, instances: 1, backends: 4, tenants: 6, entries: 1, rate: 120, seconds: 60,
		service: 40 * goldenMillisecond, leave: 0.02, minEffects: 3000,
		settings: func(t *policy.Settings) {
			t.CounterEnabled, t.PostPaid = false, true
			t.Plans = append(t.Plans, policy.PlanSettings{HardQuotaRate: 8, HardQuotaBurst: 9})
			t.Classes = append(t.Classes, policy.ClassSettings{LatencyObjective: 400 * goldenMillisecond,
				Deadline: goldenSecond, CheckOnly: true})
		},
		faults: goldenFaults{restarts: true},
		calm:   4 * goldenSecond,
		want:   "1aa00903ac0bbea9b38f94fa6cf9bdd10253255cd3eb4d935e5503b7eab29e61",
	},
	{
		name: "counts only and tiny windows", seed: 11, instances: 3, backends: 4, tenants: 14, entries: 3, rate: 250, seconds: 30,
		service: 20 * goldenMillisecond, leave: 0.02, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.Plans = []policy.PlanSettings{{Rate: 100, Burst: 1}, {Rate: 50, Burst: 10, HardQuotaRate: 40, HardQuotaBurst: 5},
				{Rate: 1e9}, {Rate: 1e-9, Burst: 1e9}, {Rate: 4, Burst: 2, ConcurrencyLimit: 2}, {Rate: 1000, Burst: 20, ConcurrencyLimit: 1e7}}
			t.Classes = append(t.Classes, policy.ClassSettings{LatencyObjective: 400 * goldenMillisecond,
				Deadline: goldenSecond, CheckOnly: true}, policy.ClassSettings{LatencyObjective: 400 * goldenMillisecond,
				Deadline: goldenSecond, CheckOnly: true, FallbackMode: policy.FailOpen})
		},
		faults: goldenFaults{counter: true},
		calm:   goldenSecond,
		want:   "226389eaa13ce64438f8846d49b615217a3b5b4f474e73201deea7d3ee562270",
	},
	{
		name: "concurrency near its limit", seed: 14, instances: 4, backends: 10, tenants: 6, entries: 4, rate: 250, seconds: 40,
		service: 100 * goldenMillisecond, leave: 0.02, stream: 0.1, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.CounterTimeout = 20 * goldenMillisecond
			t.Classes = append(t.Classes, everyFallbackMode()...)
			t.Plans = []policy.PlanSettings{{ConcurrencyLimit: 7}, {Rate: 30, Burst: 40, ConcurrencyLimit: 8, OverQuotaCost: 0.7}, {ConcurrencyLimit: 9},
				{Rate: 12, Burst: 30, ConcurrencyLimit: 5, OverQuotaCost: 1}}
		},
		faults: goldenFaults{counter: true, restarts: true},
		calm:   goldenSecond,
		want:   "4bba4d4bede0d62a1e22908416c7b56dd4f6d06a962e88a108d9c8ff41bb030f",
	},
	{
		name: "jams", seed: 15, instances: 3, backends: 5, tenants: 12, entries: 3, rate: 120, seconds: 60,
		service: 160 * goldenMillisecond, leave: 0.1, minEffects: 5000,
		settings: func(t *policy.Settings) {
			t.Classes = everyIdempotency()
			t.Plans = []policy.PlanSettings{{}, {Rate: 20, Burst: 40, OverQuotaCost: 1}}
		},
		faults: goldenFaults{jams: true, backends: true, counter: true},
		calm:   goldenSecond,
		want:   "cba5b2d456dddf1028a3c7c0c331017c734460b57e8ed6f01f5af47a79ab681b",
	},
	{
		name: "work grows with the units", seed: 16, instances: 3, backends: 6, tenants: 12, entries: 3, rate: 150, seconds: 30,
		service: 60 * goldenMillisecond, leave: 0.02, minEffects: 5000, workByUnits: true,
		settings: func(t *policy.Settings) {
			t.Plans = []policy.PlanSettings{{}, {Rate: 20, Burst: 40, OverQuotaCost: 1}}
		},
		faults: goldenFaults{backends: true},
		calm:   goldenSecond,
		want:   "53570b0dec1ffe3561bc5066694459b9bd5d273fa94fac49087ffc3092889230",
	},
	{
		// A request of no units under a quota makes the measured share of the plan no number (0/0), and what is
		// counted after it too. The day is apart so that the others are not blind from there on.
		name: "requests without units", seed: 13, instances: 3, backends: 4, tenants: 9, entries: 3, rate: 300, seconds: 20,
		service: 20 * goldenMillisecond, leave: 0.02, minEffects: 2000, zeroUnits: true,
		settings: func(t *policy.Settings) {},
		faults:   goldenFaults{counter: true},
		calm:     goldenSecond,
		want:     "89f817ddb8b5f28b0315bbbb03de0c3c75c2aac358b959ce9066167c1149d418",
	},
	{
		name: "everything at once", seed: 12, instances: 8, backends: 10, tenants: 30, entries: 5, rate: 350, seconds: 90,
		service: 40 * goldenMillisecond, leave: 0.05, stream: 0.05, minEffects: 20000,
		settings: func(t *policy.Settings) {
			t.Hedging, t.PostPaid, t.CrossZoneCost = true, true, 0.05
			t.Classes = append(everyIdempotency(), everyFallbackMode()...)
			t.Classes = append(t.Classes, policy.ClassSettings{LatencyObjective: 400 * goldenMillisecond,
				Deadline: goldenSecond, CheckOnly: true})
			t.Plans = append(t.Plans, policy.PlanSettings{Rate: 12, Burst: 24, ConcurrencyLimit: 4, OverQuotaCost: 0.7},
				policy.PlanSettings{Rate: 8, Burst: 12, HardQuotaRate: 10, HardQuotaBurst: 12, OverQuotaValue: 0.6, OverQuotaCost: 0.5},
				policy.PlanSettings{})
		},
		faults: goldenFaults{counter: true, backends: true, draining: true, slowStarts: true, list: true, restarts: true, updates: true},
		calm:   700 * goldenMillisecond,
		want:   "296105e252a65983b9bc11c44e57515a6c5ae77aeba50d180d7af610e4714348",
	},
}

func TestGoldenDays(t *testing.T) {
	for _, day := range goldenDays {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			sum, effects := playGoldenDay(t, day)
			if sum != day.want {
				t.Errorf("%d effects have the hash\n%s, want\n%s: a decision changed", effects, sum, day.want)
			}
			if effects < day.minEffects {
				t.Errorf("%d effects, want %d at least: the day has become empty", effects, day.minEffects)
			}
		})
	}
}

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

// breakSomething begins one fault of the day's kinds and plans the next.
func (w *goldenWorld) breakSomething() {
	if w.day.faults == (goldenFaults{}) {
		return
	}
	w.after(goldenSecond/10+w.about(w.day.calm), func() {
		var kinds []func()
		f := w.day.faults
		if f.counter {
			kinds = append(kinds, w.breakCounter)
		}
		if f.backends {
			kinds = append(kinds, w.breakBackend)
		}
		if f.draining {
			kinds = append(kinds, w.drainBackend)
		}
		if f.slowStarts {
			kinds = append(kinds, w.startBackend)
		}
		if f.list {
			kinds = append(kinds, w.breakList)
		}
		if f.restarts {
			kinds = append(kinds, w.restartInstance)
		}
		if f.jams {
			kinds = append(kinds, w.jam)
		}
		if f.updates {
			kinds = append(kinds, w.updateSettings)
		}
		kinds[w.below(len(kinds))]()
		w.breakSomething()
	})
}

func (w *goldenWorld) breakCounter() {
	c, long := &w.counter, goldenSecond/5+w.about(goldenSecond)
	switch w.below(6) {
	case 0:
		w.during(&c.refuses, long)
	case 1:
		w.during(&c.hangs, long)
	case 2:
		w.during(&c.rejects, long)
	case 3:
		w.during(&c.breaks, long)
	case 4:
		w.during(&c.slow, long)
	case 5:
		clear(c.totals)
		clear(c.until)
	}
}

func (w *goldenWorld) breakBackend() {
	b, long := w.backends[w.below(len(w.backends))], goldenSecond/2+w.about(2*goldenSecond)
	switch w.below(7) {
	case 0:
		w.during(&b.refuses, long)
	case 1:
		w.during(&b.hangs, long)
	case 2:
		w.during(&b.resets, long)
	case 3:
		w.during(&b.errs, long)
	case 4:
		w.during(&b.slow, long)
	case 5:
		w.during(&b.unstarted, long)
	case 6:
		w.during(&b.full, long)
	}
}

// jam makes every backend hang, or slow, for a while.
func (w *goldenWorld) jam() {
	if w.likely(0.4) {
		w.after(goldenSecond, func() { w.during(&w.lull, 7*goldenSecond) })
	}
	long, hang := 2*goldenSecond+w.about(2*goldenSecond), w.likely(0.5)
	for _, b := range w.backends {
		if hang {
			w.during(&b.hangs, long)
		} else {
			w.during(&b.slow, long)
		}
	}
}

func (w *goldenWorld) drainBackend() {
	b := w.backends[w.below(len(w.backends))]
	b.state = policy.EndpointDraining
	w.announce(b)
	w.after(goldenSecond+w.about(goldenSecond), func() {
		if w.likely(0.5) {
			b.state = policy.EndpointReady
			w.announce(b)
			return
		}
		w.replace(b)
	})
}

// replace takes a backend off the list for ever; another comes warming up under a new id.
func (w *goldenWorld) replace(b *goldenBackend) {
	b.state = policy.EndpointGone
	w.announce(b)
	for i := range w.backends {
		if w.backends[i] == b {
			w.backends = append(w.backends[:i], w.backends[i+1:]...)
			break
		}
	}
	w.announce(w.addBackend(w.now))
}

// startBackend starts a backend anew, warming up.
func (w *goldenWorld) startBackend() {
	b := w.backends[w.below(len(w.backends))]
	w.during(&b.refuses, goldenSecond/2)
	w.after(goldenSecond/2, func() {
		b.state, b.started = policy.EndpointReady, w.now
		w.announce(b)
	})
}

func (w *goldenWorld) breakList() { w.during(&w.listDown, goldenSecond+w.about(2*goldenSecond)) }

func (w *goldenWorld) restartInstance() {
	in := w.instances[w.below(len(w.instances))]
	if in.engine == nil {
		return
	}
	exported, since := in.engine.ExportState(), w.now
	in.stop()
	w.after(w.about(goldenSecond), func() { in.start(&exported, w.now-since) })
}

// updateTerms gives all instances new settings: rows are added, and a few figures change.
func (w *goldenWorld) updateSettings() {
	if len(w.settings.Plans) > 12 {
		return
	}
	w.settings.Plans = append(w.settings.Plans[:len(w.settings.Plans):len(w.settings.Plans)],
		policy.PlanSettings{Rate: 5 + float64(w.below(10)), Burst: 10, ConcurrencyLimit: w.below(3), OverQuotaCost: 0.6})
	w.settings.Classes = append(w.settings.Classes[:len(w.settings.Classes):len(w.settings.Classes)],
		policy.ClassSettings{LatencyObjective: 300 * goldenMillisecond, Deadline: goldenSecond})
	w.settings.MaxRetryAfter += 100 * goldenMillisecond
	for _, in := range w.instances {
		if in.engine != nil {
			in.engine.UpdateSettings(in.settings())
		}
	}
}

// goldenInstance is one instance: its decisions, and their effects.
type goldenInstance struct {
	world       *goldenWorld
	number      int
	incarnation int
	engine      *policy.Engine
	open        map[policy.RequestID]*goldenRequest
	calls       map[policy.CounterKey][]*goldenCall
}

type goldenRequest struct {
	in          *goldenInstance
	id          policy.RequestID
	handle      *policy.Request
	incarnation int
	limit       int64
	class       int
	units       float64
	ended       bool
	streams     bool
	attempts    []*goldenAttempt
}

type goldenAttempt struct {
	request          *goldenRequest
	number           int
	to               *goldenBackend
	sent             int64
	started, settled bool
}

type goldenCall struct {
	outcome policy.Outcome
	total   float64
	done    bool
}

func (in *goldenInstance) settings() policy.Settings {
	settings := in.world.settings
	settings.InstanceIndex, settings.Zone = in.number, policy.ZoneID(in.number%2)
	return settings
}

func (in *goldenInstance) start(exported *policy.WarmStartState, age int64) {
	w := in.world
	in.incarnation++
	in.open, in.calls = map[policy.RequestID]*goldenRequest{}, map[policy.CounterKey][]*goldenCall{}
	w.write(codeRestart, in.number, uint64(in.incarnation))
	in.engine = policy.New(w.now, w.chance.Uint64(), in.settings(), in)
	if !w.settings.PollEndpoints {
		in.list(policy.FullSnapshot)
	}
	if exported != nil {
		in.engine.ImportState(w.now, *exported, age)
	}
}

func (in *goldenInstance) stop() {
	in.incarnation++
	in.engine = nil
}

// later does something unless the instance has been stopped by then.
func (in *goldenInstance) later(wait int64, what func()) {
	incarnation := in.incarnation
	in.world.after(wait, func() {
		if in.incarnation == incarnation {
			what()
		}
	})
}

func (in *goldenInstance) list(how policy.UpdateKind) {
	var endpoints []policy.Endpoint
	for _, b := range in.world.backends {
		endpoints = append(endpoints, b.endpoint())
	}
	in.engine.UpdateEndpoints(in.world.now, how, endpoints)
}

func (in *goldenInstance) submit(class, plan, tenant int, remaining int64, units float64, first int) {
	w := in.world
	w.nextID++
	r := &goldenRequest{in: in, id: policy.RequestID(w.nextID), incarnation: in.incarnation, limit: w.now + remaining,
		class: class, units: units, streams: w.likely(w.day.stream)}
	in.open[r.id] = r
	r.handle = in.engine.Submit(w.now, policy.RequestSpec{
		ID: r.id, Class: policy.ClassID(class), Plan: policy.PlanID(plan), Tenant: policy.TenantID(tenant),
		Remaining: remaining, Units: units, EntryPoints: w.day.entries, FirstInstance: first,
	})
	if w.likely(w.day.leave) {
		stays := w.about(200 * goldenMillisecond)
		if w.likely(0.3) { // nearly to the end
			stays = max(remaining-w.about(20*goldenMillisecond), 0)
		}
		in.later(stays, func() {
			if !r.ended {
				r.ended = true
				r.handle.HandleClientGone(w.now)
				r.finished()
			}
		})
	}
}

// finished hashes whether anything more is to come.
func (r *goldenRequest) finished() {
	r.in.world.write(codeFinished, r.in.number, uint64(r.id), bit(r.handle.Done()))
}

func (in *goldenInstance) observe() {
	w, g := in.world, in.engine
	open, part := g.BreakerStatus()
	w.write(codeBreaker, in.number, bit(open), float(part))
	o := g.CounterStats()
	// The sums run over a map, so that their last bits differ from run to run. The offset keeps the sums of
	// round numbers away from the bounds between two steps.
	round := func(x float64) uint64 { return uint64(int64(math.Floor(x*1000 + 0.31731))) }
	w.write(codeCounterStats, in.number, bit(o.BreakerOpen), float(o.CallShare), round(o.UnreportedUnits), round(o.LostUnits),
		round(o.ReconciledUnits), round(o.DriftUnits), uint64(o.Tenants))
	for tenant := range w.day.tenants {
		plan := tenant % (len(w.settings.Plans) + 1)
		if tenant%3 > 0 {
			plan = tenant % len(w.settings.Plans)
		}
		q, ok := g.QuotaStatus(w.now, policy.TenantID(tenant), policy.PlanID(plan), w.day.entries)
		w.write(codeQuota, in.number, bit(ok), float(q.Limit), float(q.Rate),
			float(q.Used), bit(q.FromCounter), float(q.HardQuotaLeft))
	}
	l := g.ExportState()
	fields := []uint64{float(l.BaselineLatency), float(l.Samples)}
	for _, b := range l.Backends {
		fields = append(fields, uint64(b.Backend), uint64(b.StartedAt), float(b.BaselineLatency), float(b.Samples))
	}
	w.write(codeExport, in.number, fields...)
	d := in.settings().DiscoveryTimeouts()
	w.write(codeTimeouts, in.number, uint64(d.Watch), uint64(d.Lateness), uint64(d.Snapshot), uint64(d.RetryDelay))
}

func (in *goldenInstance) Send(id policy.RequestID, b policy.BackendID, expireAt, beginBefore int64) {
	w := in.world
	w.effect(codeSend, in.number, uint64(id), uint64(b), uint64(expireAt), uint64(beginBefore))
	r := in.open[id]
	a := &goldenAttempt{request: r, number: len(r.attempts), sent: w.now, to: &goldenBackend{refuses: 1}}
	for _, x := range w.backends {
		if x.id == uint32(b) {
			a.to = x
		}
	}
	r.attempts = append(r.attempts, a)
	until := r.limit
	if expireAt > 0 {
		until = min(until, expireAt)
	}
	in.later(until-w.now, func() {
		if !a.started {
			a.settle(policy.TimedOut, 0)
		}
	})
	a.run()
}

// run decides how the backend deals with an attempt, and when.
//
//nolint:gocognit // of this pinned file only names may change
func (a *goldenAttempt) run() {
	r, b, w := a.request, a.to, a.request.in.world
	outcome, took := policy.Succeeded, int64(0)
	switch {
	case b.unstarted > 0 && w.likely(0.3):
		outcome = policy.NotSent
	case b.refuses > 0:
		outcome = policy.ConnectFailed
	case b.full > 0 || b.working >= 8:
		outcome = policy.Rejected
	case b.hangs > 0:
		return
	default:
		took = w.day.service/2 + w.about(w.day.service/2)
		took = int64(float64(took) * (0.5 + r.units/2) * (1 + float64(b.working)/4) / b.size)
		if w.day.workByUnits {
			took = int64(float64(w.day.service) * r.units * (0.95 + w.chance.Float64()/10))
		}
		if b.slow > 0 {
			took *= 12
		}
		if warmUp := w.settings.SlowStartDuration; b.started > 0 && w.now-b.started < warmUp {
			took += 3 * took * (warmUp - (w.now - b.started)) / warmUp
		}
		if b.resets > 0 || w.likely(0.003) {
			outcome, took = policy.ConnectionLost, took/3
		} else if b.errs > 0 || w.likely(0.005) {
			outcome = policy.Failed
		}
		b.working++
		w.after(took, func() { b.working-- })
	}
	if r.streams && outcome == policy.Succeeded {
		r.in.later(took/2, func() {
			if !a.settled && !r.ended {
				a.started = true
				r.handle.HandleResponseStarted(w.now, policy.AttemptID(a.number))
			}
		})
	}
	units := r.units * []float64{0.5, 1, 2}[w.below(3)]
	r.in.later(took+w.about(goldenMillisecond), func() { a.settle(outcome, units) })
}

// settle reports to the instance how an attempt ended, once.
func (a *goldenAttempt) settle(o policy.Outcome, units float64) {
	r, w := a.request, a.request.in.world
	if a.settled {
		return
	}
	a.settled = true
	if o == policy.Succeeded || a.started {
		r.ended = true
	}
	result := policy.AttemptResult{Attempt: policy.AttemptID(a.number), Outcome: o, Elapsed: w.now - a.sent,
		RequestDone: r.ended, TrueUnits: units}
	r.handle.HandleAttemptResult(w.now, result)
	r.finished()
	if w.likely(0.01) { // twice, and one that was never sent
		r.handle.HandleAttemptResult(w.now, result)
		result.Attempt = 200
		r.handle.HandleAttemptResult(w.now, result)
	}
}

func (in *goldenInstance) Cancel(id policy.RequestID, n policy.AttemptID) {
	in.world.effect(codeCancel, in.number, uint64(id), uint64(n))
	a := in.open[id].attempts[n]
	in.later(goldenMillisecond/4, func() { a.settle(policy.Canceled, 0) })
}

func (in *goldenInstance) Reject(id policy.RequestID, retryAfter int64) {
	in.world.effect(codeReject, in.number, uint64(id), uint64(retryAfter))
	in.open[id].ended = true
}

func (in *goldenInstance) Abort(id policy.RequestID) {
	in.world.effect(codeAbort, in.number, uint64(id))
	in.open[id].ended = true
}

func (in *goldenInstance) Admit(id policy.RequestID) {
	in.world.effect(codeAdmit, in.number, uint64(id))
	in.open[id].ended = true
}

func (in *goldenInstance) WakeAt(at int64, timer uint64) {
	w := in.world
	w.effect(codeTimer, in.number, uint64(at), timer)
	early := int64(0)
	if timer > 0 && w.likely(0.02) { // a coarse clock wakes a little early
		early = goldenMillisecond / 10
	}
	in.later(at-w.now-early, func() { in.engine.HandleTimer(w.now, timer) })
}

func (in *goldenInstance) CheckHealth(b policy.BackendID) {
	w := in.world
	w.effect(codeCheckHealth, in.number, uint64(b))
	if w.likely(0.2) {
		return // its answer is lost
	}
	in.later(2*goldenMillisecond+w.about(goldenMillisecond), func() {
		outcome := policy.ConnectFailed
		for _, x := range w.backends {
			if x.id == uint32(b) && x.refuses == 0 && x.hangs == 0 {
				outcome = policy.Succeeded
			}
		}
		in.engine.HandleHealthCheck(w.now, b, outcome)
	})
}

func (in *goldenInstance) WatchEndpoints() {
	w := in.world
	w.effect(codeWatch, in.number)
	in.later(5*goldenMillisecond+w.about(10*goldenMillisecond), func() {
		switch {
		case w.listDown > 0 && w.likely(0.1):
			in.list(policy.CachedSnapshot)
		case w.listDown > 0:
			in.engine.UpdateEndpoints(w.now, policy.UpdateFailed, nil)
		default:
			in.list(policy.FullSnapshot)
			if w.day.faults.list { // the watch breaks at times
				in.later(w.about(4*goldenSecond), func() { in.engine.UpdateEndpoints(w.now, policy.UpdateFailed, nil) })
			}
		}
	})
}

func (in *goldenInstance) Log(text string) {
	fields := []uint64{uint64(len(text))}
	for _, b := range []byte(text) {
		fields = append(fields, uint64(b))
	}
	in.world.effect(codeLog, in.number, fields...)
}

func (in *goldenInstance) AddToCounter(name policy.CounterKey, units float64, lifetime int64) {
	w, c := in.world, &in.world.counter
	w.effect(codeAddToCounter, in.number, uint64(name), float(units), uint64(lifetime))
	call := &goldenCall{}
	in.calls[name] = append(in.calls[name], call)
	add := func() float64 {
		if c.until[name] <= w.now {
			c.totals[name], c.until[name] = 0, w.now+lifetime
		}
		c.totals[name] = float64(float32(c.totals[name] + units)) // the counter reports seven digits
		return c.totals[name]
	}
	way := goldenMillisecond/2 + w.about(goldenMillisecond/2)
	in.later(w.settings.CounterTimeout, func() { in.answer(name, call, policy.TimedOut, 0) })
	switch {
	case c.refuses > 0:
		in.later(way, func() { in.answer(name, call, policy.ConnectFailed, 0) })
	case c.hangs > 0 && w.likely(0.5):
	case c.hangs > 0:
		w.after(2*w.settings.CounterTimeout, func() { add() }) // added too late
	case c.rejects > 0 && w.likely(0.4):
		in.later(way, func() { in.answer(name, call, policy.Rejected, 0) })
	case c.breaks > 0 && w.likely(0.5):
		w.after(way, func() { add() })
		in.later(2*way, func() { in.answer(name, call, policy.ConnectionLost, 0) })
	default:
		if c.slow > 0 {
			way += w.about(40 * goldenMillisecond)
		}
		w.after(way, func() {
			total := add()
			in.later(way, func() { in.answer(name, call, policy.Succeeded, total) })
		})
	}
}

// answer brings the answers for a name in the order of the calls.
func (in *goldenInstance) answer(name policy.CounterKey, call *goldenCall, o policy.Outcome, total float64) {
	if call.done || in.engine == nil {
		return
	}
	call.done, call.outcome, call.total = true, o, total
	for len(in.calls[name]) > 0 && in.calls[name][0].done {
		first := in.calls[name][0]
		if in.calls[name] = in.calls[name][1:]; len(in.calls[name]) == 0 {
			delete(in.calls, name)
		}
		in.engine.HandleCounterResult(in.world.now, first.outcome, name, first.total)
	}
	if in.world.likely(0.002) { // an answer to no call
		in.engine.HandleCounterResult(in.world.now, o, name+1, total)
	}
}
