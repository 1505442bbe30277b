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
	} `toml:"gateways"`
	Backends struct {
		Count     int     `toml:"count"`
		Cores     int     `toml:"cores"`      // attempts worked on at once
		Work      Span    `toml:"work"`       // median time for a unit
		WorkSigma float64 `toml:"work_sigma"` // sigma of the work's logarithm; 0: all equal
		Queue     int     `toml:"queue"`      // attempts that can wait; further ones are refused
		Zones     int     `toml:"zones"`
		Groups    int     `toml:"groups"`
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
		MaxRequests int      `toml:"max_requests"`
		Tenants     int      `toml:"tenants"`
		Skew        float64  `toml:"skew"`         // exponent of Zipf's law over the tenants; 0: all equal
		Units       float64  `toml:"units"`        // mean; each request has 1 or more
		EntryPoints int      `toml:"entry_points"` // instances that a tenant's requests go to; 0: all
		Retries     int      `toml:"retries"`      // most retries after a rejection
		Connections int      `toml:"connections"`
	} `toml:"load"`
	Rules struct {
		DeadlineGrace     Span    `toml:"deadline_grace"`   // of the final answer after the client's deadline
		DrainGrace        Span    `toml:"drain_grace"`      // of attempts to a backend that drains or is gone
		SlowStartShare    float64 `toml:"slow_start_share"` // of a backend that starts, as a share
		SlowStartDuration Span    `toml:"slow_start_duration"`
		OverloadMultiple  float64 `toml:"overload_multiple"` // of its capacity that a backend bears over the window
		OverloadWindow    Span    `toml:"overload_window"`
	} `toml:"rules"`
	Allow struct {
		MaxAttempts    int  `toml:"max_attempts"`
		HedgedAttempts bool `toml:"hedged_attempts"`
		Cancellation   bool `toml:"cancellation"`
		HealthChecks   bool `toml:"health_checks"`
		RetryAfter     bool `toml:"retry_after"`
		MaxRetryAfter  Span `toml:"max_retry_after"`
	} `toml:"allow"`
	Classes []Class `toml:"class"`
	Plans   []Plan  `toml:"plan"`
	Faults  []Fault `toml:"fault"`

	// Deprecations are the old names that the file and the overrides used, for warnings.
	Deprecations []tomlfile.Deprecation `toml:"-"`
}

// Idempotency is the idempotency of a class, as scenario files write it.
type Idempotency string

// The idempotency of a class.
const (
	Idempotent        Idempotency = "idempotent"
	IdempotentWithKey Idempotency = "idempotent-with-key"
	NonIdempotent     Idempotency = "non-idempotent"
)

// DedupScope says which backends recognize the repeat of a request with a key.
type DedupScope string

// The dedup scopes.
const (
	DedupByAll   DedupScope = "all" // any backend
	DedupByZone  DedupScope = "zone"
	DedupByGroup DedupScope = "group"
)

// Fallback is what a class does while the counter gives no answer.
type Fallback string

// The fallback modes. A class without one takes the gateway's default.
const (
	LocalShare Fallback = "local-share"
	FailOpen   Fallback = "fail-open"
	FailClosed Fallback = "fail-closed"
)

// Class is a class of requests.
type Class struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"idempotency"`
	DedupScope       DedupScope  `toml:"dedup_scope"`  // with a key
	DedupWindow      Span        `toml:"dedup_window"` // with a key
	LatencyObjective Span        `toml:"latency_objective"`
	Deadline         Span        `toml:"deadline"`
	LateValue        float64     `toml:"late_value"`
	Fallback         Fallback    `toml:"fallback"`
	Share            float64     `toml:"share"` // of the requests
}

// Plan is a tenant's quotas.
type Plan struct {
	Name           string  `toml:"name"`
	Rate           float64 `toml:"rate"`
	Burst          float64 `toml:"burst"`
	MaxConcurrent  int     `toml:"max_concurrent"`
	HardQuotaRate  float64 `toml:"hard_quota_rate"`
	HardQuotaBurst float64 `toml:"hard_quota_burst"`
	HardQuotaSlack float64 `toml:"hard_quota_slack"`
	OverQuotaValue float64 `toml:"over_quota_value"`
	OverQuotaCost  float64 `toml:"over_quota_cost"`
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
	s.Backends.WorkSigma = 0.5
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

	s.Rules.DeadlineGrace = 100e6
	s.Rules.DrainGrace = 1e9
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

// Load reads a scenario file and applies overrides of the form key=value: "gateways.count=100".
func Load(path string, overrides ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// Parse reads a scenario. Errors give name, line and key. Old names of keys are read for the new ones, and
// listed in the scenario's deprecations.
func Parse(name string, text []byte, overrides ...string) (*Scenario, error) {
	s := defaults()
	file, err := s.decode(name, text)
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
	_, err = s.decode("--set "+text, []byte(key+" = "+value))
	return err
}

// decode reads a text into the scenario, over the values that it has.
func (s *Scenario) decode(name string, text []byte) (*tomlfile.File, error) {
	file, deprecations, err := tomlfile.ReadRenamed(name, text, s, renamed)
	s.Deprecations = append(s.Deprecations, deprecations...)
	return file, err
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
