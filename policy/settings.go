package policy

// Settings configure an instance. It gets them at its start, and they may be replaced while it runs.
type Settings struct {
	InstanceIndex  int // of this instance, from 0
	Instances      int // of the fleet
	Zone           ZoneID
	Classes        []ClassSettings
	Plans          []PlanSettings
	MaxAttempts    int
	Hedging        bool // a second attempt may be sent while one is in flight
	Cancellation   bool // attempts can be canceled
	HealthChecks   bool // backends can be checked
	RetryAfter     bool // rejections can carry a time to come back after
	MaxRetryAfter  int64
	CounterEnabled bool // the instances share a counter
	CounterTimeout int64
	PostPaid       bool // a request's actual units are known only after it
	PollEndpoints  bool // the endpoint list comes only on demand
	PollTimeout    int64
	DrainGrace     int64 // how long after a drain was announced attempts may still begin at the backend

	// A backend starts with SlowStartShare of its capacity and has all of it after SlowStartDuration. It
	// collapses when it gets OverloadMultiple times what it bears within any OverloadWindow.
	SlowStartShare    float64
	SlowStartDuration int64
	OverloadMultiple  float64
	OverloadWindow    int64

	CrossZoneCost float64 // of an attempt in another zone; 0: none
}

// ClassSettings are the promises made for a class of requests.
type ClassSettings struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      int64 // how long backends know repeats of a request with a key, from its first attempt
	LatencyObjective int64
	Deadline         int64
	LateValue        float64      // share of the value that an answer after the latency objective keeps
	FallbackMode     FallbackMode // the simulator's wire names none, so its instances use their local share
	CheckOnly        bool         // only asks the quota: requests are counted, admitted and not sent
}

// PlanSettings are a plan's quotas, each for one tenant over all instances.
type PlanSettings struct {
	Rate             float64 // units a second; 0: no such quota
	Burst            float64 // units
	ConcurrencyLimit int     // attempts in flight; 0: no such quota
	HardQuotaRate    float64 // units a second; 0: no hard quota
	HardQuotaBurst   float64 // units
	OverQuotaValue   float64 // share of the value that a request beyond the quota earns
	OverQuotaCost    float64 // share of the value that sending a request beyond the quota costs
}

// DiscoveryTimeouts bound the calls to discovery, in nanoseconds.
type DiscoveryTimeouts struct {
	Watch      int64 // how long a watch waits for an event
	Lateness   int64 // how much later than that its answer may come
	Snapshot   int64 // how long a full snapshot may take
	RetryDelay int64 // how long after a failure the next call is made
}
