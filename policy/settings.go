package policy

import "time"

// Settings configure an instance. They are passed at its start and may be replaced while it runs. Package
// internal/config reads and validates them and sets the defaults.
type Settings struct {
	// InstanceIndex is this instance's number, from 0, among the Instances of the fleet.
	InstanceIndex int
	Instances     int
	// Zone is the zone in which the instance runs.
	Zone ZoneID
	// Classes and Plans are indexed by ClassID and PlanID. Replaced settings may only add rows.
	Classes []ClassSettings
	Plans   []PlanSettings

	// MaxTenants bounds the tenants for which state is kept; 0 means no bound. See Engine.findOrAddTenant.
	MaxTenants int

	// MaxAttempts bounds the attempts of a request, including the first.
	MaxAttempts int
	// Hedging allows a second attempt while one is in flight.
	Hedging bool
	// Cancellation allows the engine to cancel attempts in flight.
	Cancellation bool
	// HealthChecks allows the engine to send health checks to backends.
	HealthChecks bool
	// RetryAfter allows rejections to carry a Retry-After of at most MaxRetryAfter.
	RetryAfter    bool
	MaxRetryAfter time.Duration

	// CounterEnabled is true if the instances share a counter, which abandons a call after CounterTimeout.
	CounterEnabled bool
	CounterTimeout time.Duration
	// PostPaid is true if a request's actual units are known only after it has been answered.
	PostPaid bool

	// PollEndpoints is true if the endpoint list is polled, not pushed. A poll may take up to PollTimeout.
	PollEndpoints bool
	PollTimeout   time.Duration
	// DrainGrace is how long after the announcement of a drain attempts may still begin at the backend.
	DrainGrace time.Duration

	// A backend starts with SlowStartShare of its capacity and reaches its full capacity after
	// SlowStartDuration. It becomes overloaded when it receives OverloadMultiple times the load that it can bear
	// within any OverloadWindow.
	SlowStartShare    float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	// CrossZoneCost is the cost of an attempt in another zone; 0: no cost.
	CrossZoneCost float64
}

// ClassSettings are the guarantees given for a class of requests.
type ClassSettings struct {
	Idempotency Idempotency
	// DedupScope and DedupWindow apply to requests that are idempotent with a key: they state which backends
	// recognize repeats of the request, and for how long after the first attempt.
	DedupScope  DedupScope
	DedupWindow time.Duration
	// LatencyObjective is the time within which an answer has its full value. Deadline is the time after which
	// the client gives up.
	LatencyObjective time.Duration
	Deadline         time.Duration
	// LateValue is the share of the value that is left of an answer after the latency objective.
	LateValue float64
	// FallbackMode selects how requests are admitted while the counter does not answer. The simulator's protocol
	// has no field for it, so instances in the simulator use LocalShare.
	FallbackMode FallbackMode
	// CheckOnly marks a class whose requests only check the quota: they are counted and admitted or rejected,
	// and never sent to a backend.
	CheckOnly bool
}

// PlanSettings are the quotas of a plan. Each applies to one tenant over all instances. A value of 0 means that
// the plan has no such quota.
type PlanSettings struct {
	// Rate, in units a second, and Burst, in units, are the parameters of the quota's token bucket.
	Rate  float64
	Burst float64
	// ConcurrencyLimit bounds the attempts in flight.
	ConcurrencyLimit int
	// HardQuotaRate, in units a second, and HardQuotaBurst, in units, are the parameters of the hard quota's
	// token bucket, which is never exceeded (rule 5).
	HardQuotaRate  float64
	HardQuotaBurst float64
	// OverQuotaValue and OverQuotaCost are the shares of a request's value that are earned and lost by sending
	// it beyond the quota.
	OverQuotaValue float64
	OverQuotaCost  float64
}

// DiscoveryTimeouts bound the calls to the discovery service.
type DiscoveryTimeouts struct {
	// Watch is how long a watch waits for an event. WatchGrace is how much later its answer may arrive.
	Watch      time.Duration
	WatchGrace time.Duration
	// Snapshot is how long a full snapshot may take.
	Snapshot time.Duration
	// MaxRetryDelay is the longest delay between a failure and the next call.
	MaxRetryDelay time.Duration
}
