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

// countFault updates the number of active faults of a kind.
func (b *backend) countFault(kind scenario.FaultKind, change faultChange) faultTransition {
	b.mu.Lock()
	defer b.mu.Unlock()
	activeFaults := b.activeFaults[kind]
	transition := change.addTo(&activeFaults)
	b.activeFaults[kind] = activeFaults
	return transition
}

// hangs reports whether a BackendHang or BackendVanish fault stops the backend from answering. The caller holds the
// lock.
func (b *backend) hangs() bool {
	return b.activeFaults[scenario.BackendHang]+b.activeFaults[scenario.BackendVanish] > 0
}

func (b *backend) setRefusing(change faultChange) {
	switch b.countFault(scenario.BackendRefuse, change) {
	case becameActive:
		b.discardJobs()
		b.listener.close()
	case becameInactive:
		b.reopen()
	}
}

// setHanging stops the backend from answering. When the fault ends, the backend discards its jobs and resets its
// connections.
func (b *backend) setHanging(change faultChange) {
	b.countFault(scenario.BackendHang, change)
	if change == faultBegins {
		return
	}
	b.discardJobs()
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
	case becameActive:
		b.setState(policy.EndpointDraining)
	case becameInactive:
		b.setState(policy.EndpointReady)
	}
	b.emulator.discovery.publish(b)
}

// setVanished emulates the loss of the backend's machine: existing and new connections stay open without answers, and
// discovery removes the backend. When the fault ends, the backend restarts.
func (b *backend) setVanished(change faultChange) {
	if change == faultBegins {
		b.discardJobs()
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

// setWithdrawn removes the backend from discovery while it keeps running. When the fault ends, discovery lists it
// again at the same address, as just started.
func (b *backend) setWithdrawn(change faultChange) {
	switch b.countFault(scenario.BackendWithdraw, change) {
	case becameActive:
		b.setState(policy.EndpointGone)
	case becameInactive:
		b.setStarted()
	case noTransition:
		return
	}
	b.emulator.discovery.publish(b)
}

func (b *backend) setRestarting(change faultChange) {
	if change == faultBegins {
		b.discardJobs()
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

// setStarted marks the backend as ready and started now.
func (b *backend) setStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = b.emulator.log.Now()
	b.state = policy.EndpointReady
}

// discardJobs discards the running and the queued jobs, and begins a new incarnation.
func (b *backend) discardJobs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation++
	b.busyCores = 0
	b.queue = nil
}

// restart marks the backend as just started and opens its listener again. Discovery lists the backend only if that
// succeeds.
func (b *backend) restart() {
	b.setStarted()
	if err := b.listener.reopen(); err == nil {
		b.emulator.discovery.publish(b)
	}
}

// reopen opens the listener again. If its address stays in use, the backend stays unreachable, which the results of
// the run show.
func (b *backend) reopen() {
	_ = b.listener.reopen()
}
