package model

import (
	"time"

	"fawnplank/policy"
)

// discovery delivers changes of backends to all instances after a delay.
type discovery struct {
	world *world

	stale      int           // how many faults of the kind are active
	extraDelay time.Duration // of the faults that are active
	withheld   []*backend    // backends whose changes wait until the list is no longer stale
}

// publish delivers a backend after the delay, in the state that it has by then.
func (d *discovery) publish(b *backend) {
	d.world.after(time.Duration(d.world.scenario.Discovery.Delay)+d.extraDelay, func() {
		if d.stale > 0 {
			d.withheld = append(d.withheld, b)
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
	withheld := d.withheld
	d.withheld = nil
	for _, b := range withheld {
		d.deliver(b)
	}
}
