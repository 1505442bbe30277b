package model

import (
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// scheduleFault schedules the begin of a fault for each of its targets.
func (w *world) scheduleFault(fault scenario.Fault) {
	for _, occurrence := range w.scenario.Occurrences(fault) {
		w.at(int64(occurrence.Begin), func() { w.beginFault(fault, occurrence.Target, int64(occurrence.End)) })
	}
}

// countFault counts a fault as active until its end, since faults of a kind may overlap.
func (w *world) countFault(active *int, untilNanos int64) {
	w.countFaultThen(active, untilNanos, func() {})
}

// countFaultThen counts a fault as active until its end, and calls ended when the last of its kind has ended.
func (w *world) countFaultThen(active *int, untilNanos int64, ended func()) {
	*active++
	w.at(untilNanos, func() {
		*active--
		if *active == 0 {
			ended()
		}
	})
}

// beginFault begins a fault at one target and schedules its end.
func (w *world) beginFault(fault scenario.Fault, target int, untilNanos int64) {
	switch fault.Kind {
	case scenario.CounterRefuse, scenario.CounterHang, scenario.CounterSlow, scenario.CounterEmpty,
		scenario.CounterCut:
		w.counter.beginFault(fault, target, untilNanos)
	case scenario.DiscoveryStale, scenario.DiscoveryRefuse, scenario.DiscoveryLate:
		w.discovery.beginFault(fault, untilNanos)
	case scenario.InstanceRestart:
		w.instances[target].restart(untilNanos)
	default:
		w.backends[target].beginFault(fault, untilNanos)
	}
}

func (c *counter) beginFault(fault scenario.Fault, target int, untilNanos int64) {
	switch fault.Kind {
	case scenario.CounterRefuse:
		c.world.countFault(&c.refusing, untilNanos)
	case scenario.CounterHang:
		c.world.countFaultThen(&c.hanging, untilNanos, c.release)
	case scenario.CounterSlow:
		c.extraDelayNanos += int64(fault.Delay)
		c.world.at(untilNanos, func() { c.extraDelayNanos -= int64(fault.Delay) })
	case scenario.CounterEmpty:
		clear(c.entries)
	case scenario.CounterCut:
		c.cutOff[target]++
		c.world.at(untilNanos, func() { c.cutOff[target]-- })
	}
}

func (d *discovery) beginFault(fault scenario.Fault, untilNanos int64) {
	if fault.Kind == scenario.DiscoveryLate {
		d.extraDelayNanos += int64(fault.Delay)
		d.world.at(untilNanos, func() { d.extraDelayNanos -= int64(fault.Delay) })
		return
	}
	d.world.countFaultThen(&d.stale, untilNanos, d.release)
}

// restart kills an instance, unless it is down already, and starts it again at the given time.
func (i *instance) restart(untilNanos int64) {
	if i.engine == nil {
		return
	}
	i.die()
	i.world.at(untilNanos, i.start)
}

func (b *backend) beginFault(fault scenario.Fault, untilNanos int64) {
	w := b.world
	switch fault.Kind {
	case scenario.BackendRefuse:
		w.countFault(&b.refusing, untilNanos)
	case scenario.BackendHang:
		w.countFault(&b.hanging, untilNanos)
	case scenario.BackendReset:
		w.countFault(&b.resetting, untilNanos)
	case scenario.BackendGarble:
		w.countFault(&b.garbling, untilNanos)
	case scenario.BackendError:
		w.countFault(&b.failing, untilNanos)
	case scenario.BackendSlow:
		b.slowdown *= fault.Factor
		w.at(untilNanos, func() { b.slowdown /= fault.Factor })
	case scenario.BackendDrain:
		b.setState(policy.EndpointDraining)
		w.countFaultThen(&b.draining, untilNanos, func() { b.setState(policy.EndpointReady) })
	case scenario.BackendVanish:
		b.vanish()
		b.setState(policy.EndpointGone)
		w.at(untilNanos, b.restart)
	case scenario.BackendWithdraw:
		b.setState(policy.EndpointGone)
		w.countFaultThen(&b.withdrawn, untilNanos, b.startAnew)
	case scenario.BackendRestart:
		b.crash()
		w.at(untilNanos, b.restart)
	default:
		// The scenario was validated, so a kind was added there and not here.
		panic("model: no way to play " + string(fault.Kind))
	}
}
