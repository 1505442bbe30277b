// Package emulator emulates the services that the gateway instances of the laboratory use: the backends, the counter
// and discovery. The emulated services implement the platform's protocols on loopback (RESP2, lines of text, HTTP,
// dynamic DNS updates), inject the faults of a scenario, and record the requests that they receive in the run's log.
//
// An Emulator owns its listeners, connections and timers, and Close frees them. Every wait in it is bounded or ends
// with Close. Close does not wait for the goroutines of connections, which end within their own timeouts. An Emulator
// listens only on 127.0.0.1. Its methods are safe for concurrent use once Start has returned.
package emulator

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
)

// Emulator holds the emulated services of one scenario.
type Emulator struct {
	scenario  *scenario.Scenario
	log       *results.EventLog
	workload  *workload.Generator
	backends  []*backend
	counter   *counter
	discovery *discovery

	mu        sync.Mutex // guards timers
	timers    []*time.Timer
	closed    chan struct{}
	closeOnce sync.Once
}

// Start starts the emulated services of a scenario, which record into log. No fault begins before ScheduleFaults is
// called.
func Start(s *scenario.Scenario, log *results.EventLog) (*Emulator, error) {
	e := &Emulator{
		scenario: s,
		log:      log,
		workload: workload.New(s),
		closed:   make(chan struct{}),
	}
	if err := e.start(); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// start starts the emulated services. Discovery starts after the backends because it lists their addresses.
func (e *Emulator) start() error {
	for n := range e.scenario.Backends.Count {
		b, err := newBackend(e, n)
		if err != nil {
			return fmt.Errorf("emulator: start backend %d: %w", n, err)
		}
		e.backends = append(e.backends, b)
	}
	var err error
	if e.counter, err = newCounter(e); err != nil {
		return fmt.Errorf("emulator: start counter: %w", err)
	}
	if e.discovery, err = newDiscovery(e); err != nil {
		return fmt.Errorf("emulator: start discovery: %w", err)
	}
	return nil
}

// Close stops all emulated services and closes their connections. Further calls do nothing.
func (e *Emulator) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.stopTimers()
		for _, b := range e.backends {
			b.listener.close()
		}
		if e.counter != nil {
			e.counter.close()
		}
		if e.discovery != nil {
			e.discovery.close()
		}
	})
}

func (e *Emulator) stopTimers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, timer := range e.timers {
		timer.Stop()
	}
}

// after calls f after a delay, unless the emulator is closed before.
func (e *Emulator) after(delay time.Duration, f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timers = append(e.timers, time.AfterFunc(delay, func() {
		select {
		case <-e.closed:
		default:
			f()
		}
	}))
}

// InstanceConfig returns the configuration file for a gateway instance that listens on the given address.
func (e *Emulator) InstanceConfig(instance int, listenAddress string) ([]byte, error) {
	config := map[string]any{
		"name":      fmt.Sprintf("d%d", instance),
		"listen":    listenAddress,
		"discovery": e.discovery.address(instance),
		"seed":      fmt.Sprintf("%016x", e.scenario.Seed<<8+uint64(instance)),
		"limits": map[string]any{
			"memory_mb": e.scenario.Instances.MemoryMB,
			"sockets":   e.scenario.Instances.MaxSockets,
		},
		"known":    e.discovery.snapshot(),
		"settings": e.scenario.GatewaySettings(instance),
	}
	if !e.scenario.Counter.Off {
		config["counter"] = e.counter.address(instance)
	}
	return json.MarshalIndent(config, "", " ")
}

// ScheduleFaults schedules the begin and the end of each fault of the scenario, with times counted from now. Faults
// of gateway instances are not included: the caller injects them.
func (e *Emulator) ScheduleFaults() {
	e.counter.sampleBreakers()
	for _, fault := range e.scenario.Faults {
		for _, occurrence := range e.scenario.Occurrences(fault) {
			target := occurrence.Target
			e.after(occurrence.Begin, func() { e.setFault(fault, target, faultBegins) })
			if occurrence.End > occurrence.Begin {
				e.after(occurrence.End, func() { e.setFault(fault, target, faultEnds) })
			}
		}
	}
}

// setFault begins or ends a fault of a target.
func (e *Emulator) setFault(fault scenario.Fault, target int, change faultChange) {
	switch fault.Kind {
	case scenario.BackendRefuse, scenario.BackendHang, scenario.BackendSlow, scenario.BackendReset,
		scenario.BackendGarble, scenario.BackendError, scenario.BackendDrain, scenario.BackendVanish,
		scenario.BackendRestart, scenario.BackendWithdraw:
		e.backends[target].setFault(fault, change)
	case scenario.CounterRefuse, scenario.CounterHang, scenario.CounterSlow, scenario.CounterEmpty,
		scenario.CounterCut:
		e.counter.setFault(fault, target, change)
	case scenario.DiscoveryStale:
		e.discovery.setStale(change)
	case scenario.DiscoveryLate:
		e.discovery.addDelay(time.Duration(fault.Delay) * time.Duration(change))
	case scenario.DiscoveryRefuse:
		e.discovery.setRefusing(change)
	}
}
