package policy_test

import "fawnplank/policy"

// This file injects faults into a golden scenario: in the counter, backends, endpoint list, instances and settings.

// scheduleNextFault schedules a fault of a random kind among those of the scenario, which in turn schedules the next.
func (sim *goldenSimulation) scheduleNextFault() {
	if sim.scenario.faults == (goldenFaults{}) {
		return
	}
	sim.scheduleAfter(goldenSecond/10+sim.exponential(sim.scenario.faultInterval), func() {
		var injectors []func()
		enabled := sim.scenario.faults
		if enabled.counter {
			injectors = append(injectors, sim.injectCounterFault)
		}
		if enabled.backends {
			injectors = append(injectors, sim.injectBackendFault)
		}
		if enabled.draining {
			injectors = append(injectors, sim.drainBackend)
		}
		if enabled.slowStarts {
			injectors = append(injectors, sim.restartBackend)
		}
		if enabled.listEndpoints {
			injectors = append(injectors, sim.injectDiscoveryOutage)
		}
		if enabled.instanceRestarts {
			injectors = append(injectors, sim.restartInstance)
		}
		if enabled.fleetOutages {
			injectors = append(injectors, sim.injectFleetOutage)
		}
		if enabled.settingsUpdates {
			injectors = append(injectors, sim.updateSettings)
		}
		injectors[sim.randomInt(len(injectors))]()
		sim.scheduleNextFault()
	})
}

func (sim *goldenSimulation) injectCounterFault() {
	c, duration := &sim.counter, goldenSecond/5+sim.exponential(goldenSecond)
	switch sim.randomInt(6) {
	case 0:
		sim.activateFault(&c.refusing, duration)
	case 1:
		sim.activateFault(&c.hanging, duration)
	case 2:
		sim.activateFault(&c.rejecting, duration)
	case 3:
		sim.activateFault(&c.disconnecting, duration)
	case 4:
		sim.activateFault(&c.slow, duration)
	case 5:
		clear(c.totals)
		clear(c.expiresAt)
	}
}

func (sim *goldenSimulation) injectBackendFault() {
	b, duration := sim.backends[sim.randomInt(len(sim.backends))], goldenSecond/2+sim.exponential(2*goldenSecond)
	switch sim.randomInt(7) {
	case 0:
		sim.activateFault(&b.refusing, duration)
	case 1:
		sim.activateFault(&b.hanging, duration)
	case 2:
		sim.activateFault(&b.resetting, duration)
	case 3:
		sim.activateFault(&b.failing, duration)
	case 4:
		sim.activateFault(&b.slow, duration)
	case 5:
		sim.activateFault(&b.notSending, duration)
	case 6:
		sim.activateFault(&b.full, duration)
	}
}

// injectFleetOutage makes all backends hang, or all slow, for a while. In some outages, the arrivals pause too.
func (sim *goldenSimulation) injectFleetOutage() {
	if sim.chance(0.4) {
		sim.scheduleAfter(goldenSecond, func() { sim.activateFault(&sim.arrivalPauses, 7*goldenSecond) })
	}
	duration := 2*goldenSecond + sim.exponential(2*goldenSecond)
	hang := sim.chance(0.5)
	for _, b := range sim.backends {
		if hang {
			sim.activateFault(&b.hanging, duration)
		} else {
			sim.activateFault(&b.slow, duration)
		}
	}
}

func (sim *goldenSimulation) drainBackend() {
	b := sim.backends[sim.randomInt(len(sim.backends))]
	b.state = policy.EndpointDraining
	sim.publishEndpoint(b)
	sim.scheduleAfter(goldenSecond+sim.exponential(goldenSecond), func() {
		if sim.chance(0.5) {
			b.state = policy.EndpointReady
			sim.publishEndpoint(b)
			return
		}
		sim.replaceBackend(b)
	})
}

// replaceBackend removes a backend from the endpoint list and adds another one under a new id.
func (sim *goldenSimulation) replaceBackend(b *goldenBackend) {
	b.state = policy.EndpointGone
	sim.publishEndpoint(b)
	for i := range sim.backends {
		if sim.backends[i] == b {
			sim.backends = append(sim.backends[:i], sim.backends[i+1:]...)
			break
		}
	}
	sim.publishEndpoint(sim.addBackend(sim.now))
}

// restartBackend restarts a backend: it refuses connections for half a second and then warms up.
func (sim *goldenSimulation) restartBackend() {
	b := sim.backends[sim.randomInt(len(sim.backends))]
	sim.activateFault(&b.refusing, goldenSecond/2)
	sim.scheduleAfter(goldenSecond/2, func() {
		b.state, b.started = policy.EndpointReady, sim.now
		sim.publishEndpoint(b)
	})
}

func (sim *goldenSimulation) injectDiscoveryOutage() {
	sim.activateFault(&sim.discoveryOutages, goldenSecond+sim.exponential(2*goldenSecond))
}

func (sim *goldenSimulation) restartInstance() {
	instance := sim.instances[sim.randomInt(len(sim.instances))]
	if instance.engine == nil {
		return
	}
	exported, stoppedAt := instance.engine.ExportState(), sim.now
	instance.stop()
	sim.scheduleAfter(sim.exponential(goldenSecond), func() { instance.start(&exported, sim.now-stoppedAt) })
}

// updateSettings gives all instances new settings with another plan, another class and a higher MaxRetryAfter.
func (sim *goldenSimulation) updateSettings() {
	if len(sim.settings.Plans) > 12 {
		return
	}
	sim.settings.Plans = append(sim.settings.Plans[:len(sim.settings.Plans):len(sim.settings.Plans)],
		policy.PlanSettings{
			Rate:             5 + float64(sim.randomInt(10)),
			Burst:            10,
			ConcurrencyLimit: sim.randomInt(3),
			OverQuotaCost:    0.6,
		})
	sim.settings.Classes = append(sim.settings.Classes[:len(sim.settings.Classes):len(sim.settings.Classes)],
		policy.ClassSettings{LatencyObjective: 300 * goldenMillisecond, Deadline: goldenSecond})
	sim.settings.MaxRetryAfter += 100 * goldenMillisecond
	for _, instance := range sim.instances {
		if instance.engine != nil {
			instance.engine.UpdateSettings(instance.settings())
		}
	}
}
