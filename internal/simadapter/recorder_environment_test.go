package simadapter

import (
	"fmt"

	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// This file holds the simulated environment of the recorder: starts of instances, state changes of backends, requests
// of clients, and the results of attempts and of calls to the counter. The order of the random draws determines the
// recorded stream and must not change.

func (r *recorder) createInstance(instanceID uint32) {
	discovery := []string{"pushed", "on_request"}[instanceID%2]
	settings := fmt.Sprintf(`{"me": %d, "replicas-of-me": %d, "my-zone": %d, "discovery": %q, "unknown-key": [1],
"permissions": {"send-cap": 4, "`+cancellationSetting+`": %v, "second-copies": %v, `+
		`"probes": true, "retry-after": true, "max-retry-after-ms": 1000},
"invariants": {"cold-share": 0.2, "warm-up-ms": 5000, "tip-multiple": 3, "fall-ms": 1000, `+
		`"ask-within-ms": 4000, "stop-sending-within-ms": 800},
"family-info": {"may-count": true, "counter-timeout-ms": 60, "post-paid": %v}, "prices": {"cross-zone": 0.02},
"lanes": [{"goal-time-ms": 750, "deadline-ms": 2000, "effect": "read_like", "late-worth": 0.3, "silence": "open"},
{"goal-time-ms": 500, "deadline-ms": 1500, "effect": "idempotency_key", "group": "zone", "window-ms": 900},
{"goal-time-ms": 500, "deadline-ms": 1500, "effect": "idempotency_key", "group": "cell", "window-ms": 300},
{"goal-time-ms": 600, "deadline-ms": 1500, "effect": "idempotency_key", "group": "all", `+
		`"window-ms": 400, "silence": "closed"},
{"goal-time-ms": 700, "deadline-ms": 1500, "effect": "non_idempotent"}],
"tariffs": [{"quota-rate": 6, "peak-units": 9, "beyond-costs": 1}, `+
		`{"quota-rate": 4, "peak-units": 8, "parallel": 3, "cap-rate": 6, "ceiling-burst": 8},
{"quota-rate": 0, "peak-units": 0, "parallel": 4}, `+
		`{"quota-rate": 2, "peak-units": 3, "beyond-earns": 0.6, "beyond-costs": 0.4}]}`,
		instanceID, recorderInstances, instanceID%2, discovery, instanceID != 2, instanceID < 2, instanceID == 3)
	eventRecord := r.eventRecord(eventCreate, instanceID).
		Uint64(uint64(instanceID)*7919 + uint64(r.incarnations[instanceID]))
	appendLongText(eventRecord, settings)
	r.sendEndpoints(instanceID, policy.CachedSnapshot)
}

// sendEndpoints sends an instance the given backends, or all backends if none is given.
func (r *recorder) sendEndpoints(instanceID uint32, kind policy.UpdateKind, backends ...uint32) {
	if len(backends) == 0 && kind != policy.UpdateFailed {
		for backend := uint32(1); backend <= recorderBackends; backend++ {
			if r.backendStates[backend] != stateGone {
				backends = append(backends, backend)
			}
		}
	}
	eventRecord := r.eventRecord(eventEndpoints, instanceID).
		Uint8(uint8(kind)).Uint64(r.listVersion).Uint32(uint32(len(backends)))
	for _, backend := range backends {
		eventRecord.Uint32(backend * 1000).
			Uint16(uint16(backend % 2)).Uint8(uint8(backend % 3)).Uint16(uint16(backend % 3)).
			Uint8(r.backendStates[backend]).Float32(1 + float64(backend%2)).Float64(r.backendStarts[backend])
	}
}

// broadcastEndpoint sends the changed state of a backend to all instances.
func (r *recorder) broadcastEndpoint(backend uint32) {
	r.listVersion++
	for instanceID := range uint32(recorderInstances) {
		r.sendEndpoints(instanceID, policy.Delta, backend)
	}
}

// scheduleDisturbance schedules a random disturbance, which schedules the next one: a backend changes its state, an
// instance is killed, the counter loses its totals, or an instance receives an unusual event.
func (r *recorder) scheduleDisturbance() {
	r.schedule(100+r.exponential(300), func() {
		instanceID := uint32(r.randomInt(recorderInstances))
		backend := uint32(1 + r.randomInt(recorderBackends))
		switch r.randomInt(8) {
		case 0, 1, 2:
			r.changeBackendState(backend)
		case 3:
			if r.randomBool(0.4) {
				r.incarnations[instanceID]++
				r.eventRecord(eventKill, instanceID)
				r.createInstance(instanceID)
			}
		case 4:
			r.eventRecord(eventPeerMessage, instanceID).Uint32(1).Uint16(3).Uint8(1).Uint8(2).Uint8(3)
		case 5:
			r.sendEventsWithUnknownIDs(instanceID, backend)
		case 6:
			r.sendEndpoints(instanceID, policy.FullSnapshot)
		case 7:
			clear(r.counterTotals) // the counter restarts empty
		}
		r.scheduleDisturbance()
	})
}

// changeBackendState puts a backend into a random state and makes it ready again after a second. State 7 is not defined
// by the wire format.
func (r *recorder) changeBackendState(backend uint32) {
	r.backendStates[backend] = []uint8{stateDraining, stateReady, stateGone, 7}[r.randomInt(4)]
	r.broadcastEndpoint(backend)
	r.schedule(1000, func() {
		r.backendStates[backend] = stateReady
		r.backendStarts[backend] = r.now
		r.broadcastEndpoint(backend)
	})
}

// sendEventsWithUnknownIDs sends events with unknown requests, backends and counter keys to an instance, and events to
// an instance that does not exist.
func (r *recorder) sendEventsWithUnknownIDs(instanceID, backend uint32) {
	const unknownInstance = 70
	r.attemptResultRecord(instanceID, 5, 0, backend).
		Uint16(statusSucceeded).Float64(1).Uint8(1).Uint16(0).Uint16(0).Uint8(0)
	r.eventRecord(eventClientGone, instanceID).Uint64(5)
	r.eventRecord(eventResponseStarted, instanceID).Uint64(5).Uint8(0).Uint32(backend).Float64(1)
	r.eventRecord(eventCounterResult, instanceID).Uint16(statusSucceeded).Uint64(5).Float64(1).Float32(2)
	r.eventRecord(eventHealthCheck, instanceID).Uint32(5).Uint16(statusConnectFailed).Float64(1).Uint8(0)
	r.eventRecord(eventTimer, unknownInstance).Uint64(1)
	r.eventRecord(eventSubmit, unknownInstance).Uint64(6).Uint16(0).Uint32(0).Uint64(1).Float64(1000).
		Float32(1).Float32(1).Float32(0).Uint8(0)
	r.eventRecord(eventKill, unknownInstance)
}

// scheduleRequest schedules a request, which schedules the next one. Some clients leave before they are answered.
func (r *recorder) scheduleRequest() {
	r.schedule(r.exponential(7), func() {
		instanceID := uint32(r.randomInt(recorderInstances))
		class, plan, tenant := uint16(r.randomInt(5)), r.randomInt(4), uint64(r.randomInt(3))
		if r.randomBool(0.005) {
			class = 40 // not in the settings
		}
		remaining := 1500.0
		if r.randomBool(0.1) {
			remaining = 10 * float64(r.randomInt(100))
		}
		r.lastRequestID++
		requestID := r.lastRequestID
		r.deadlines[requestID] = r.now + remaining
		r.eventRecord(eventSubmit, instanceID).
			Uint64(requestID).Uint16(class).Uint32(uint32(plan)).Uint64(tenant*4 + uint64(plan)).
			Float64(remaining).Float32([]float64{0.5, 1, 1, 1, 2}[r.randomInt(5)]).
			Float32(recorderInstances).Float32(float64(tenant)).Uint8(2)
		if r.randomBool(0.05) {
			r.scheduleForInstance(instanceID, float64(r.randomInt(300)), func() {
				r.sendClientGone(instanceID, requestID)
			})
		}
		r.scheduleRequest()
	})
}

// sendClientGone reports that a request's client has left, unless the request has been answered.
func (r *recorder) sendClientGone(instanceID uint32, requestID uint64) {
	if r.finished[requestID] {
		return
	}
	r.finished[requestID] = true
	r.eventRecord(eventClientGone, instanceID).Uint64(requestID)
}

// startAttempt starts an attempt and schedules its end, at the request's deadline at the latest.
func (r *recorder) startAttempt(instanceID uint32, requestID uint64, backend uint32, expiresAt float64) {
	attempt := &simulatedAttempt{
		instance:  instanceID,
		requestID: requestID,
		number:    uint8(len(r.attempts[requestID])),
		backend:   backend,
		sentAt:    r.now,
	}
	r.attempts[requestID] = append(r.attempts[requestID], attempt)
	timeoutAt := r.deadlines[requestID]
	if expiresAt > 0 {
		timeoutAt = min(timeoutAt, expiresAt)
	}
	r.scheduleForInstance(instanceID, timeoutAt-r.now, func() {
		if !attempt.responseStarted {
			r.endAttempt(attempt, statusTimedOut)
		}
	})
	duration := 20 + r.exponential(30)
	status := uint16(statusSucceeded)
	switch percentile := r.randomInt(100); {
	case percentile < 3:
		return // the backend never answers
	case percentile < 10:
		status = []uint16{statusFailed, statusRejected, statusConnectFailed, statusConnectionLost, statusNotSent,
			statusRejected, statusFailed}[percentile-3]
	case percentile < 15:
		duration *= 15
	case percentile < 25:
		r.scheduleForInstance(instanceID, duration/2, func() { r.startResponse(attempt) })
	}
	r.scheduleForInstance(instanceID, duration, func() { r.endAttempt(attempt, status) })
}

// startResponse reports the first byte of an attempt's answer. The attempt cannot be canceled afterwards.
func (r *recorder) startResponse(attempt *simulatedAttempt) {
	if attempt.ended || r.finished[attempt.requestID] {
		return
	}
	attempt.responseStarted = true
	r.eventRecord(eventResponseStarted, attempt.instance).
		Uint64(attempt.requestID).Uint8(attempt.number).Uint32(attempt.backend).
		Float64(r.roundToMicros(r.now - attempt.sentAt))
}

// endAttempt reports the result of an attempt, unless it was reported before.
func (r *recorder) endAttempt(attempt *simulatedAttempt, status uint16) {
	if attempt.ended || attempt.responseStarted && status == statusCanceled {
		return
	}
	attempt.ended = true
	if status == statusSucceeded || attempt.responseStarted {
		r.finished[attempt.requestID] = true
	}
	requestDone := uint8(0)
	if r.finished[attempt.requestID] {
		requestDone = 1
	}
	units := uint16(0)
	if status == statusSucceeded && attempt.instance == 3 { // the instance with post-paid in its settings
		units = uint16(1 + r.randomInt(3))
	}
	elapsed := r.roundToMicros(r.now - attempt.sentAt)
	r.attemptResultRecord(attempt.instance, attempt.requestID, attempt.number, attempt.backend).
		Uint16(status).Float64(elapsed).
		Uint8(requestDone).Uint16(0).Uint16(units).Uint8(2).Float32(0.5).Float32(3)
}

// attemptResultRecord starts the record of an attempt's result.
func (r *recorder) attemptResultRecord(
	instanceID uint32, requestID uint64, attempt uint8, backend uint32,
) *simwire.Reply {
	return r.eventRecord(eventAttemptResult, instanceID).Uint64(requestID).Uint8(attempt).Uint32(backend)
}

// answerCounterCall schedules the answer to a call to the counter. The counter fails from second 5 to second 8.
func (r *recorder) answerCounterCall(instanceID uint32, key uint64, units float64) {
	status := uint16(statusSucceeded)
	duration := 2.0
	if elapsed := r.now - testClockMillis; elapsed > 5000 && elapsed < 8000 {
		status = []uint16{statusTimedOut, statusConnectFailed, statusRejected}[int(elapsed/1000)-5]
	}
	switch status {
	case statusTimedOut:
		duration = 60
	case statusSucceeded:
		r.counterTotals[key] += units
	}
	total := r.counterTotals[key]
	r.scheduleForInstance(instanceID, duration, func() {
		r.eventRecord(eventCounterResult, instanceID).Uint16(status).Uint64(key).Float64(duration).Float32(total)
	})
}
