package emulator

import (
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// setFault begins a fault, or ends it.
func (b *backend) setFault(fault scenario.Fault, active bool) {
	switch fault.Kind {
	case scenario.BackendReset, scenario.BackendGarble, scenario.BackendError:
		b.countFault(fault.Kind, active)
	case scenario.BackendRefuse:
		b.setRefusing(active)
	case scenario.BackendHang:
		b.setHanging(active)
	case scenario.BackendSlow:
		b.setSlow(fault.Factor, active)
	case scenario.BackendDrain:
		b.setDraining(active)
	case scenario.BackendVanish:
		b.setVanished(active)
	case scenario.BackendWithdraw:
		b.setWithdrawn(active)
	case scenario.BackendRestart:
		b.setRestarting(active)
	}
}

// countFault counts a fault in or out. It returns whether it is the first one of its kind, and the last one.
func (b *backend) countFault(kind scenario.FaultKind, active bool) (isFirst, isLast bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active[kind] += step(active)
	count := b.active[kind]
	return active && count == 1, !active && count == 0
}

// hangs reports whether the backend says nothing; one that has vanished says nothing either. The caller holds
// the lock.
func (b *backend) hangs() bool {
	return b.active[scenario.BackendHang]+b.active[scenario.BackendVanish] > 0
}

func (b *backend) setRefusing(active bool) {
	isFirst, isLast := b.countFault(scenario.BackendRefuse, active)
	switch {
	case isFirst:
		b.abandonJobs()
		b.listener.close()
	case isLast:
		b.reopen()
	}
}

// setHanging lets the backend say nothing. At the end its jobs are lost, and its connections end.
func (b *backend) setHanging(active bool) {
	b.countFault(scenario.BackendHang, active)
	if active {
		return
	}
	b.abandonJobs()
	b.listener.close()
	b.reopen()
}

func (b *backend) setSlow(factor float64, active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if active {
		b.slowdown *= factor
	} else {
		b.slowdown /= factor
	}
}

func (b *backend) setDraining(active bool) {
	isFirst, isLast := b.countFault(scenario.BackendDrain, active)
	switch {
	case isFirst:
		b.setState(policy.EndpointDraining)
	case isLast:
		b.setState(policy.EndpointReady)
	}
	b.emulator.discovery.publish(b)
}

// setVanished takes the backend's machine off the network: its connections stay up and say nothing, and new
// ones come up and say nothing. At the end it starts anew.
func (b *backend) setVanished(active bool) {
	if active {
		b.abandonJobs()
		b.countFault(scenario.BackendVanish, true)
		b.setState(policy.EndpointGone)
		b.listener.setPaused(true)
		b.emulator.discovery.publish(b)
		return
	}
	b.countFault(scenario.BackendVanish, false)
	b.listener.close()
	b.restart()
}

// setWithdrawn takes the backend out of discovery. It runs on, and comes back as a new one at the same
// address.
func (b *backend) setWithdrawn(active bool) {
	isFirst, isLast := b.countFault(scenario.BackendWithdraw, active)
	switch {
	case isFirst:
		b.setState(policy.EndpointGone)
	case isLast:
		b.setStarted()
	default:
		return
	}
	b.emulator.discovery.publish(b)
}

func (b *backend) setRestarting(active bool) {
	if active {
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

// setStarted makes the backend one that starts now.
func (b *backend) setStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedNanos = b.emulator.log.Now()
	b.state = policy.EndpointReady
}

// abandonJobs ends the incarnation with its work.
func (b *backend) abandonJobs() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation++
	b.busyCores = 0
	b.queue = nil
}

// restart brings the backend up as a new one; discovery publishes it only where it listens.
func (b *backend) restart() {
	b.setStarted()
	if err := b.listener.reopen(); err == nil {
		b.emulator.discovery.publish(b)
	}
}

// reopen listens again. Where the address stays occupied the backend stays unreachable, which the run shows.
func (b *backend) reopen() {
	_ = b.listener.reopen()
}
