package model

import (
	"time"

	"fawnplank/policy"
)

// discovery is the simulated discovery service. It delivers changes of backends to all instances after a delay.
type discovery struct {
	simulation *simulation

	stale          int           // number of active faults that suspend deliveries: DiscoveryStale and DiscoveryRefuse
	extraDelay     time.Duration // sum over the active faults
	delayedChanges []*backend    // backends whose changes are held back while the list is stale
}

// publish delivers a backend's state to all instances after the delay. The state is read at the time of delivery.
func (d *discovery) publish(b *backend) {
	d.simulation.after(time.Duration(d.simulation.scenario.Discovery.Delay)+d.extraDelay, func() {
		if d.stale > 0 {
			d.delayedChanges = append(d.delayedChanges, b)
		} else {
			d.deliverEndpoint(b)
		}
	})
}

// deliverEndpoint delivers a backend's current state to all instances.
func (d *discovery) deliverEndpoint(b *backend) {
	for _, i := range d.simulation.instances {
		if i.engine != nil {
			i.engine.UpdateEndpoints(d.simulation.engineNow(), policy.Delta, []policy.Endpoint{i.deliverEndpoint(b)})
		}
	}
}

// release delivers the changes that were held back.
func (d *discovery) release() {
	delayedChanges := d.delayedChanges
	d.delayedChanges = nil
	for _, b := range delayedChanges {
		d.deliverEndpoint(b)
	}
}
