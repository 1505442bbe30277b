package model

import (
	"time"

	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// scheduleFault schedules the start of a fault at each of its targets.
func (sim *simulation) scheduleFault(fault scenario.Fault) {
	for _, occurrence := range sim.scenario.Occurrences(fault) {
		sim.at(sinceStart(occurrence.Begin), func() {
			sim.beginFault(fault, occurrence.Target, sinceStart(occurrence.End))
		})
	}
}

// countFault counts a fault as active until its end. Faults are counted because those of one kind may overlap.
func (sim *simulation) countFault(active *int, until monotime.Instant) {
	sim.countFaultAndNotify(active, until, func() {})
}

// countFaultAndNotify counts a fault as active until its end, and calls ended when no fault of its kind remains.
func (sim *simulation) countFaultAndNotify(active *int, until monotime.Instant, ended func()) {
	*active++
	sim.at(until, func() {
		*active--
		if *active == 0 {
			ended()
		}
	})
}

// beginFault begins a fault at one target and schedules its end.
func (sim *simulation) beginFault(fault scenario.Fault, target int, until monotime.Instant) {
	switch fault.Kind {
	case scenario.CounterRefuse, scenario.CounterHang, scenario.CounterSlow, scenario.CounterEmpty,
		scenario.CounterCut:
		sim.counter.beginFault(fault, target, until)
	case scenario.DiscoveryStale, scenario.DiscoveryRefuse, scenario.DiscoveryLate:
		sim.discovery.beginFault(fault, until)
	case scenario.InstanceRestart:
		sim.instances[target].restart(until)
	default:
		sim.backends[target].beginFault(fault, until)
	}
}

func (c *counter) beginFault(fault scenario.Fault, target int, until monotime.Instant) {
	switch fault.Kind {
	case scenario.CounterRefuse:
		c.simulation.countFault(&c.refusing, until)
	case scenario.CounterHang:
		c.simulation.countFaultAndNotify(&c.hanging, until, c.release)
	case scenario.CounterSlow:
		c.extraDelay += time.Duration(fault.Delay)
		c.simulation.at(until, func() { c.extraDelay -= time.Duration(fault.Delay) })
	case scenario.CounterEmpty:
		clear(c.entries)
	case scenario.CounterCut:
		c.partitioned[target]++
		c.simulation.at(until, func() { c.partitioned[target]-- })
	}
}

func (d *discovery) beginFault(fault scenario.Fault, until monotime.Instant) {
	if fault.Kind == scenario.DiscoveryLate {
		d.extraDelay += time.Duration(fault.Delay)
		d.simulation.at(until, func() { d.extraDelay -= time.Duration(fault.Delay) })
		return
	}
	d.simulation.countFaultAndNotify(&d.stale, until, d.release)
}

// restart kills an instance and starts it again at the given time. It does nothing if the instance is down.
func (i *instance) restart(until monotime.Instant) {
	if i.engine == nil {
		return
	}
	i.kill()
	i.simulation.at(until, i.start)
}

func (b *backend) beginFault(fault scenario.Fault, until monotime.Instant) {
	sim := b.simulation
	switch fault.Kind {
	case scenario.BackendRefuse:
		sim.countFault(&b.refusing, until)
	case scenario.BackendHang:
		sim.countFault(&b.hanging, until)
	case scenario.BackendReset:
		sim.countFault(&b.resetting, until)
	case scenario.BackendGarble:
		sim.countFault(&b.garbling, until)
	case scenario.BackendError:
		sim.countFault(&b.failing, until)
	case scenario.BackendSlow:
		b.slowdown *= fault.Factor
		sim.at(until, func() { b.slowdown /= fault.Factor })
	case scenario.BackendDrain:
		b.setState(policy.EndpointDraining)
		sim.countFaultAndNotify(&b.draining, until, func() { b.setState(policy.EndpointReady) })
	case scenario.BackendVanish:
		b.vanish()
		b.setState(policy.EndpointGone)
		sim.at(until, b.restart)
	case scenario.BackendWithdraw:
		b.setState(policy.EndpointGone)
		sim.countFaultAndNotify(&b.withdrawn, until, b.publishNewIncarnation)
	case scenario.BackendRestart:
		b.crash()
		sim.at(until, b.restart)
	default:
		// The scenario has been validated, so package scenario has a kind that this switch lacks.
		panic("model: unsupported fault kind " + string(fault.Kind))
	}
}
