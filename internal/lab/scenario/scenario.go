// Package scenario reads the laboratory's scenario files: what is balanced, who sends which requests, and
// which faults come when. It fills in defaults, checks every key, and turns the terms of service into the
// settings that a gateway reads, so that the model and the sockets use the same ones. It runs nothing.
//
// A Scenario does not change after it is read, and is then safe for concurrent use.
package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"fawnplank/internal/config"
	"fawnplank/internal/tomlfile"
)

// Span is a time in nanoseconds, written as Go writes them: "20ms", "1.5s".
type Span = config.Duration

// Where a scenario is played.
const (
	OnModel   = "model"   // simulated time, in one process
	OnSockets = "sockets" // gateways between stand-ins on loopback
)

// Arrivals is how requests arrive.
type Arrivals string

// The kinds of arrivals.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsFixed   Arrivals = "fixed"
)

// Source is where the endpoint list comes from.
type Source string

// The sources of the endpoint list.
const (
	SourceHTTP Source = "http"
	SourceDNS  Source = "dns" // dynamic updates to the gateways; sockets only
)

// Protocol is the protocol of the counter.
type Protocol string

// The protocols of the counter.
const (
	ProtocolText Protocol = "text"
	ProtocolRESP Protocol = "resp"
)

// Scenario is one experiment. Rates are per second.
type Scenario struct {
	Name     string `toml:"name"`
	About    string `toml:"about"`
	On       string `toml:"on"`
	Seed     uint64 `toml:"seed"`
	Duration Span   `toml:"duration"` // of the arrivals; the run then waits for requests in flight

	Instances struct {
		Count    int `toml:"count"`
		MemoryMB int `toml:"memory_mb"` // sockets only
		Sockets  int `toml:"sockets"`   // sockets only
	} `toml:"doors"`
	Backends struct {
		Count  int     `toml:"count"`
		Cores  int     `toml:"cores"`  // attempts worked on at once
		Work   Span    `toml:"work"`   // median time for a unit
		Spread float64 `toml:"spread"` // sigma of the work's logarithm; 0: all equal
		Queue  int     `toml:"queue"`  // attempts that can wait; further ones are refused
		Zones  int     `toml:"zones"`
		Groups int     `toml:"groups"`
	} `toml:"backends"`
	Counter struct {
		Off      bool     `toml:"off"`
		Protocol Protocol `toml:"protocol"` // sockets only
		Delay    Span     `toml:"delay"`    // of an answer, beside the network's
		Rate     float64  `toml:"rate"`     // most calls per second; 0: no bound
		Timeout  Span     `toml:"timeout"`
	} `toml:"counter"`
	Discovery struct {
		Delay  Span   `toml:"delay"` // from a change to its delivery
		Source Source `toml:"source"`
	} `toml:"discovery"`
	Net struct {
		Delay Span `toml:"delay"` // one way; model only
	} `toml:"net"`
	Load struct {
		Rate        float64  `toml:"rate"` // requests, at all instances together
		Arrivals    Arrivals `toml:"arrivals"`
		MaxRequests int      `toml:"most"`
		Tenants     int      `toml:"customers"`
		Skew        float64  `toml:"skew"`    // exponent of Zipf's law over the tenants; 0: all equal
		Units       float64  `toml:"units"`   // mean; each request has 1 or more
		EntryPoints int      `toml:"spread"`  // instances that a tenant's requests go to; 0: all
		Retries     int      `toml:"retries"` // most retries after a rejection
		Connections int      `toml:"connections"`
	} `toml:"load"`
	Rules struct {
		Grace             Span    `toml:"grace"`      // of the final answer after the client's deadline
		Drain             Span    `toml:"drain"`      // of attempts to a backend that drains or is gone
		SlowStartShare    float64 `toml:"cold_share"` // of a backend that starts, as a share
		SlowStartDuration Span    `toml:"warm_up"`
		OverloadMultiple  float64 `toml:"fall_multiple"` // of its capacity that a backend bears over the window
		OverloadWindow    Span    `toml:"fall_span"`
	} `toml:"rules"`
	Allow struct {
		MaxAttempts    int  `toml:"shots"`
		HedgedAttempts bool `toml:"second_copies"`
		Cancellation   bool `toml:"recalls"`
		HealthChecks   bool `toml:"probes"`
		RetryAfter     bool `toml:"advice"`
		MaxRetryAfter  Span `toml:"longest_advice"`
	} `toml:"allow"`
	Classes []Class `toml:"profile"`
	Plans   []Plan  `toml:"plan"`
	Faults  []Fault `toml:"fault"`
}

// Idempotency is the idempotency of a class, as scenario files write it.
type Idempotency string

// The idempotency of a class.
const (
	Idempotent        Idempotency = "reissuable"
	IdempotentWithKey Idempotency = "numbered"
	NonIdempotent     Idempotency = "at-most-once"
)

// Class is a class of requests.
type Class struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"effect"`
	DedupScope       string      `toml:"reach"`  // all, zone or group; with a key
	DedupWindow      Span        `toml:"memory"` // with a key
	LatencyObjective Span        `toml:"promised"`
	Deadline         Span        `toml:"hard_limit"`
	LateValue        float64     `toml:"late_utility"`
	Fallback         string      `toml:"silence"` // of a counter that does not answer: share, open or closed
	Share            float64     `toml:"share"`   // of the requests
}

// Plan is a tenant's quotas.
type Plan struct {
	Name           string  `toml:"name"`
	Rate           float64 `toml:"rate"`
	Burst          float64 `toml:"burst"`
	MaxConcurrent  int     `toml:"parallel"`
	HardQuotaRate  float64 `toml:"ceiling_rate"`
	HardQuotaBurst float64 `toml:"ceiling_burst"`
	HardQuotaSlack float64 `toml:"ceiling_slack"`
	OverQuotaValue float64 `toml:"beyond_earns"`
	OverQuotaCost  float64 `toml:"beyond_costs"`
	Share          float64 `toml:"share"` // of the tenants
}

// defaults returns a scenario before its file is read. It sets every default that depends on no other value.
func defaults() *Scenario {
	s := &Scenario{On: OnModel, Seed: 1, Duration: 10e9}

	s.Instances.Count = 2
	s.Instances.MemoryMB = 64
	s.Instances.Sockets = 512

	s.Backends.Count = 4
	s.Backends.Cores = 2
	s.Backends.Work = 20e6
	s.Backends.Spread = 0.5
	s.Backends.Queue = 64
	s.Backends.Zones = 1
	s.Backends.Groups = 1

	s.Counter.Protocol = ProtocolText
	s.Counter.Delay = 500e3
	s.Counter.Timeout = 50e6
	s.Discovery.Delay = 100e6
	s.Discovery.Source = SourceHTTP
	s.Net.Delay = 200e3

	s.Load.Rate = 100
	s.Load.Arrivals = ArrivalsPoisson
	s.Load.MaxRequests = 1e7
	s.Load.Tenants = 20
	s.Load.Units = 1
	s.Load.Connections = 256

	s.Rules.Grace = 100e6
	s.Rules.Drain = 1e9
	s.Rules.SlowStartShare = 0.2
	s.Rules.SlowStartDuration = 9e9
	s.Rules.OverloadMultiple = 2
	s.Rules.OverloadWindow = 1e9

	s.Allow.MaxAttempts = 3
	s.Allow.HedgedAttempts = true
	s.Allow.Cancellation = true
	s.Allow.RetryAfter = true
	s.Allow.MaxRetryAfter = 1e9
	return s
}

// Load reads a scenario file and applies overrides of the form key=value: "doors.count=100".
func Load(path string, overrides ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// Parse reads a scenario. Errors give name, line and key.
func Parse(name string, text []byte, overrides ...string) (*Scenario, error) {
	s := defaults()
	file, err := tomlfile.Read(name, text, s)
	if err != nil {
		return nil, err
	}
	for _, override := range overrides {
		if err := s.override(override); err != nil {
			return nil, err
		}
	}
	s.complete()
	if err := s.validate(file); err != nil {
		return nil, err
	}
	s.Faults = expandRepeats(s.Faults)
	return s, nil
}

// override applies one key=value. A value that is not a number, bool or list is taken as a string.
func (s *Scenario) override(text string) error {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("%q is not of the form key=value", text)
	}
	_, err := strconv.ParseFloat(value, 64)
	isLiteral := err == nil || value == "true" || value == "false" || strings.HasPrefix(value, "[")
	if !isLiteral {
		value = strconv.Quote(value)
	}
	_, err = tomlfile.Read("--set "+text, []byte(key+" = "+value), s)
	return err
}

// complete sets the defaults that depend on other values.
func (s *Scenario) complete() {
	for n := range s.Classes {
		class := &s.Classes[n]
		class.Share = orDefault(class.Share, 1)
		class.Deadline = orDefault(class.Deadline, 2*class.LatencyObjective)
	}
	for n := range s.Plans {
		s.Plans[n].Share = orDefault(s.Plans[n].Share, 1)
	}
	s.Load.EntryPoints = orDefault(s.Load.EntryPoints, s.Instances.Count)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// BackendName returns a backend's name in discovery.
func BackendName(backend int) string { return fmt.Sprintf("s-%04d", backend) }
