package emulator

import (
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// setFault begins or ends a fault.
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

// countFault counts the begin or the end of a fault. It returns whether the fault is the first active one of
// its kind, or was the last one.
func (b *backend) countFault(kind scenario.FaultKind, active bool) (isFirst, isLast bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active[kind] += step(active)
	count := b.active[kind]
	return active && count == 1, !active && count == 0
}

// hangs reports whether the backend says nothing, which is also the case when it has vanished. The caller
// holds the lock.
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

// setHanging makes the backend say nothing. When the fault ends, the backend loses its jobs and its
// connections end.
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
// ones come up and say nothing. When the fault ends, the backend starts anew.
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

// setWithdrawn takes the backend out of discovery. The backend keeps running, and comes back as a new one at
// the same address.
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

// setStarted marks the backend as started now.
func (b *backend) setStarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedNanos = b.emulator.log.Now()
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
