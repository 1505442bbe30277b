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

// This file simulates what the instances of a golden scenario share: counter, backends, endpoint list and clock.

// goldenSimulation is the state of a running golden scenario.
type goldenSimulation struct {
	scenario         goldenScenario
	now              int64
	events           timerqueue.Queue[func()]
	random           *pcg.Source
	hash             hash.Hash
	buffer           []byte
	effects          int
	settings         policy.Settings
	instances        []*goldenInstance
	backends         []*goldenBackend
	lastRequestID    uint64
	lastBackendID    uint32
	discoveryOutages int
	arrivalPauses    int // number of active pauses in which no requests arrive
	counter          goldenCounter
}

// goldenCounter is the simulated counter. Its integer fields count the active faults of each kind.
type goldenCounter struct {
	totals                                            map[policy.CounterKey]float64
	expiresAt                                         map[policy.CounterKey]int64
	refusing, hanging, rejecting, disconnecting, slow int
}

// goldenBackend is a simulated backend. The integer fields from refusing to full count its active faults of each
// kind.
type goldenBackend struct {
	id                                                            uint32
	zone, group                                                   uint16
	relativeCapacity                                              float64
	state                                                         policy.EndpointState
	started                                                       int64 // start time; 0: long ago
	inService                                                     int
	refusing, hanging, resetting, failing, slow, notSending, full int
}

// runGoldenScenario runs a scenario and returns the hash of its records and the number of effects.
func runGoldenScenario(t *testing.T, scenario goldenScenario) (sum string, effects int) {
	t.Helper()
	sim := &goldenSimulation{
		scenario: scenario,
		now:      goldenStart,
		random:   pcg.New(scenario.seed),
		hash:     sha256.New(),
		settings: goldenSettings(),
	}
	sim.counter.totals = map[policy.CounterKey]float64{}
	sim.counter.expiresAt = map[policy.CounterKey]int64{}
	scenario.settings(&sim.settings)
	sim.settings.Instances = scenario.instances
	for range scenario.backends {
		sim.addBackend(0)
	}
	for n := range scenario.instances {
		instance := &goldenInstance{simulation: sim, number: n}
		sim.instances = append(sim.instances, instance)
		instance.start(nil, 0)
	}
	sim.scheduleNextRequest()
	sim.hashStatus()
	sim.scheduleNextFault()
	end := goldenStart + scenario.seconds*goldenSecond
	for {
		at, ok := sim.events.NextDue(func(func()) bool { return false })
		if !ok || at.Nanos() > end {
			break
		}
		run, _ := sim.events.PopDue(at)
		sim.now = at.Nanos()
		run()
	}
	return hex.EncodeToString(sim.hash.Sum(nil)), sim.effects
}

// hashRecord hashes a record: its code, the time, the instance and the fields.
func (sim *goldenSimulation) hashRecord(code uint64, instance int, fields ...uint64) {
	b := sim.buffer[:0]
	b = binary.LittleEndian.AppendUint64(b, code)
	b = binary.LittleEndian.AppendUint64(b, uint64(sim.now))
	b = binary.LittleEndian.AppendUint64(b, uint64(instance))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(fields)))
	for _, f := range fields {
		b = binary.LittleEndian.AppendUint64(b, f)
	}
	sim.hash.Write(b)
	sim.buffer = b
}

func (sim *goldenSimulation) hashEffect(code uint64, instance int, fields ...uint64) {
	sim.effects++
	sim.hashRecord(code, instance, fields...)
}

// floatBits returns the bits of a number. All NaN values give the same bits, since the NaN that an operation
// produces depends on the compiler.
func floatBits(x float64) uint64 {
	if math.IsNaN(x) {
		return 0x7ff8000000000001
	}
	return math.Float64bits(x)
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// scheduleAt schedules a function for a time, or for now if that time has passed.
func (sim *goldenSimulation) scheduleAt(when int64, run func()) {
	sim.events.Push(monotime.FromNanos(max(when, sim.now)), run)
}

// currentInstant returns the current time as an Instant.
func (sim *goldenSimulation) currentInstant() policy.Instant { return monotime.FromNanos(sim.now) }

// scheduleAfter schedules a function for a time after now.
func (sim *goldenSimulation) scheduleAfter(delay int64, run func()) {
	sim.scheduleAt(sim.now+delay, run)
}

// randomInt returns a random number in [0, n).
func (sim *goldenSimulation) randomInt(n int) int { return int(sim.random.Uint64() % uint64(n)) }

// chance returns true with the given probability.
func (sim *goldenSimulation) chance(probability float64) bool {
	return sim.random.Float64() < probability
}

// exponential returns an exponentially distributed time with the given mean.
func (sim *goldenSimulation) exponential(mean int64) int64 {
	return int64(-math.Log(1-sim.random.Float64()) * float64(mean))
}

func (sim *goldenSimulation) addBackend(started int64) *goldenBackend {
	sim.lastBackendID++
	b := &goldenBackend{
		id:               sim.lastBackendID,
		zone:             uint16(sim.lastBackendID % 2),
		group:            uint16(sim.lastBackendID % 3),
		relativeCapacity: 1 + float64(sim.lastBackendID%3)/2,
		state:            policy.EndpointReady,
		started:          started,
	}
	sim.backends = append(sim.backends, b)
	return b
}

func (b *goldenBackend) endpoint() policy.Endpoint {
	return policy.Endpoint{
		Backend:   policy.BackendID(b.id),
		Zone:      policy.ZoneID(b.zone),
		Group:     policy.GroupID(b.group),
		Weight:    b.relativeCapacity,
		State:     b.state,
		StartedAt: monotime.FromNanos(b.started),
	}
}

// publishEndpoint sends a backend's entry of the endpoint list to every instance, to each after a random delay.
func (sim *goldenSimulation) publishEndpoint(b *goldenBackend) {
	endpoint := b.endpoint()
	for _, instance := range sim.instances {
		incarnation := instance.incarnation
		sim.scheduleAfter(sim.exponential(10*goldenMillisecond), func() {
			if instance.engine != nil && instance.incarnation == incarnation {
				instance.engine.UpdateEndpoints(sim.currentInstant(), policy.Delta, []policy.Endpoint{endpoint})
			}
		})
	}
}

// scheduleNextRequest schedules the next request, which in turn schedules the one after it.
func (sim *goldenSimulation) scheduleNextRequest() {
	sim.scheduleAfter(sim.exponential(int64(float64(goldenSecond)/sim.scenario.rate)), func() {
		if sim.arrivalPauses > 0 {
			sim.scheduleNextRequest()
			return
		}
		// Tenants with low numbers get more requests.
		tenant := min(sim.randomInt(sim.scenario.tenants), sim.randomInt(sim.scenario.tenants))
		firstInstance := tenant % sim.scenario.instances
		instance := sim.instances[(firstInstance+sim.randomInt(sim.scenario.entryPoints))%sim.scenario.instances]
		class, plan := sim.randomInt(len(sim.settings.Classes)), tenant%len(sim.settings.Plans)
		remaining := int64(sim.settings.Classes[class].Deadline)
		if sim.chance(0.05) {
			remaining = int64(float64(remaining) * (sim.random.Float64() - 0.05))
		}
		units := []float64{0.25, 0.5, 1, 1, 1, 1, 2, 3.7}[sim.randomInt(8)]
		switch sim.randomInt(500) {
		case 0:
			class += 1000
		case 1:
			plan += 1000
		case 2:
			plan = sim.randomInt(len(sim.settings.Plans)) // the tenant's plan changed
		}
		if sim.scenario.serviceTimeByUnits {
			units *= units / 2
		}
		if sim.scenario.zeroUnits && sim.chance(0.3) {
			units = -1 + float64(sim.randomInt(2)) // the engine treats negative units as 0
		}
		if instance.engine != nil {
			instance.submit(class, plan, tenant, remaining, units, firstInstance)
		}
		sim.scheduleNextRequest()
	})
}

// hashStatus hashes the status of all instances twice a second.
func (sim *goldenSimulation) hashStatus() {
	for _, instance := range sim.instances {
		if instance.engine != nil {
			instance.hashStatus()
		}
	}
	sim.scheduleAfter(goldenSecond/2, sim.hashStatus)
}

// activateFault makes a fault active for a time. Faults of one kind can overlap, so active counts them.
func (sim *goldenSimulation) activateFault(active *int, duration int64) {
	*active++
	sim.scheduleAfter(duration, func() { *active-- })
}
