package simadapter

import (
	"fmt"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/monotime"
	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// The functions in this file read the bodies of events. They do not check the frame's error: readMessage does so
// before a message is used. The errors that they return concern values that the wire format does not define.

// Codes of the events on the wire.
const (
	eventCreate          uint8 = 0
	eventEndpoints       uint8 = 1
	eventSubmit          uint8 = 2
	eventResponseStarted uint8 = 3
	eventAttemptResult   uint8 = 4
	eventClientGone      uint8 = 5
	eventTimer           uint8 = 6
	eventHealthCheck     uint8 = 7
	eventPeerMessage     uint8 = 8
	eventKill            uint8 = 9
	eventCounterResult   uint8 = 10
)

// Kinds of update of the endpoint list on the wire.
const (
	updateDelta          = 0
	updateFullSnapshot   = 1
	updateCachedSnapshot = 2
	updateFailed         = 3
)

// updateKinds maps a kind of update on the wire to the engine's.
var updateKinds = map[uint8]policy.UpdateKind{
	updateDelta:          policy.Delta,
	updateFullSnapshot:   policy.FullSnapshot,
	updateCachedSnapshot: policy.CachedSnapshot,
	updateFailed:         policy.UpdateFailed,
}

// States of a backend on the wire. State 2 is not defined.
const (
	stateDraining = 0
	stateReady    = 1
	stateGone     = 3
)

// instantFromMillis converts a time on the wire, in milliseconds, to the engine's form. instantMillis and
// durationMillis convert times and durations of the engine to milliseconds.
func instantFromMillis(ms float64) policy.Instant {
	return monotime.FromNanos(int64(config.DurationFromMilliseconds(ms)))
}
func instantMillis(at policy.Instant) float64 { return durationMillis(time.Duration(at.Nanos())) }
func durationMillis(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// maxCount bounds counts, so that they fit into an int on every platform.
const maxCount = 1e9

// truncateCount truncates a count, which the wire sends as a real number, to a whole number from 0 to maxCount.
func truncateCount(number float64) int { return int(min(max(number, 0), maxCount)) }

// Statuses of attempts, health checks and calls to the counter on the wire.
const (
	statusSucceeded      = 100
	statusFailed         = 301
	statusRejected       = 302
	statusTimedOut       = 303
	statusConnectFailed  = 304
	statusConnectionLost = 305
	statusCanceled       = 306
	statusNotSent        = 307
)

// outcomes maps a status on the wire to the outcome of an attempt, a health check or a call to the counter.
var outcomes = map[uint16]policy.Outcome{
	statusSucceeded:      policy.Succeeded,
	statusFailed:         policy.Failed,
	statusRejected:       policy.Rejected,
	statusTimedOut:       policy.TimedOut,
	statusConnectFailed:  policy.ConnectFailed,
	statusConnectionLost: policy.ConnectionLost,
	statusCanceled:       policy.Canceled,
	statusNotSent:        policy.NotSent,
}

// outcomeFromStatus returns the outcome that a status stands for. After a read error in the frame the status is not
// valid and is not checked; readMessage returns the frame's error.
func outcomeFromStatus(f *simwire.Frame, status uint16) (policy.Outcome, error) {
	outcome, ok := outcomes[status]
	if f.Err() == nil && !ok {
		return 0, fmt.Errorf("unknown status %d", status)
	}
	return outcome, nil
}

// createMessage starts an instance.
type createMessage struct {
	seed     uint64
	settings []byte // JSON; valid until the next frame is read
}

func readCreate(f *simwire.Frame) (createMessage, error) {
	seed := f.Uint64()
	return createMessage{seed: seed, settings: f.Bytes(int(f.Uint32()))}, nil
}

// endpointsMessage holds the endpoint list or changes to it.
type endpointsMessage struct {
	kind          policy.UpdateKind
	endpoints     []policy.Endpoint
	unknownStates []unknownState
}

// unknownState is a backend's state that the wire format does not define. The backend is treated as draining.
type unknownState struct {
	backend policy.BackendID
	state   uint8
}

func readEndpoints(f *simwire.Frame) (endpointsMessage, error) {
	const entryBytes = 22
	kind := f.Uint8()
	f.Uint64() // version of the list; unused, because the simulator sends no list twice
	updateKind, known := updateKinds[kind]
	m := endpointsMessage{kind: updateKind}
	m.endpoints = make([]policy.Endpoint, f.CheckCount(int(f.Uint32()), entryBytes))
	for index := range m.endpoints {
		endpoint := &m.endpoints[index]
		if state, known := readEndpoint(f, endpoint); !known {
			m.unknownStates = append(m.unknownStates, unknownState{backend: endpoint.Backend, state: state})
		}
	}
	if !known {
		return m, fmt.Errorf("unknown kind of endpoint update %d", kind)
	}
	return m, nil
}

// readEndpoint reads one entry of the endpoint list. It returns the entry's state on the wire and whether the wire
// format defines that state.
func readEndpoint(f *simwire.Frame, endpoint *policy.Endpoint) (state uint8, known bool) {
	endpoint.Backend = policy.BackendID(f.Uint32())
	endpoint.Zone = policy.ZoneID(f.Uint16())
	f.Uint8() // kind of machine; unused, because the measured answer times reflect it
	endpoint.Group = policy.GroupID(f.Uint16())
	state = f.Uint8()
	endpoint.Weight = f.Float32()
	endpoint.StartedAt = instantFromMillis(f.Float64())
	switch state {
	case stateDraining:
		endpoint.State = policy.EndpointDraining
	case stateReady:
		endpoint.State = policy.EndpointReady
	case stateGone:
		endpoint.State = policy.EndpointGone
	default:
		endpoint.State = policy.EndpointDraining
		return state, false
	}
	return state, true
}

// submitMessage is a request that arrives.
type submitMessage struct{ spec policy.RequestSpec }

func readSubmit(f *simwire.Frame) (submitMessage, error) {
	var m submitMessage
	m.spec.ID = policy.RequestID(f.Uint64())
	m.spec.Class = policy.ClassID(f.Uint16())
	m.spec.Plan = policy.PlanID(f.Uint32())
	m.spec.Tenant = policy.TenantID(f.Uint64())
	m.spec.Remaining = config.DurationFromMilliseconds(f.Float64())
	m.spec.Units = f.Float32()
	m.spec.EntryPoints = truncateCount(f.Float32())
	m.spec.FirstInstance = truncateCount(f.Float32())
	f.Uint8() // flags; the engine uses none of them
	return m, nil
}

// responseStartedMessage reports that the first byte of an attempt's answer has arrived.
type responseStartedMessage struct {
	id      policy.RequestID
	attempt policy.AttemptID
}

func readResponseStarted(f *simwire.Frame) (responseStartedMessage, error) {
	m := responseStartedMessage{id: policy.RequestID(f.Uint64())}
	m.attempt = policy.AttemptID(f.Uint8())
	f.Uint32()  // the backend; unused, because the engine has stored it with the attempt
	f.Float64() // the time since the attempt was sent; unused, because the engine has stored when it was sent
	return m, nil
}

// attemptResultMessage reports the end of an attempt.
type attemptResultMessage struct {
	id     policy.RequestID
	result policy.AttemptResult
}

func readAttemptResult(f *simwire.Frame) (attemptResultMessage, error) {
	m := attemptResultMessage{id: policy.RequestID(f.Uint64())}
	m.result.Attempt = policy.AttemptID(f.Uint8())
	f.Uint32() // the backend; unused, because the engine has stored it with the attempt
	status := f.Uint16()
	m.result.Elapsed = config.DurationFromMilliseconds(f.Float64())
	m.result.RequestDone = f.Uint8() != 0
	f.Uint16() // the meter; unused, because the engine uses the counter
	m.result.ActualUnits = float64(f.Uint16())
	skipLoadReport(f)
	var err error
	m.result.Outcome, err = outcomeFromStatus(f, status)
	return m, err
}

// clientGoneMessage reports that a request's client has left.
type clientGoneMessage struct{ id policy.RequestID }

func readClientGone(f *simwire.Frame) (clientGoneMessage, error) {
	return clientGoneMessage{id: policy.RequestID(f.Uint64())}, nil
}

// timerMessage reports that a timer requested by the engine is due.
type timerMessage struct{ timer policy.TimerID }

func readTimer(f *simwire.Frame) (timerMessage, error) {
	return timerMessage{timer: policy.TimerID(f.Uint64())}, nil
}

// healthCheckMessage reports the end of a health check.
type healthCheckMessage struct {
	backend policy.BackendID
	outcome policy.Outcome
}

func readHealthCheck(f *simwire.Frame) (healthCheckMessage, error) {
	m := healthCheckMessage{backend: policy.BackendID(f.Uint32())}
	status := f.Uint16()
	f.Float64() // duration of the check; unused, because the engine measures requests
	skipLoadReport(f)
	var err error
	m.outcome, err = outcomeFromStatus(f, status)
	return m, err
}

// counterResultMessage reports the result of a call to the shared counter.
type counterResultMessage struct {
	result policy.CounterResult
}

func readCounterResult(f *simwire.Frame) (counterResultMessage, error) {
	status := f.Uint16()
	var m counterResultMessage
	m.result.Key = policy.CounterKey(f.Uint64())
	f.Float64() // duration of the call; unused
	m.result.Total = f.Float32()
	var err error
	m.result.Outcome, err = outcomeFromStatus(f, status)
	return m, err
}

// emptyMessage is the message of an event whose fields, if any, the engine does not use.
type emptyMessage struct{}

func readEmpty(*simwire.Frame) (emptyMessage, error) { return emptyMessage{}, nil }

// readPeerMessage skips a message from another instance.
func readPeerMessage(f *simwire.Frame) (emptyMessage, error) {
	f.Uint32() // the sender
	f.Bytes(int(f.Uint16()))
	return emptyMessage{}, nil
}

// skipLoadReport skips a backend's load report. The engine uses the outcomes and durations of attempts instead.
func skipLoadReport(f *simwire.Frame) {
	const numberBytes = 4
	f.Bytes(numberBytes * int(f.Uint8()))
}
