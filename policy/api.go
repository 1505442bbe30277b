// Package policy decides, for one front door, what becomes of each transaction. This file holds the words
// that the decisions and their caller share; the decisions are in policy.go.
//
// How to call it: New makes a Gate from the terms; Backends feeds it the list. Take takes a transaction and
// gives its handle; Settled, Started and Left are called on that handle. Counted, Probed and Wake bring the
// answers of the counter, of probes and of the clock. Calls of one Gate come one at a time, in order of time.
// Each transaction is counted under a short wait; a breaker stops calling a counter that fails, and the
// door's share of the quota decides instead. What is let in goes to the first backend of a ranked order that
// is below its limit. Only (*Transaction).shoot sends, and only end and Settled finish.
package policy

// Each kind of id is a type of its own. Ids say nothing beyond being equal or not.
type (
	RequestID  uint64
	BackendID  uint32
	TenantID   uint64
	CounterKey uint64 // the name of a number on the counter
	ClassID    uint16 // index into Terms.Profiles
	PlanID     uint32 // index into Terms.Plans
	ZoneID     uint16
	GroupID    uint16
	AttemptID  uint8 // a transaction's shots are numbered from 0 in the order they were sent
)

// Outcome is how a shot, a probe or a count ended.
type Outcome uint8

const (
	Succeeded      Outcome = iota
	Failed                 // answered with an error; may have run
	Rejected               // turned away unseen; did not run
	TimedOut               // no answer in time; may have run
	ConnectFailed          // no connection; did not run
	ConnectionLost         // the connection broke; may have run
	Canceled               // called off; may have run
	NotSent                // never sent
)

// Idempotency is what running a transaction twice does.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // repeats are known by its mark, within its group and memory
	NonIdempotent                        // must never run twice
)

// DedupScope is which backends know a numbered transaction's repeats.
type DedupScope uint8

const (
	DedupByAll DedupScope = iota
	DedupByZone
	DedupByGroup
)

// EndpointState is where a backend is in its life.
type EndpointState uint8

const (
	EndpointDraining EndpointState = iota
	EndpointReady
	EndpointGone
)

// UpdateKind is how a list of backends came.
type UpdateKind uint8

const (
	Delta UpdateKind = iota
	FullSnapshot
	CachedSnapshot
	UpdateFailed
)

// FallbackMode is what a profile does while the counter gives no answer.
type FallbackMode uint8

const (
	LocalShare FallbackMode = iota // the front door's share of the quota
	FailOpen                       // preset open
	FailClosed                     // preset closed
)

// Endpoint is one line of the list of backends.
type Endpoint struct {
	Backend   BackendID
	Zone      ZoneID
	Group     GroupID
	Capacity  float64 // what it is said to take, against the others
	State     EndpointState
	StartedAt int64 // 0: long ago
}

// ClassSettings are what is promised for a kind of transaction. Times are nanoseconds here and everywhere.
type ClassSettings struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      int64 // how long repeats of a numbered transaction are known, from its first shot
	LatencyObjective int64
	Deadline         int64
	LateValue        float64      // share of the utility an answer after the promised time keeps
	FallbackMode     FallbackMode // preset; the simulator's wire names none, so its doors keep their share
	CheckOnly        bool         // a question about the quota: counted as a transaction is, then granted, and nothing is sent
}

// PlanSettings are a plan's quotas, each for one customer over all front doors.
type PlanSettings struct {
	Rate, Burst                   float64 // units a second, units; rate 0: no such quota
	ConcurrencyLimit              int     // shots out at once; 0: no such quota
	HardQuotaRate, HardQuotaBurst float64 // rate 0: no ceiling
	OverQuotaValue, OverQuotaCost float64 // shares of the utility, for what is sent on beyond the quota
}

// Settings are what a front door is told at its start.
type Settings struct {
	InstanceIndex, Instances int
	Zone                     ZoneID
	Classes                  []ClassSettings
	Plans                    []PlanSettings
	MaxAttempts              int
	Hedging                  bool
	Cancellation             bool
	HealthChecks             bool
	RetryAfter               bool
	MaxRetryAfter            int64
	CounterEnabled           bool
	CounterTimeout           int64
	PostPaid                 bool
	PollEndpoints            bool
	PollTimeout              int64
	DrainGrace               int64 // after a drain was told, until when sends to the backend may still begin
	SlowStartShare           float64
	SlowStartDuration        int64
	OverloadMultiple         float64
	OverloadWindow           int64
	CrossZoneCost            float64
}

// DiscoveryTimeouts bound the calls to discovery. All are nanoseconds.
type DiscoveryTimeouts struct {
	Watch      int64 // how long a watch waits for an event
	Lateness   int64 // how much later than that its answer may come
	Snapshot   int64 // how long a full snapshot may take
	RetryDelay int64 // how long after a failure the next call is made
}

// RequestSpec is one request as it arrives.
type RequestSpec struct {
	ID     RequestID
	Class  ClassID
	Plan   PlanID
	Tenant TenantID
	// Remaining is the time until the client gives up, in nanoseconds.
	Remaining int64
	Units     float64
	// The tenant's requests come in through EntryPoints instances in a row, from FirstInstance on.
	EntryPoints   int
	FirstInstance int
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Attempt AttemptID
	Outcome Outcome
	// Elapsed is the time since the attempt was sent, in nanoseconds.
	Elapsed int64
	// RequestDone says that the client has its answer: no other attempt can follow.
	RequestDone bool
	// TrueUnits is what the request really counted, where that is known only afterwards; else 0.
	TrueUnits float64
}

// Effects is what the decisions can do. Every call takes effect at once; none calls back.
type Effects interface {
	// Send sends a shot; it ends as TimedOut at the time expire (0: when the client gives up). One that waits for
	// its connection is not begun at the time begin or later.
	Send(t RequestID, b BackendID, expire, begin int64)
	Cancel(t RequestID, s AttemptID)
	// Reject tells the client that trying again is harmless, after comeBack if that is above 0.
	Reject(t RequestID, comeBack int64)
	Abort(t RequestID)
	// Admit is the final answer to a transaction of a profile that only counts: there is room, and it was counted.
	Admit(t RequestID)
	// WakeAt asks for a call of Gate.Wake with the same mark at the time at or soon after. One with a mark above
	// 0 takes the place of all such before it; a call for those does nothing.
	WakeAt(at int64, mark uint64)
	// AddToCounter adds units to a number that all front doors share; Gate.Counted brings the answer.
	AddToCounter(c CounterKey, units float64, lifetime int64)
	CheckHealth(b BackendID)
	// WatchEndpoints asks for the list of backends and its changes, where they do not come unasked.
	WatchEndpoints()
	Log(text string)
}
