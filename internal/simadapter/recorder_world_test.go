package simadapter

import (
	"fmt"

	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// This file holds what the recorder's simulator does by itself: instances that start, backends that change,
// requests that arrive, and attempts and calls to the counter that end. The order of its random draws is that
// of the recording.

func (r *recorder) create(i uint32) {
	discovery := []string{"pushed", "on_request"}[i%2]
	settings := fmt.Sprintf(`{"me": %d, "replicas-of-me": %d, "my-zone": %d, "discovery": %q, "unknown-key": [1],
"permissions": {"send-cap": 4, "`+cancellationKey+`": %v, "second-copies": %v, `+
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
		i, recorderInstances, i%2, discovery, i != 2, i < 2, i == 3)
	record := r.record(eventCreate, i).Uint64(uint64(i)*7919 + uint64(r.incarnations[i]))
	addLongText(record, settings)
	r.sendEndpoints(i, policy.CachedSnapshot)
}

// sendEndpoints sends an instance all backends, or those named.
func (r *recorder) sendEndpoints(i uint32, kind policy.UpdateKind, backends ...uint32) {
	if len(backends) == 0 && kind != policy.UpdateFailed {
		for b := uint32(1); b <= recorderBackends; b++ {
			if r.states[b] != stateGone {
				backends = append(backends, b)
			}
		}
	}
	record := r.record(eventEndpoints, i).Uint8(uint8(kind)).Uint64(r.version).Uint32(uint32(len(backends)))
	for _, b := range backends {
		record.Uint32(b * 1000).Uint16(uint16(b % 2)).Uint8(uint8(b % 3)).Uint16(uint16(b % 3)).
			Uint8(r.states[b]).Float32(1 + float64(b%2)).Float64(r.started[b])
	}
}

// announce sends all instances a backend whose state has changed.
func (r *recorder) announce(backend uint32) {
	r.version++
	for i := range uint32(recorderInstances) {
		r.sendEndpoints(i, policy.Delta, backend)
	}
}

// disturb changes a backend, kills an instance or sends what makes no sense, again and again.
func (r *recorder) disturb() {
	r.after(100+r.exponential(300), func() {
		i := uint32(r.randomInt(recorderInstances))
		b := uint32(1 + r.randomInt(recorderBackends))
		switch r.randomInt(8) {
		case 0, 1, 2:
			r.restart(b)
		case 3:
			if r.happens(0.4) {
				r.incarnations[i]++
				r.record(eventKill, i)
				r.create(i)
			}
		case 4:
			r.record(eventPeerMessage, i).Uint32(1).Uint16(3).Uint8(1).Uint8(2).Uint8(3)
		case 5:
			r.sendNonsense(i, b)
		case 6:
			r.sendEndpoints(i, policy.FullSnapshot)
		case 7:
			clear(r.counterTotals) // the counter comes back empty
		}
		r.disturb()
	})
}

// restart puts a backend into some state, one of which the wire does not define, and makes it ready after a
// second.
func (r *recorder) restart(b uint32) {
	r.states[b] = []uint8{stateDraining, stateReady, stateGone, 7}[r.randomInt(4)]
	r.announce(b)
	r.after(1000, func() {
		r.states[b] = stateReady
		r.started[b] = r.now
		r.announce(b)
	})
}

// sendNonsense sends events of requests, backends and numbers that are not known, and for an instance that is
// none.
func (r *recorder) sendNonsense(i, b uint32) {
	const noInstance = 70
	r.attemptResult(i, 5, 0, b).Uint16(statusSucceeded).Float64(1).Uint8(1).Uint16(0).Uint16(0).Uint8(0)
	r.record(eventClientGone, i).Uint64(5)
	r.record(eventResponseStarted, i).Uint64(5).Uint8(0).Uint32(b).Float64(1)
	r.record(eventCounterResult, i).Uint16(statusSucceeded).Uint64(5).Float64(1).Float32(2)
	r.record(eventHealthCheck, i).Uint32(5).Uint16(statusConnectFailed).Float64(1).Uint8(0)
	r.record(eventTimer, noInstance).Uint64(1)
	r.record(eventSubmit, noInstance).Uint64(6).Uint16(0).Uint32(0).Uint64(1).Float64(1000).
		Float32(1).Float32(1).Float32(0).Uint8(0)
	r.record(eventKill, noInstance)
}

// arrive sends requests, some of whose clients leave before the answer.
func (r *recorder) arrive() {
	r.after(r.exponential(7), func() {
		i := uint32(r.randomInt(recorderInstances))
		class, plan, tenant := uint16(r.randomInt(5)), r.randomInt(4), uint64(r.randomInt(3))
		if r.happens(0.005) {
			class = 40 // there is none
		}
		remaining := 1500.0
		if r.happens(0.1) {
			remaining = 10 * float64(r.randomInt(100))
		}
		r.nextID++
		id := r.nextID
		r.deadlines[id] = r.now + remaining
		r.record(eventSubmit, i).Uint64(id).Uint16(class).Uint32(uint32(plan)).Uint64(tenant*4 + uint64(plan)).
			Float64(remaining).Float32([]float64{0.5, 1, 1, 1, 2}[r.randomInt(5)]).
			Float32(recorderInstances).Float32(float64(tenant)).Uint8(2)
		if r.happens(0.05) {
			r.afterIfAlive(i, float64(r.randomInt(300)), func() { r.leave(i, id) })
		}
		r.arrive()
	})
}

// leave ends a request by its client, unless it is answered.
func (r *recorder) leave(i uint32, id uint64) {
	if r.done[id] {
		return
	}
	r.done[id] = true
	r.record(eventClientGone, i).Uint64(id)
}

// send makes an attempt, which ends some time after, by its deadline at the latest.
func (r *recorder) send(i uint32, id uint64, backend uint32, expiresAt float64) {
	a := &recordedAttempt{
		instance: i,
		id:       id,
		number:   uint8(len(r.attempts[id])),
		backend:  backend,
		sent:     r.now,
	}
	r.attempts[id] = append(r.attempts[id], a)
	until := r.deadlines[id]
	if expiresAt > 0 {
		until = min(until, expiresAt)
	}
	r.afterIfAlive(i, until-r.now, func() {
		if !a.streams {
			r.settle(a, statusTimedOut)
		}
	})
	duration := 20 + r.exponential(30)
	status := uint16(statusSucceeded)
	switch percentile := r.randomInt(100); {
	case percentile < 3:
		return // no answer ever
	case percentile < 10:
		status = []uint16{statusFailed, statusRejected, statusConnectFailed, statusConnectionLost, statusNotSent,
			statusRejected, statusFailed}[percentile-3]
	case percentile < 15:
		duration *= 15
	case percentile < 25:
		r.afterIfAlive(i, duration/2, func() { r.startResponse(a) })
	}
	r.afterIfAlive(i, duration, func() { r.settle(a, status) })
}

// startResponse sends the first byte of an attempt's answer, from when on it is not canceled.
func (r *recorder) startResponse(a *recordedAttempt) {
	if a.settled || r.done[a.id] {
		return
	}
	a.streams = true
	r.record(eventResponseStarted, a.instance).Uint64(a.id).Uint8(a.number).Uint32(a.backend).
		Float64(r.roundToMicros(r.now - a.sent))
}

// settle ends an attempt, once.
func (r *recorder) settle(a *recordedAttempt, status uint16) {
	if a.settled || a.streams && status == statusCanceled {
		return
	}
	a.settled = true
	if status == statusSucceeded || a.streams {
		r.done[a.id] = true
	}
	requestDone := uint8(0)
	if r.done[a.id] {
		requestDone = 1
	}
	units := uint16(0)
	if status == statusSucceeded && a.instance == 3 { // the one that is post-paid
		units = uint16(1 + r.randomInt(3))
	}
	elapsed := r.roundToMicros(r.now - a.sent)
	r.attemptResult(a.instance, a.id, a.number, a.backend).Uint16(status).Float64(elapsed).
		Uint8(requestDone).Uint16(0).Uint16(units).Uint8(2).Float32(0.5).Float32(3)
}

// attemptResult begins the record of an attempt's end.
func (r *recorder) attemptResult(i uint32, id uint64, attempt uint8, backend uint32) *simwire.Reply {
	return r.record(eventAttemptResult, i).Uint64(id).Uint8(attempt).Uint32(backend)
}

// count answers a call to the counter, which fails for three seconds of the day.
func (r *recorder) count(i uint32, key uint64, units float64) {
	status := uint16(statusSucceeded)
	duration := 2.0
	if since := r.now - testClock; since > 5000 && since < 8000 {
		status = []uint16{statusTimedOut, statusConnectFailed, statusRejected}[int(since/1000)-5]
	}
	switch status {
	case statusTimedOut:
		duration = 60
	case statusSucceeded:
		r.counterTotals[key] += units
	}
	total := r.counterTotals[key]
	r.afterIfAlive(i, duration, func() {
		r.record(eventCounterResult, i).Uint16(status).Uint64(key).Float64(duration).Float32(total)
	})
}
