package policy

import "time"

// Settings configure an instance. It gets them at its start, and they may be replaced while it runs.
// internal/config reads them, checks them and sets the defaults.
type Settings struct {
	// InstanceIndex is this instance's number, from 0, among the fleet's Instances.
	InstanceIndex int
	Instances     int
	// Zone is the zone in which the instance runs.
	Zone ZoneID
	// Classes and Plans are indexed by ClassID and PlanID. A replacement may only add rows.
	Classes []ClassSettings
	Plans   []PlanSettings

	// MaxAttempts bounds a request's attempts, the first included.
	MaxAttempts int
	// Hedging allows a second attempt while one is in flight.
	Hedging bool
	// Cancellation allows attempts in flight to be canceled.
	Cancellation bool
	// HealthChecks allows calls that only check a backend.
	HealthChecks bool
	// RetryAfter allows rejections to say after what time to come back, MaxRetryAfter at most.
	RetryAfter    bool
	MaxRetryAfter time.Duration

	// CounterEnabled says that the instances share a counter, which itself gives up a call after
	// CounterTimeout.
	CounterEnabled bool
	CounterTimeout time.Duration
	// PostPaid says that a request's actual units are known only after it.
	PostPaid bool

	// PollEndpoints says that the endpoint list comes only on demand; a poll may take PollTimeout.
	PollEndpoints bool
	PollTimeout   time.Duration
	// DrainGrace is how long attempts may still begin at a backend after its drain was announced.
	DrainGrace time.Duration

	// A backend starts with SlowStartShare of its capacity and has all of it after SlowStartDuration. It
	// collapses when it gets OverloadMultiple times what it bears within any OverloadWindow.
	SlowStartShare    float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration

	// CrossZoneCost is the price of an attempt in another zone; 0: none.
	CrossZoneCost float64
}

// ClassSettings are the promises made for a class of requests.
type ClassSettings struct {
	Idempotency Idempotency
	// DedupScope and DedupWindow matter for requests that are idempotent with a key: which backends know
	// their repeats, and for how long after the first attempt.
	DedupScope  DedupScope
	DedupWindow time.Duration
	// LatencyObjective is the time within which an answer has its full value, and Deadline the time after
	// which the client gives up.
	LatencyObjective time.Duration
	Deadline         time.Duration
	// LateValue is the share of its value that an answer after the latency objective keeps.
	LateValue float64
	// FallbackMode decides while the counter gives no answer. The simulator's wire names none, so its
	// instances use their local share.
	FallbackMode FallbackMode
	// CheckOnly marks a class that only asks the quota: its requests are counted, admitted and not sent.
	CheckOnly bool
}

// PlanSettings are a plan's quotas, each for one tenant over all instances. A value of 0 means that the plan
// has no such quota.
type PlanSettings struct {
	// Rate, in units a second, and Burst, in units, are the quota's token bucket.
	Rate  float64
	Burst float64
	// ConcurrencyLimit bounds the attempts in flight.
	ConcurrencyLimit int
	// HardQuotaRate, in units a second, and HardQuotaBurst, in units, are never exceeded (rule 5).
	HardQuotaRate  float64
	HardQuotaBurst float64
	// OverQuotaValue and OverQuotaCost are the shares of a request's value that sending it beyond the quota
	// earns and costs.
	OverQuotaValue float64
	OverQuotaCost  float64
}

// DiscoveryTimeouts bound the calls to discovery.
type DiscoveryTimeouts struct {
	// Watch is how long a watch waits for an event, and Lateness how much later its answer may come.
	Watch      time.Duration
	WatchGrace time.Duration
	// Snapshot is how long a full snapshot may take.
	Snapshot time.Duration
	// MaxRetryDelay is the longest wait between a failure and the next call.
	MaxRetryDelay time.Duration
}
