package model

import (
	"time"

	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// scheduleFault schedules the begin of a fault for each of its targets.
func (w *world) scheduleFault(fault scenario.Fault) {
	for _, occurrence := range w.scenario.Occurrences(fault) {
		w.at(sinceStart(occurrence.Begin), func() {
			w.beginFault(fault, occurrence.Target, sinceStart(occurrence.End))
		})
	}
}

// countFault counts a fault as active until its end, since faults of a kind may overlap.
func (w *world) countFault(active *int, until monotime.Instant) {
	w.countFaultThen(active, until, func() {})
}

// countFaultThen counts a fault as active until its end, and calls ended when the last of its kind has ended.
func (w *world) countFaultThen(active *int, until monotime.Instant, ended func()) {
	*active++
	w.at(until, func() {
		*active--
		if *active == 0 {
			ended()
		}
	})
}

// beginFault begins a fault at one target and schedules its end.
func (w *world) beginFault(fault scenario.Fault, target int, until monotime.Instant) {
	switch fault.Kind {
	case scenario.CounterRefuse, scenario.CounterHang, scenario.CounterSlow, scenario.CounterEmpty,
		scenario.CounterCut:
		w.counter.beginFault(fault, target, until)
	case scenario.DiscoveryStale, scenario.DiscoveryRefuse, scenario.DiscoveryLate:
		w.discovery.beginFault(fault, until)
	case scenario.InstanceRestart:
		w.instances[target].restart(until)
	default:
		w.backends[target].beginFault(fault, until)
	}
}

func (c *counter) beginFault(fault scenario.Fault, target int, until monotime.Instant) {
	switch fault.Kind {
	case scenario.CounterRefuse:
		c.world.countFault(&c.refusing, until)
	case scenario.CounterHang:
		c.world.countFaultThen(&c.hanging, until, c.release)
	case scenario.CounterSlow:
		c.extraDelay += time.Duration(fault.Delay)
		c.world.at(until, func() { c.extraDelay -= time.Duration(fault.Delay) })
	case scenario.CounterEmpty:
		clear(c.entries)
	case scenario.CounterCut:
		c.cutOff[target]++
		c.world.at(until, func() { c.cutOff[target]-- })
	}
}

func (d *discovery) beginFault(fault scenario.Fault, until monotime.Instant) {
	if fault.Kind == scenario.DiscoveryLate {
		d.extraDelay += time.Duration(fault.Delay)
		d.world.at(until, func() { d.extraDelay -= time.Duration(fault.Delay) })
		return
	}
	d.world.countFaultThen(&d.stale, until, d.release)
}

// restart kills an instance, unless it is down already, and starts it again at the given time.
func (i *instance) restart(until monotime.Instant) {
	if i.engine == nil {
		return
	}
	i.die()
	i.world.at(until, i.start)
}

func (b *backend) beginFault(fault scenario.Fault, until monotime.Instant) {
	w := b.world
	switch fault.Kind {
	case scenario.BackendRefuse:
		w.countFault(&b.refusing, until)
	case scenario.BackendHang:
		w.countFault(&b.hanging, until)
	case scenario.BackendReset:
		w.countFault(&b.resetting, until)
	case scenario.BackendGarble:
		w.countFault(&b.garbling, until)
	case scenario.BackendError:
		w.countFault(&b.failing, until)
	case scenario.BackendSlow:
		b.slowdown *= fault.Factor
		w.at(until, func() { b.slowdown /= fault.Factor })
	case scenario.BackendDrain:
		b.setState(policy.EndpointDraining)
		w.countFaultThen(&b.draining, until, func() { b.setState(policy.EndpointReady) })
	case scenario.BackendVanish:
		b.vanish()
		b.setState(policy.EndpointGone)
		w.at(until, b.restart)
	case scenario.BackendWithdraw:
		b.setState(policy.EndpointGone)
		w.countFaultThen(&b.withdrawn, until, b.startAnew)
	case scenario.BackendRestart:
		b.crash()
		w.at(until, b.restart)
	default:
		// The scenario was validated, so a kind was added there and not here.
		panic("model: no way to play " + string(fault.Kind))
	}
}
