package policy

import (
	"strconv"
	"time"

	"fawnplank/internal/monotime"
)

// Instant is a moment on the caller's monotonic clock.
type Instant = monotime.Instant

// Each kind of identifier has its own type. Identifiers are only compared for equality.
type (
	// RequestID identifies a request.
	RequestID uint64
	// BackendID identifies a backend.
	BackendID uint32
	// TenantID identifies a tenant.
	TenantID uint64
	// CounterKey is the key of a count on the counter.
	CounterKey uint64
	// ClassID is an index into Settings.Classes.
	ClassID uint16
	// PlanID is an index into Settings.Plans.
	PlanID uint32
	// ZoneID identifies a zone.
	ZoneID uint16
	// GroupID identifies a group of backends that recognize each other's idempotency keys.
	GroupID uint16
	// AttemptID numbers the attempts of a request from 0, in the order in which they were sent.
	AttemptID uint8
	// TimerID numbers the wake-ups that the Engine requests. 0 is the periodic wake-up; each other wake-up
	// replaces those before it.
	TimerID uint64
)

// Outcome is the result of an attempt, a health check or a call to the counter.
type Outcome uint8

// The outcomes.
const (
	Succeeded      Outcome = iota
	Failed                 // answered with an error; may have run
	Rejected               // refused before it was processed; did not run
	TimedOut               // no answer in time; may have run
	ConnectFailed          // no connection; did not run
	ConnectionLost         // the connection broke; may have run
	Canceled               // canceled by Effects.Cancel; may have run
	NotSent                // never sent
	LocalFailure           // not connected, or given up before it was written, by this instance alone; did not run
)

func (o Outcome) String() string {
	return enumName(int(o), "succeeded", "failed", "rejected", "timed out", "connect failed", "connection lost",
		"canceled", "not sent", "local failure")
}

// mayHaveRun reports whether a backend may have run an attempt that ended with this outcome.
func (o Outcome) mayHaveRun() bool {
	switch o {
	case Rejected, ConnectFailed, NotSent, LocalFailure:
		return false
	case Succeeded, Failed, TimedOut, ConnectionLost, Canceled:
	}
	return true
}

// Idempotency states whether a request may be run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run more than once
	IdempotentWithKey                    // backends recognize repeats by their key, within the dedup scope and window
	NonIdempotent                        // must never run twice
)

func (i Idempotency) String() string {
	return enumName(int(i), "idempotent", "idempotent with key", "non-idempotent")
}

// DedupScope selects the backends that recognize the repeats of a request by its idempotency key.
type DedupScope uint8

// The dedup scopes.
const (
	DedupByAll DedupScope = iota
	DedupByZone
	DedupByGroup
)

func (s DedupScope) String() string { return enumName(int(s), "all", "zone", "group") }

// EndpointState is the state of a backend's lifecycle.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointDraining EndpointState = iota
	EndpointReady
	EndpointGone
)

func (s EndpointState) String() string { return enumName(int(s), "draining", "ready", "gone") }

// UpdateKind is the kind of an update of the endpoint list.
type UpdateKind uint8

// The kinds of update of the endpoint list.
const (
	Delta UpdateKind = iota
	FullSnapshot
	CachedSnapshot
	UpdateFailed
)

func (k UpdateKind) String() string {
	return enumName(int(k), "delta", "full snapshot", "cached snapshot", "update failed")
}

// FallbackMode selects how the requests of a class are admitted while the counter does not answer.
type FallbackMode uint8

// The fallback modes.
const (
	LocalShare FallbackMode = iota // admits up to the instance's own share of the quota
	FailOpen                       // admits every request that the last total does not show to be over the quota
	FailClosed                     // rejects every request
)

func (m FallbackMode) String() string {
	return enumName(int(m), "local share", "fail open", "fail closed")
}

// enumName returns the name of an enumeration value, or its number if it has no name.
func enumName(value int, names ...string) string {
	if value < len(names) {
		return names[value]
	}
	return strconv.Itoa(value)
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Backend   BackendID
	Zone      ZoneID
	Group     GroupID
	Weight    float64 // stated capacity, relative to the others
	State     EndpointState
	StartedAt Instant // zero: so long ago that its slow start is over
}

// RequestSpec describes a request as it arrives.
type RequestSpec struct {
	ID     RequestID
	Class  ClassID
	Plan   PlanID
	Tenant TenantID
	// Remaining is the time until the client gives up.
	Remaining time.Duration
	// Units is the number of units that the request adds to its tenant's count.
	Units float64
	// The tenant's requests arrive at EntryPoints consecutive instances, of which FirstInstance is the first.
	EntryPoints   int
	FirstInstance int
}

// AttemptSpec describes an attempt that is to be sent.
type AttemptSpec struct {
	Request RequestID
	Backend BackendID
	// ExpiresAt is when the attempt ends as TimedOut; zero: when the client gives up.
	ExpiresAt Instant
	// StartBefore bounds the wait for a connection: at this time or later the first byte must not be written.
	StartBefore Instant
}

// CounterResult is the result of the oldest unanswered call for a count.
type CounterResult struct {
	Key     CounterKey
	Outcome Outcome
	// Total is the count after the call, in units. It is valid if Outcome is Succeeded.
	Total float64
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Attempt AttemptID
	Outcome Outcome
	// Elapsed is the time since the attempt was sent.
	Elapsed time.Duration
	// RequestDone is true if the client has its answer, so that no other attempt can follow.
	RequestDone bool
	// ActualUnits is the number of units that the request used, if it is known only afterwards; otherwise 0.
	ActualUnits float64
}
