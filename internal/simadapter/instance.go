package simadapter

import (
	"fmt"
	"time"

	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// Codes of the actions on the wire.
const (
	actionSend        uint8 = 64
	actionReject      uint8 = 65
	actionAbort       uint8 = 66
	actionCancel      uint8 = 67
	actionWakeAt      uint8 = 68
	actionCheckHealth uint8 = 69
	// 70, drop connections, is not used: idle connections are closed without an action of the engine.
	// 71, message to another instance, is not used: instances share only the counter.
	actionLog            uint8 = 72
	actionInstanceFailed uint8 = 73
	actionWatch          uint8 = 74
	// 75, refresh, is not used: a watch delivers missed changes.
	actionAddToCounter uint8 = 76
)

// instance is one gateway instance with its engine and its requests in flight. It implements policy.Effects for the
// engine: each effect becomes an action in the reply.
type instance struct {
	wireID   uint32         // the simulator's number of the instance, unrelated to policy.Settings.InstanceIndex
	reply    *simwire.Reply // the host's reply, shared by all instances
	engine   *policy.Engine
	requests map[policy.RequestID]*policy.Request
}

var _ policy.Effects = (*instance)(nil)

// action starts the record of an action of this instance.
func (in *instance) action(code uint8) *simwire.Reply {
	return in.reply.Record(code).Uint32(in.wireID)
}

// Send sends an attempt. The simulator sends attempts immediately, so the time by which the attempt has to begin is
// not used. The record has no attempt number: the simulator numbers the attempts of a request from 0 in the order of
// the actions, as the engine does.
func (in *instance) Send(attempt policy.AttemptSpec) {
	record := in.action(actionSend).Uint64(uint64(attempt.Request)).Uint32(uint32(attempt.Backend))
	record.Float64(instantMillis(attempt.ExpiresAt))
}

// Cancel cancels an attempt.
func (in *instance) Cancel(id policy.RequestID, attempt policy.AttemptID) {
	in.action(actionCancel).Uint64(uint64(id)).Uint8(uint8(attempt))
}

// Reject answers a request with a rejection.
func (in *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	in.action(actionReject).Uint64(uint64(id)).Float64(durationMillis(retryAfter))
	in.removeIfDone(id)
}

// Abort answers a request with an error.
func (in *instance) Abort(id policy.RequestID) {
	in.action(actionAbort).Uint64(uint64(id))
	in.removeIfDone(id)
}

// Admit does nothing, because the engine calls it only for classes with CheckOnly, which the settings of the simulator
// cannot contain.
func (in *instance) Admit(policy.RequestID) {}

// WakeAt requests a timer event.
func (in *instance) WakeAt(at policy.Instant, timer policy.TimerID) {
	in.action(actionWakeAt).Float64(instantMillis(at)).Uint64(uint64(timer))
}

// AddToCounter adds units to the shared counter.
func (in *instance) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	in.action(actionAddToCounter).Uint64(uint64(key)).Float32(units).Float64(durationMillis(lifetime))
}

// CheckHealth requests a health check.
func (in *instance) CheckHealth(backend policy.BackendID) {
	in.action(actionCheckHealth).Uint32(uint32(backend))
}

// WatchEndpoints requests the endpoint list and its later changes.
func (in *instance) WatchEndpoints() { in.action(actionWatch).Uint8(1) }

// LogUnknownClassOrPlan reports an aborted request in the simulator's log.
func (in *instance) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	in.log(fmt.Sprintf("request aborted: unknown class %d or plan %d", class, plan))
}

// log writes a text to the simulator's log.
func (in *instance) log(text string) { in.action(actionLog).Text(text) }

// removeIfDone removes a request once no further event can refer to it. The effects that answer a request call it
// too: a counter result or a timer may end a request that has no attempt in flight, and then no further event of the
// request follows.
func (in *instance) removeIfDone(id policy.RequestID) {
	if request := in.requests[id]; request != nil && request.Done() {
		delete(in.requests, id)
	}
}

// The methods below handle events. Events of requests that are not, or no longer, in flight are ignored, because an
// event may be sent before the simulator has received the instance's answer to the request.

func (in *instance) handleEndpoints(now policy.Instant, m endpointsMessage) {
	for _, unknown := range m.unknownStates {
		in.log(fmt.Sprintf("backend %d has unknown state %d: taken for draining", unknown.backend, unknown.state))
	}
	in.engine.UpdateEndpoints(now, m.kind, m.endpoints)
}

func (in *instance) handleSubmit(now policy.Instant, m submitMessage) {
	in.requests[m.spec.ID] = in.engine.Submit(now, m.spec)
	in.removeIfDone(m.spec.ID) // needed because an effect that answers during Submit precedes the map entry
}

func (in *instance) handleResponseStarted(now policy.Instant, m responseStartedMessage) {
	if request := in.requests[m.id]; request != nil {
		request.HandleResponseStarted(now, m.attempt)
	}
}

func (in *instance) handleAttemptResult(now policy.Instant, m attemptResultMessage) {
	request := in.requests[m.id]
	if request == nil {
		return
	}
	request.HandleAttemptResult(now, m.result)
	in.removeIfDone(m.id)
}

func (in *instance) handleClientGone(now policy.Instant, m clientGoneMessage) {
	request := in.requests[m.id]
	if request == nil {
		return
	}
	request.HandleClientGone(now)
	in.removeIfDone(m.id)
}

func (in *instance) handleTimer(now policy.Instant, m timerMessage) {
	in.engine.HandleTimer(now, m.timer)
}

func (in *instance) handleHealthCheck(now policy.Instant, m healthCheckMessage) {
	in.engine.HandleHealthCheck(now, m.backend, m.outcome)
}

func (in *instance) handleCounterResult(now policy.Instant, m counterResultMessage) {
	in.engine.HandleCounterResult(now, m.result)
}
