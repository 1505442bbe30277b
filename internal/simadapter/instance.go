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
	// 70, drop connections, is not used: idle ones close by themselves.
	// 71, message to another instance, is not used: instances share only the counter.
	actionLog            uint8 = 72
	actionInstanceFailed uint8 = 73
	actionWatch          uint8 = 74
	// 75, refresh, is not used: a watch delivers what was missed.
	actionAddToCounter uint8 = 76
)

// instance is one gateway instance: its engine, and its requests in flight. It implements policy.Effects
// for the engine: each effect becomes an action in the reply.
type instance struct {
	wireID   uint32         // the simulator's number of the instance, which is not policy.Settings.InstanceIndex
	reply    *simwire.Reply // the host's, which all instances share
	engine   *policy.Engine
	requests map[policy.RequestID]*policy.Request
}

var _ policy.Effects = (*instance)(nil)

// action starts an action's record.
func (in *instance) action(code uint8) *simwire.Reply {
	return in.reply.Record(code).Uint32(in.wireID)
}

// Send sends an attempt. The simulator sends at once, so the time by which the attempt has to begin is not
// used. No attempt number is sent: the simulator numbers a request's attempts from 0 in the order of the actions,
// as the engine does.
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
	in.forgetIfDone(id)
}

// Abort answers a request with an error.
func (in *instance) Abort(id policy.RequestID) {
	in.action(actionAbort).Uint64(uint64(id))
	in.forgetIfDone(id)
}

// Admit does nothing: the wire has no class that only counts.
func (in *instance) Admit(policy.RequestID) {}

// WakeAt asks for a timer event.
func (in *instance) WakeAt(at policy.Instant, timer policy.TimerID) {
	in.action(actionWakeAt).Float64(instantMillis(at)).Uint64(uint64(timer))
}

// AddToCounter adds units to the shared counter.
func (in *instance) AddToCounter(key policy.CounterKey, units float64, lifetime time.Duration) {
	in.action(actionAddToCounter).Uint64(uint64(key)).Float32(units).Float64(durationMillis(lifetime))
}

// CheckHealth asks for a health check.
func (in *instance) CheckHealth(backend policy.BackendID) {
	in.action(actionCheckHealth).Uint32(uint32(backend))
}

// WatchEndpoints asks for the endpoint list and its changes.
func (in *instance) WatchEndpoints() { in.action(actionWatch).Uint8(1) }

// LogUnknownClassOrPlan writes to the simulator's log.
func (in *instance) LogUnknownClassOrPlan(class policy.ClassID, plan policy.PlanID) {
	in.log(fmt.Sprintf("request aborted: unknown class %d or plan %d", class, plan))
}

// log writes a text to the simulator's log.
func (in *instance) log(text string) { in.action(actionLog).Text(text) }

// forgetIfDone forgets a request once no further event can come for it. The effects that give a final answer
// call it too, since the counter's answer or a timer may end a request with no attempt in flight, and then no
// event of the request follows.
func (in *instance) forgetIfDone(id policy.RequestID) {
	if request := in.requests[id]; request != nil && request.Done() {
		delete(in.requests, id)
	}
}

// The handlers of events. Events of requests that are not in flight, or no longer are, are ignored: the
// simulator's events and the instance's answers may cross on the way.

func (in *instance) handleEndpoints(now policy.Instant, m endpointsMessage) {
	for _, u := range m.unknownStates {
		in.log(fmt.Sprintf("backend %d has unknown state %d: taken for draining", u.backend, u.state))
	}
	in.engine.UpdateEndpoints(now, m.kind, m.endpoints)
}

func (in *instance) handleSubmit(now policy.Instant, m submitMessage) {
	in.requests[m.spec.ID] = in.engine.Submit(now, m.spec)
	in.forgetIfDone(m.spec.ID) // an effect that answers within Submit comes before the request is in the map
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
	in.forgetIfDone(m.id)
}

func (in *instance) handleClientGone(now policy.Instant, m clientGoneMessage) {
	request := in.requests[m.id]
	if request == nil {
		return
	}
	request.HandleClientGone(now)
	in.forgetIfDone(m.id)
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
