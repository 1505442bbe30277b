package model

import (
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// planFault schedules the begin of a fault for each of its targets.
func (w *world) planFault(fault scenario.Fault) {
	fromNanos := int64(fault.At)
	for n, target := range w.scenario.Targets(fault) {
		beginNanos := fromNanos + int64(n)*int64(fault.Stagger)
		w.at(beginNanos, func() { w.beginFault(fault, target, beginNanos+int64(fault.Duration)) })
	}
	if len(fault.Targets) == 0 && fault.Share == 0 {
		w.at(fromNanos, func() { w.beginFault(fault, 0, fromNanos+int64(fault.Duration)) })
	}
}

// during counts a fault as in force until its end, since faults of a kind may overlap. ended, if not nil, is
// called when the last one ends.
func (w *world) during(inForce *int, untilNanos int64, ended func()) {
	*inForce++
	w.at(untilNanos, func() {
		*inForce--
		if ended != nil && *inForce == 0 {
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
		c.world.during(&c.refusing, untilNanos, nil)
	case scenario.CounterHang:
		c.world.during(&c.hanging, untilNanos, c.release)
	case scenario.CounterSlow:
		c.delayNanos += int64(fault.Delay)
		c.world.at(untilNanos, func() { c.delayNanos -= int64(fault.Delay) })
	case scenario.CounterEmpty:
		c.empty()
	case scenario.CounterCut:
		c.cutOff[target]++
		c.world.at(untilNanos, func() { c.cutOff[target]-- })
	}
}

func (d *discovery) beginFault(fault scenario.Fault, untilNanos int64) {
	if fault.Kind == scenario.DiscoveryLate {
		d.delayNanos += int64(fault.Delay)
		d.world.at(untilNanos, func() { d.delayNanos -= int64(fault.Delay) })
		return
	}
	d.world.during(&d.stale, untilNanos, d.release)
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
		w.during(&b.refusing, untilNanos, nil)
	case scenario.BackendHang:
		w.during(&b.hanging, untilNanos, nil)
	case scenario.BackendReset:
		w.during(&b.resetting, untilNanos, nil)
	case scenario.BackendGarble:
		w.during(&b.garbling, untilNanos, nil)
	case scenario.BackendError:
		w.during(&b.failing, untilNanos, nil)
	case scenario.BackendSlow:
		b.slowdown *= fault.Factor
		w.at(untilNanos, func() { b.slowdown /= fault.Factor })
	case scenario.BackendDrain:
		b.setState(policy.EndpointDraining)
		w.during(&b.draining, untilNanos, func() { b.setState(policy.EndpointReady) })
	case scenario.BackendVanish:
		b.die(true)
		b.setState(policy.EndpointGone)
		w.at(untilNanos, b.rise)
	case scenario.BackendWithdraw:
		b.setState(policy.EndpointGone)
		w.during(&b.withdrawn, untilNanos, b.startAnew)
	case scenario.BackendRestart:
		b.die(false)
		w.at(untilNanos, b.rise)
	default:
		// The scenario was validated, so a kind was added there and not here.
		panic("model: no way to play " + string(fault.Kind))
	}
}
