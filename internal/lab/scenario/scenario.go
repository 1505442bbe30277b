// Package scenario reads the laboratory's scenario files: what is balanced, who sends which requests, and
// which faults come when. It fills in defaults, rejects unknown keys, checks most values (see validate), and
// turns the terms of service into the settings that a gateway reads, so that the model and the sockets use the
// same ones. It runs nothing.
//
// A Scenario does not change after it is read, and is then safe for concurrent use.
package scenario

import (
	"fmt"

	"fawnplank/internal/config"
	"fawnplank/internal/tomlfile"
)

// Span is a span of time, which files write as Go does: "20ms", "1.5s".
type Span = config.Duration

// Where a scenario is played.
const (
	EnvironmentModel   = "model"   // simulated time, in one process
	EnvironmentSockets = "sockets" // gateways between emulated services on loopback
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

// Scenario is one experiment, as its file describes it. Rates are per second.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`    // one line for readers of results
	Environment string `toml:"on"`       // EnvironmentModel or EnvironmentSockets
	Seed        uint64 `toml:"seed"`     // of all random numbers
	Duration    Span   `toml:"duration"` // of the arrivals; the run then waits for requests in flight

	Instances   InstanceSettings   `toml:"gateways"`
	Backends    BackendSettings    `toml:"backends"`
	Counter     CounterSettings    `toml:"counter"`
	Discovery   DiscoverySettings  `toml:"discovery"`
	Network     NetworkSettings    `toml:"net"`
	Load        LoadSettings       `toml:"load"`
	Rules       RuleSettings       `toml:"rules"`
	Permissions PermissionSettings `toml:"allow"`

	Classes []Class `toml:"class"` // one at least
	Plans   []Plan  `toml:"plan"`  // one at least
	Faults  []Fault `toml:"fault"`

	// Deprecations are the old names that the file and the overrides used, for warnings.
	Deprecations []tomlfile.Deprecation `toml:"-"`
}

// InstanceSettings are the gateway instances.
type InstanceSettings struct {
	Count      int `toml:"count"`
	MemoryMB   int `toml:"memory_mb"` // each instance's limit, in MiB; sockets only
	MaxSockets int `toml:"sockets"`   // each instance's limit of open sockets; sockets only
}

// BackendSettings are the backends, which are all alike. Zones and groups are assigned to them in rotation.
type BackendSettings struct {
	Count     int     `toml:"count"`
	Cores     int     `toml:"cores"`      // attempts worked on at once
	Work      Span    `toml:"work"`       // median time of a core for a unit
	WorkSigma float64 `toml:"work_sigma"` // sigma of the work's logarithm; 0: all equal
	MaxQueued int     `toml:"queue"`      // attempts that can wait; further ones are refused
	Zones     int     `toml:"zones"`
	Groups    int     `toml:"groups"`
}

// CounterSettings are the shared counter.
type CounterSettings struct {
	Off      bool     `toml:"off"`      // the instances count by themselves
	Protocol Protocol `toml:"protocol"` // sockets only
	Delay    Span     `toml:"delay"`    // of an answer, beside the network's
	MaxRate  float64  `toml:"rate"`     // most calls per second; 0: no bound
	Timeout  Span     `toml:"timeout"`  // of the instances' calls
}

// DiscoverySettings are the source of the endpoint list.
type DiscoverySettings struct {
	Delay  Span   `toml:"delay"` // from a change to its delivery
	Source Source `toml:"source"`
}

// NetworkSettings are the network between all parts; model only.
type NetworkSettings struct {
	Delay Span `toml:"delay"` // mean, one way
}

// LoadSettings are the clients.
type LoadSettings struct {
	Rate           float64  `toml:"rate"` // requests per second, at all instances together
	Arrivals       Arrivals `toml:"arrivals"`
	MaxRequests    int      `toml:"max_requests"` // the arrivals end after so many
	Tenants        int      `toml:"tenants"`
	Skew           float64  `toml:"skew"`         // exponent of Zipf's law over the tenants; 0: all equal
	Units          float64  `toml:"units"`        // mean; each request has 1 or more
	EntryPoints    int      `toml:"entry_points"` // instances that a tenant's requests go to; 0: all
	MaxRetries     int      `toml:"retries"`      // most retries after a rejection
	MaxConnections int      `toml:"connections"`  // most connections of all clients; sockets only
}

// RuleSettings are the parameters of the five rules.
type RuleSettings struct {
	// DeadlineGrace is how long after the client's deadline the final answer may come.
	DeadlineGrace Span `toml:"deadline_grace"`
	// DrainGrace is how long the checker allows attempts to a backend that drains or is gone. Gateways do not get
	// it: they keep their default of 1 s.
	DrainGrace Span `toml:"drain_grace"`
	// SlowStartShare is the share of its capacity that a backend starts with.
	SlowStartShare float64 `toml:"slow_start_share"`
	// SlowStartDuration is the time from a backend's start until it has its whole capacity.
	SlowStartDuration Span `toml:"slow_start_duration"`
	// OverloadMultiple is the multiple of its capacity above which a warming backend collapses, measured over
	// OverloadWindow.
	OverloadMultiple float64 `toml:"overload_multiple"`
	// OverloadWindow is the time over which the work sent to a warming backend is summed.
	OverloadWindow Span `toml:"overload_window"`
}

// PermissionSettings say what gateways may do.
type PermissionSettings struct {
	MaxAttempts    int  `toml:"max_attempts"` // of a request, at all backends together
	HedgedAttempts bool `toml:"hedged_attempts"`
	Cancellation   bool `toml:"cancellation"` // of attempts in flight
	HealthChecks   bool `toml:"health_checks"`
	RetryAfter     bool `toml:"retry_after"` // in rejections
	MaxRetryAfter  Span `toml:"max_retry_after"`
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
	Name             string      `toml:"name"` // letters, digits and -
	Idempotency      Idempotency `toml:"idempotency"`
	DedupScope       DedupScope  `toml:"dedup_scope"`  // with a key
	DedupWindow      Span        `toml:"dedup_window"` // with a key
	LatencyObjective Span        `toml:"latency_objective"`
	Deadline         Span        `toml:"deadline"`   // until when a client waits; 0: twice the latency objective
	LateValue        float64     `toml:"late_value"` // share of its value that an answer after the objective keeps
	Fallback         Fallback    `toml:"fallback"`
	Share            float64     `toml:"share"` // of the requests, relative to other classes; 0: 1
}

// Plan is a tenant's quotas.
type Plan struct {
	Name           string  `toml:"name"`             // letters, digits and -
	Rate           float64 `toml:"rate"`             // units per second; 0: no quota
	Burst          float64 `toml:"burst"`            // units
	MaxConcurrent  int     `toml:"max_concurrent"`   // attempts in flight; 0: no limit
	HardQuotaRate  float64 `toml:"hard_quota_rate"`  // units per second; 0: none
	HardQuotaBurst float64 `toml:"hard_quota_burst"` // units
	HardQuotaSlack float64 `toml:"hard_quota_slack"` // units that the checker allows beyond the hard quota
	OverQuotaValue float64 `toml:"over_quota_value"` // share of its value that a request beyond the quota earns
	OverQuotaCost  float64 `toml:"over_quota_cost"`  // share of its value that one costs
	Share          float64 `toml:"share"`            // of the tenants, relative to other plans; 0: 1
}

// ZoneName returns the name of a zone in discovery and in the gateways' settings.
func ZoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// BackendName returns a backend's name in discovery.
func BackendName(backend int) string { return fmt.Sprintf("s-%04d", backend) }
