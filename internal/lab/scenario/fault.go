package scenario

import "math"

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	BackendRefuse   FaultKind = "backend-refuse"   // connections are refused
	BackendHang     FaultKind = "backend-hang"     // accepts attempts and answers none
	BackendSlow     FaultKind = "backend-slow"     // work takes factor times as long
	BackendReset    FaultKind = "backend-reset"    // the connection breaks in the middle of an answer
	BackendGarble   FaultKind = "backend-garble"   // answers are noise
	BackendError    FaultKind = "backend-error"    // answers are errors
	BackendDrain    FaultKind = "backend-drain"    // listed as draining; refuses new work
	BackendVanish   FaultKind = "backend-vanish"   // dies, leaves the list, and comes back to warm up
	BackendWithdraw FaultKind = "backend-withdraw" // leaves the list, runs on, and returns as a new one
	BackendRestart  FaultKind = "backend-restart"  // dies and comes back to warm up, with a new start
	CounterRefuse   FaultKind = "counter-refuse"   // refuses connections
	CounterHang     FaultKind = "counter-hang"     // accepts calls and answers none until the end
	CounterSlow     FaultKind = "counter-slow"     // answers late by delay
	CounterEmpty    FaultKind = "counter-empty"    // loses all numbers, at once
	CounterCut      FaultKind = "counter-cut"      // gives the instances named no answer
	DiscoveryStale  FaultKind = "discovery-stale"  // delivers nothing until the end
	DiscoveryLate   FaultKind = "discovery-late"   // delivers changes late by delay
	DiscoveryRefuse FaultKind = "discovery-refuse" // refuses connections; model: as stale
	InstanceRestart FaultKind = "gateway-restart"  // killed, and started anew at the end
)

// targetKind says what the targets of a fault are, in the words of errors.
type targetKind string

const (
	noTargets       targetKind = ""
	backendTargets  targetKind = "backends"
	instanceTargets targetKind = "gateways"
)

// parameter is a key that a kind of fault needs.
type parameter string

const (
	factorParameter parameter = "factor"
	delayParameter  parameter = "delay"
)

// faultTraits say which keys a kind of fault has.
type faultTraits struct {
	targets   targetKind
	needs     parameter
	isInstant bool // it acts when it begins, and needs no duration
}

var traitsOf = map[FaultKind]faultTraits{
	BackendRefuse:   {targets: backendTargets},
	BackendHang:     {targets: backendTargets},
	BackendSlow:     {targets: backendTargets, needs: factorParameter},
	BackendReset:    {targets: backendTargets},
	BackendGarble:   {targets: backendTargets},
	BackendError:    {targets: backendTargets},
	BackendDrain:    {targets: backendTargets},
	BackendVanish:   {targets: backendTargets},
	BackendRestart:  {targets: backendTargets},
	BackendWithdraw: {targets: backendTargets},
	CounterRefuse:   {},
	CounterHang:     {},
	CounterSlow:     {needs: delayParameter},
	CounterEmpty:    {isInstant: true},
	CounterCut:      {targets: instanceTargets},
	DiscoveryStale:  {},
	DiscoveryLate:   {needs: delayParameter},
	DiscoveryRefuse: {},
	InstanceRestart: {targets: instanceTargets},
}

// Fault is something that goes wrong from a time on for a duration. Times count from the run's start.
type Fault struct {
	Kind           FaultKind `toml:"kind"`
	At             Span      `toml:"at"`
	Duration       Span      `toml:"duration"` // above 0, but for an instant kind
	Targets        []int     `toml:"targets"`  // numbers of backends or instances, from 0
	Share          float64   `toml:"share"`    // instead of targets: this share of them all, the first ones
	Factor         float64   `toml:"factor"`   // BackendSlow: how many times as long work takes
	Delay          Span      `toml:"delay"`    // CounterSlow, DiscoveryLate: how late
	Stagger        Span      `toml:"stagger"`  // time between one target and the next
	Repeats        int       `toml:"repeats"`  // how often the fault comes; 0: once
	RepeatInterval Span      `toml:"repeat_interval"`
}

// expandRepeats replaces each fault that repeats by as many single faults.
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
	targets := make([]int, int(math.Ceil(fault.Share*float64(s.countOf(traitsOf[fault.Kind].targets)))))
	for n := range targets {
		targets[n] = n
	}
	return targets
}

// countOf returns how many possible targets of a kind there are.
func (s *Scenario) countOf(kind targetKind) int {
	switch kind {
	case backendTargets:
		return s.Backends.Count
	case instanceTargets:
		return s.Instances.Count
	}
	return 0
}
