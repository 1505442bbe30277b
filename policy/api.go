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
	TransactionID uint64
	BackendID     uint32
	CustomerID    uint64
	CountID       uint64 // the name of a number on the counter
	ProfileID     uint16 // index into Terms.Profiles
	PlanID        uint32 // index into Terms.Plans
	ZoneID        uint16
	GroupID       uint16
	ShotID        uint8 // a transaction's shots are numbered from 0 in the order they were sent
)

// Outcome is how a shot, a probe or a count ended.
type Outcome uint8

const (
	Fulfilled Outcome = iota
	Errored           // answered with an error; may have run
	Rejected          // turned away unseen; did not run
	TimedOut          // no answer in time; may have run
	Unreached         // no connection; did not run
	CutOff            // the connection broke; may have run
	Recalled          // called off; may have run
	Moot              // never sent
)

// Effect is what running a transaction twice does.
type Effect uint8

const (
	Reissuable Effect = iota // may run again
	Numbered                 // repeats are known by its mark, within its group and memory
	AtMostOnce               // must never run twice
)

// Reach is which backends know a numbered transaction's repeats.
type Reach uint8

const (
	ReachAll Reach = iota
	ReachZone
	ReachGroup
)

// Stage is where a backend is in its life.
type Stage uint8

const (
	Draining Stage = iota
	Ready
	Gone
)

// Listing is how a list of backends came.
type Listing uint8

const (
	Changes Listing = iota
	Whole
	Cached
	ListFailed
)

// Silence is what a profile does while the counter gives no answer.
type Silence uint8

const (
	KeepShare  Silence = iota // the front door's share of the quota
	LetAll                    // preset open
	DismissAll                // preset closed
)

// Listed is one line of the list of backends.
type Listed struct {
	Backend BackendID
	Zone    ZoneID
	Group   GroupID
	Size    float64 // what it is said to take, against the others
	Stage   Stage
	Started int64 // 0: long ago
}

// ProfileTerms are what is promised for a kind of transaction. Times are nanoseconds here and everywhere.
type ProfileTerms struct {
	Effect      Effect
	Reach       Reach
	Memory      int64 // how long repeats of a numbered transaction are known, from its first shot
	Promised    int64
	HardLimit   int64
	LateUtility float64 // share of the utility an answer after the promised time keeps
	Silence     Silence // preset; the simulator's wire names none, so its doors keep their share
	CountsOnly  bool    // a question about the quota: counted as a transaction is, then granted, and nothing is sent
}

// PlanTerms are a plan's quotas, each for one customer over all front doors.
type PlanTerms struct {
	Rate, Burst               float64 // units a second, units; rate 0: no such quota
	Parallel                  int     // shots out at once; 0: no such quota
	CeilingRate, CeilingBurst float64 // rate 0: no ceiling
	BeyondEarns, BeyondCosts  float64 // shares of the utility, for what is sent on beyond the quota
}

// Terms are what a front door is told at its start.
type Terms struct {
	Me, Doors      int
	Zone           ZoneID
	Profiles       []ProfileTerms
	Plans          []PlanTerms
	MostShots      int
	SecondCopies   bool
	Recalls        bool
	Probes         bool
	Advice         bool
	LongestAdvice  int64
	Counter        bool
	CounterTimeout int64
	PostPaid       bool
	ListOnRequest  bool
	AskWithin      int64
	DrainGrace     int64 // after a drain was told, until when sends to the backend may still begin
	ColdShare      float64
	WarmUp         int64
	FallMultiple   float64
	FallSpan       int64
	CrossZonePrice float64
}

// Door is what the decisions can do. Every call takes effect at once; none calls back.
type Door interface {
	// Shoot sends a shot; it ends as TimedOut at the time expire (0: when the client gives up). One that waits for
	// its connection is not begun at the time begin or later.
	Shoot(t TransactionID, b BackendID, expire, begin int64)
	Recall(t TransactionID, s ShotID)
	// Dismiss tells the client that trying again is harmless, after comeBack if that is above 0.
	Dismiss(t TransactionID, comeBack int64)
	BreakOff(t TransactionID)
	// Grant is the final answer to a transaction of a profile that only counts: there is room, and it was counted.
	Grant(t TransactionID)
	// Wake asks for a call of Gate.Wake with the same mark at the time at or soon after. One with a mark above
	// 0 takes the place of all such before it; a call for those does nothing.
	Wake(at int64, mark uint64)
	// Count adds units to a number that all front doors share; Gate.Counted brings the answer.
	Count(c CountID, units float64, lifetime int64)
	Probe(b BackendID)
	// Follow asks for the list of backends and its changes, where they do not come unasked.
	Follow()
	Note(text string)
}
