package model

import "fawnplank/policy"

// discovery delivers changes of backends to all instances after a delay.
type discovery struct {
	world *world

	// The faults in force.
	stale      int
	delayNanos int64
	held       []*backend // backends whose changes wait for the end of staleness
}

// publish delivers a backend after the delay, in the state that it has by then.
func (d *discovery) publish(b *backend) {
	d.world.after(int64(d.world.scenario.Discovery.Delay)+d.delayNanos, func() {
		if d.stale > 0 {
			d.held = append(d.held, b)
		} else {
			d.deliver(b)
		}
	})
}

// deliver delivers a backend's current state to all instances.
func (d *discovery) deliver(b *backend) {
	for _, i := range d.world.instances {
		if i.engine != nil {
			i.engine.UpdateEndpoints(d.world.engineNow(), policy.Delta, []policy.Endpoint{i.deliver(b)})
		}
	}
}

// release delivers the changes that waited.
func (d *discovery) release() {
	held := d.held
	d.held = nil
	for _, b := range held {
		d.deliver(b)
	}
}
