package scenario

import "math"

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	BackendRefuse   FaultKind = "backend-refuse"   // the backend refuses connections
	BackendHang     FaultKind = "backend-hang"     // the backend accepts attempts and never answers
	BackendSlow     FaultKind = "backend-slow"     // work takes Factor times as long
	BackendReset    FaultKind = "backend-reset"    // the backend resets the connection within an answer
	BackendGarble   FaultKind = "backend-garble"   // answers are not valid responses
	BackendError    FaultKind = "backend-error"    // the backend answers with errors
	BackendDrain    FaultKind = "backend-drain"    // listed as draining, and refuses new attempts
	BackendVanish   FaultKind = "backend-vanish"   // drops off the network and the list, and restarts at the end
	BackendWithdraw FaultKind = "backend-withdraw" // leaves the list, keeps running, and returns with a new start time
	BackendRestart  FaultKind = "backend-restart"  // the process crashes, and restarts at the end
	CounterRefuse   FaultKind = "counter-refuse"   // the counter refuses connections
	CounterHang     FaultKind = "counter-hang"     // the counter accepts calls and answers none until the end
	CounterSlow     FaultKind = "counter-slow"     // answers are late by Delay
	CounterEmpty    FaultKind = "counter-empty"    // the counter loses all totals at once
	CounterCut      FaultKind = "counter-cut"      // calls of the target instances get no answer
	DiscoveryStale  FaultKind = "discovery-stale"  // no changes are delivered until the end
	DiscoveryLate   FaultKind = "discovery-late"   // changes are delivered late by Delay
	DiscoveryRefuse FaultKind = "discovery-refuse" // discovery refuses connections; model: like DiscoveryStale
	InstanceRestart FaultKind = "gateway-restart"  // the instance is killed, and restarted at the end
)

// targetKind is the kind of a fault's targets, as error messages name it.
type targetKind string

const (
	noTargets       targetKind = ""
	backendTargets  targetKind = "backends"
	instanceTargets targetKind = "gateways"
)

// parameter is a key that some kinds of fault require.
type parameter string

const (
	factorParameter parameter = "factor"
	delayParameter  parameter = "delay"
)

// faultTraits describe which keys a kind of fault has.
type faultTraits struct {
	targets           targetKind
	requiredParameter parameter
	isInstant         bool // the fault takes effect at its start and needs no duration
}

var traitsByKind = map[FaultKind]faultTraits{
	BackendRefuse:   {targets: backendTargets},
	BackendHang:     {targets: backendTargets},
	BackendSlow:     {targets: backendTargets, requiredParameter: factorParameter},
	BackendReset:    {targets: backendTargets},
	BackendGarble:   {targets: backendTargets},
	BackendError:    {targets: backendTargets},
	BackendDrain:    {targets: backendTargets},
	BackendVanish:   {targets: backendTargets},
	BackendRestart:  {targets: backendTargets},
	BackendWithdraw: {targets: backendTargets},
	CounterRefuse:   {},
	CounterHang:     {},
	CounterSlow:     {requiredParameter: delayParameter},
	CounterEmpty:    {isInstant: true},
	CounterCut:      {targets: instanceTargets},
	DiscoveryStale:  {},
	DiscoveryLate:   {requiredParameter: delayParameter},
	DiscoveryRefuse: {},
	InstanceRestart: {targets: instanceTargets},
}

// Fault is a fault that a scenario injects. Times count from the run's start.
type Fault struct {
	Kind           FaultKind `toml:"kind"`
	At             Span      `toml:"at"`
	Duration       Span      `toml:"duration"` // above 0, except for an instant kind
	Targets        []int     `toml:"targets"`  // numbers of backends or instances, from 0
	Share          float64   `toml:"share"`    // instead of Targets: this share of all of them, from number 0
	Factor         float64   `toml:"factor"`   // BackendSlow: the factor by which work takes longer
	Delay          Span      `toml:"delay"`    // CounterSlow, DiscoveryLate: additional delay
	Stagger        Span      `toml:"stagger"`  // time between the starts at two successive targets
	Repeats        int       `toml:"repeats"`  // number of occurrences; 0: one
	RepeatInterval Span      `toml:"repeat_interval"`
}

// expandRepeats replaces each repeated fault by a single fault per occurrence.
func expandRepeats(faults []Fault) (expanded []Fault) {
	for _, fault := range faults {
		for n := range max(fault.Repeats, 1) {
			single := fault
			single.Repeats = 0
			single.At += Span(n) * fault.RepeatInterval
			expanded = append(expanded, single)
		}
	}
	return expanded
}

// Targets returns the numbers of the backends or instances that a fault affects.
func (s *Scenario) Targets(fault Fault) []int {
	if len(fault.Targets) > 0 {
		return fault.Targets
	}
	targets := make([]int, int(math.Ceil(fault.Share*float64(s.countOf(traitsByKind[fault.Kind].targets)))))
	for n := range targets {
		targets[n] = n
	}
	return targets
}

// countOf returns the number of possible targets of a kind.
func (s *Scenario) countOf(kind targetKind) int {
	switch kind {
	case backendTargets:
		return s.Backends.Count
	case instanceTargets:
		return s.Instances.Count
	}
	return 0
}
