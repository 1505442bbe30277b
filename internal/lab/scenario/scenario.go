// Package scenario reads the laboratory's scenario files, which describe gateways, backends and other services, the
// load, and the faults. It fills in defaults, rejects unknown keys, checks most values (see validate), and derives
// the gateways' settings from the scenario, so that runs in the model and on sockets use the same settings. It does
// not execute scenarios.
//
// A Scenario is not changed after Parse returns it, and is then safe for concurrent use.
package scenario

import (
	"fmt"

	"fawnplank/internal/config"
	"fawnplank/internal/tomlfile"
)

// Span is a length of time. Files give it in the syntax of time.ParseDuration, such as "20ms" or "1.5s".
type Span = config.Duration

// The environments in which a scenario can be run.
const (
	EnvironmentModel   = "model"   // a simulation in one process
	EnvironmentSockets = "sockets" // gateway processes and emulated services on loopback
)

// Arrivals is the arrival process of requests.
type Arrivals string

// The arrival processes.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsFixed   Arrivals = "fixed"
)

// Source is the source of the endpoint list.
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

// Scenario is one experiment as described by its file. Rates are per second.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`    // one line, shown with the results
	Environment string `toml:"on"`       // EnvironmentModel or EnvironmentSockets
	Seed        uint64 `toml:"seed"`     // seed of all random number generators
	Duration    Span   `toml:"duration"` // duration of the arrivals; the run then waits for requests in flight

	Instances   InstanceSettings   `toml:"gateways"`
	Backends    BackendSettings    `toml:"backends"`
	Counter     CounterSettings    `toml:"counter"`
	Discovery   DiscoverySettings  `toml:"discovery"`
	Network     NetworkSettings    `toml:"net"`
	Load        LoadSettings       `toml:"load"`
	Rules       RuleSettings       `toml:"rules"`
	Permissions PermissionSettings `toml:"allow"`

	Classes []Class `toml:"class"` // at least one
	Plans   []Plan  `toml:"plan"`  // at least one
	Faults  []Fault `toml:"fault"`

	// Deprecations lists the deprecated names in the file and the overrides, for warnings.
	Deprecations []tomlfile.Deprecation `toml:"-"`
}

// InstanceSettings describe the gateway instances.
type InstanceSettings struct {
	Count      int `toml:"count"`
	MemoryMB   int `toml:"memory_mb"` // memory limit of each instance in MiB; sockets only
	MaxSockets int `toml:"sockets"`   // limit of open sockets of each instance; sockets only
}

// BackendSettings describe the backends, which have the same settings. Zones and groups are assigned to them in
// rotation.
type BackendSettings struct {
	Count     int     `toml:"count"`
	Cores     int     `toml:"cores"`      // number of attempts that a backend runs concurrently
	Work      Span    `toml:"work"`       // median core time per unit
	WorkSigma float64 `toml:"work_sigma"` // standard deviation of the logarithm of the work; 0: no variation
	MaxQueued int     `toml:"queue"`      // attempts that can wait; a backend refuses further ones
	Zones     int     `toml:"zones"`
	Groups    int     `toml:"groups"`
}

// CounterSettings describe the shared counter.
type CounterSettings struct {
	Off      bool     `toml:"off"`      // the instances use no counter and count locally
	Protocol Protocol `toml:"protocol"` // sockets only
	Delay    Span     `toml:"delay"`    // processing time of a call, in addition to network delay
	MaxRate  float64  `toml:"rate"`     // calls per second; 0: no limit
	Timeout  Span     `toml:"timeout"`  // timeout of the instances' calls
}

// DiscoverySettings describe the source of the endpoint list.
type DiscoverySettings struct {
	Delay  Span   `toml:"delay"` // time from a change to its delivery
	Source Source `toml:"source"`
}

// NetworkSettings describe the network between all components; model only.
type NetworkSettings struct {
	Delay Span `toml:"delay"` // mean delay in one direction
}

// LoadSettings describe the load that clients generate.
type LoadSettings struct {
	Rate           float64  `toml:"rate"` // requests per second at all instances together
	Arrivals       Arrivals `toml:"arrivals"`
	MaxRequests    int      `toml:"max_requests"` // arrivals end after this number of requests
	Tenants        int      `toml:"tenants"`
	Skew           float64  `toml:"skew"`         // exponent of the Zipf distribution over tenants; 0: uniform
	Units          float64  `toml:"units"`        // mean number of units per request; each has at least 1
	EntryPoints    int      `toml:"entry_points"` // number of instances that a tenant's requests are sent to; 0: all
	MaxRetries     int      `toml:"retries"`      // retries of a request after rejections
	MaxConnections int      `toml:"connections"`  // connections of all clients together; sockets only
}

// RuleSettings are the parameters of the five rules.
type RuleSettings struct {
	// DeadlineGrace is how long after the client's deadline the final answer may come.
	DeadlineGrace Span `toml:"deadline_grace"`
	// DrainGrace is how long the checker allows attempts to a backend that is draining or gone. It is not passed to
	// gateways, which use their default of 1 s.
	DrainGrace Span `toml:"drain_grace"`
	// SlowStartShare is the share of its capacity that a backend starts with.
	SlowStartShare float64 `toml:"slow_start_share"`
	// SlowStartDuration is the time from a backend's start until it has its full capacity.
	SlowStartDuration Span `toml:"slow_start_duration"`
	// OverloadMultiple is the multiple of its capacity above which a warming backend is overloaded, measured over
	// OverloadWindow.
	OverloadMultiple float64 `toml:"overload_multiple"`
	// OverloadWindow is the length of the sliding window in which the work sent to a warming backend is summed.
	OverloadWindow Span `toml:"overload_window"`
}

// PermissionSettings limit and enable what gateways may do.
type PermissionSettings struct {
	MaxAttempts    int  `toml:"max_attempts"` // per request, at all backends together
	HedgedAttempts bool `toml:"hedged_attempts"`
	Cancellation   bool `toml:"cancellation"` // whether attempts in flight may be canceled
	HealthChecks   bool `toml:"health_checks"`
	RetryAfter     bool `toml:"retry_after"` // whether rejections contain Retry-After
	MaxRetryAfter  Span `toml:"max_retry_after"`
}

// Idempotency is the idempotency of a class.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent        Idempotency = "idempotent"
	IdempotentWithKey Idempotency = "idempotent-with-key"
	NonIdempotent     Idempotency = "non-idempotent"
)

// DedupScope is the set of backends that recognize a repeated request by its idempotency key.
type DedupScope string

// The dedup scopes.
const (
	DedupByAll   DedupScope = "all" // all backends
	DedupByZone  DedupScope = "zone"
	DedupByGroup DedupScope = "group"
)

// Fallback is how gateways decide on requests of a class while the counter is unavailable.
type Fallback string

// The fallback modes. For a class without one, gateways use their default.
const (
	LocalShare Fallback = "local-share"
	FailOpen   Fallback = "fail-open"
	FailClosed Fallback = "fail-closed"
)

// Class is a class of requests.
type Class struct {
	Name             string      `toml:"name"` // letters, digits and -
	Idempotency      Idempotency `toml:"idempotency"`
	DedupScope       DedupScope  `toml:"dedup_scope"`  // only with IdempotentWithKey
	DedupWindow      Span        `toml:"dedup_window"` // only with IdempotentWithKey
	LatencyObjective Span        `toml:"latency_objective"`
	Deadline         Span        `toml:"deadline"`   // how long a client waits; 0: twice the latency objective
	LateValue        float64     `toml:"late_value"` // share of its value that an answer after the objective keeps
	Fallback         Fallback    `toml:"fallback"`
	Share            float64     `toml:"share"` // weight of the class among all requests; 0: 1
}

// Plan defines the quotas of its tenants.
type Plan struct {
	Name           string  `toml:"name"`             // letters, digits and -
	Rate           float64 `toml:"rate"`             // units per second; 0: no quota
	Burst          float64 `toml:"burst"`            // units
	MaxConcurrent  int     `toml:"max_concurrent"`   // attempts in flight; 0: no limit
	HardQuotaRate  float64 `toml:"hard_quota_rate"`  // units per second; 0: no hard quota
	HardQuotaBurst float64 `toml:"hard_quota_burst"` // units
	HardQuotaSlack float64 `toml:"hard_quota_slack"` // units that the checker allows beyond the hard quota
	OverQuotaValue float64 `toml:"over_quota_value"` // share of its value that a request beyond the quota earns
	OverQuotaCost  float64 `toml:"over_quota_cost"`  // share of its value that a request beyond the quota costs
	Share          float64 `toml:"share"`            // weight of the plan among all tenants; 0: 1
}

// ZoneName returns the name of a zone in discovery and in the gateways' settings.
func ZoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// BackendName returns a backend's name in discovery.
func BackendName(backend int) string { return fmt.Sprintf("s-%04d", backend) }
