package emulator

import (
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// setFault begins or ends a fault.
func (b *backend) setFault(fault scenario.Fault, change faultChange) {
	switch fault.Kind {
	case scenario.BackendReset, scenario.BackendGarble, scenario.BackendError:
		b.countFault(fault.Kind, change)
	case scenario.BackendRefuse:
		b.setRefusing(change)
	case scenario.BackendHang:
		b.setHanging(change)
	case scenario.BackendSlow:
		b.setSlow(fault.Factor, change)
	case scenario.BackendDrain:
		b.setDraining(change)
	case scenario.BackendVanish:
		b.setVanished(change)
	case scenario.BackendWithdraw:
		b.setWithdrawn(change)
	case scenario.BackendRestart:
		b.setRestarting(change)
	}
}

// countFault counts the begin or the end of a fault.
func (b *backend) countFault(kind scenario.FaultKind, change faultChange) faultEdge {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := b.active[kind]
	edge := change.count(&active)
	b.active[kind] = active
	return edge
}

// hangs reports whether the backend answers nothing, which is also the case when it has vanished. The caller
// holds the lock.
func (b *backend) hangs() bool {
	return b.active[scenario.BackendHang]+b.active[scenario.BackendVanish] > 0
}

func (b *backend) setRefusing(change faultChange) {
	switch b.countFault(scenario.BackendRefuse, change) {
	case firstEdge:
		b.abandonJobs()
		b.listener.close()
	case lastEdge:
		b.reopen()
	}
}

// setHanging makes the backend answer nothing. When the fault ends, the backend loses its jobs and its
// connections end.
func (b *backend) setHanging(change faultChange) {
	b.countFault(scenario.BackendHang, change)
	if change == faultBegins {
		return
	}
	b.abandonJobs()
	b.listener.close()
	b.reopen()
}

func (b *backend) setSlow(factor float64, change faultChange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if change == faultBegins {
		b.slowdown *= factor
	} else {
		b.slowdown /= factor
	}
}

func (b *backend) setDraining(change faultChange) {
	switch b.countFault(scenario.BackendDrain, change) {
	case firstEdge:
		b.setState(policy.EndpointDraining)
	case lastEdge:
		b.setState(policy.EndpointReady)
	}
	b.emulator.discovery.publish(b)
}

// setVanished takes the backend's machine off the network: its connections stay up without answers, and so do
// new ones. When the fault ends, the backend starts anew.
func (b *backend) setVanished(change faultChange) {
	if change == faultBegins {
		b.abandonJobs()
		b.countFault(scenario.BackendVanish, change)
		b.setState(policy.EndpointGone)
		b.listener.setPaused(true)
		b.emulator.discovery.publish(b)
		return
	}
	b.countFault(scenario.BackendVanish, change)
	b.listener.close()
	b.restart()
}

// setWithdrawn takes the backend out of discovery. The backend keeps running, and comes back as a new one at
// the same address.
func (b *backend) setWithdrawn(change faultChange) {
	switch b.countFault(scenario.BackendWithdraw, change) {
	case firstEdge:
		b.setState(policy.EndpointGone)
	case lastEdge:
		b.setStarted()
	case noEdge:
		return
	}
	b.emulator.discovery.publish(b)
}

func (b *backend) setRestarting(change faultChange) {
	if change == faultBegins {
		b.abandonJobs()
		b.listener.close()
		return
	}
	b.restart()
}

func (b *backend) setState(state policy.EndpointState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

// setStarted marks the backend as started now.
func (b *backend) setStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = b.emulator.log.Now()
	b.state = policy.EndpointReady
}

// abandonJobs ends the incarnation together with its work.
func (b *backend) abandonJobs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation++
	b.busyCores = 0
	b.queue = nil
}

// restart brings the backend up as a new one. Discovery publishes it only if it listens.
func (b *backend) restart() {
	b.setStarted()
	if err := b.listener.reopen(); err == nil {
		b.emulator.discovery.publish(b)
	}
}

// reopen listens again. If the address stays occupied the backend stays unreachable, which the run shows.
func (b *backend) reopen() {
	_ = b.listener.reopen()
}
