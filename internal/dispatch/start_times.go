package dispatch

import (
	"slices"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// minClockStep is the smallest difference between the wall clock and the dispatcher's clock that counts as a step
// of the wall clock. Slewing causes far smaller differences.
const minClockStep = time.Second

// clockReadings holds the readings of both clocks at the same time.
type clockReadings struct {
	now     policy.Instant // the dispatcher's clock, which ignores steps of the wall clock
	wallNow policy.Instant // the wall clock, as Unix time
}

// wallClockStep returns by how much the wall clock has been stepped since the dispatcher was created. It is negative
// after a step back, and 0 if the clock has only been slewed.
func (c clockReadings) wallClockStep() time.Duration {
	step := c.wallNow.Sub(c.now)
	if max(step, -step) < minClockStep {
		return 0
	}
	return step
}

// startTimes translates the start times of backends, which discovery announces on the wall clock, to the
// dispatcher's clock. Without the translation, a backend that starts after the wall clock was stepped back by an
// hour would not get a slow start.
//
// The translated start time of a backend stays the same while discovery announces the same one, because a changed
// start time means another incarnation. startTimes is not safe for concurrent use.
type startTimes struct {
	byBackend map[policy.BackendID]startTime
}

// startTime is a backend's start time on both clocks.
type startTime struct {
	announced  policy.Instant // by discovery, on the wall clock
	translated policy.Instant // on the dispatcher's clock
}

// translate returns a copy of the endpoints of an update with translated start times.
func (s *startTimes) translate(
	clocks clockReadings, kind policy.UpdateKind, endpoints []policy.Endpoint,
) []policy.Endpoint {
	if len(endpoints) == 0 {
		return endpoints
	}
	previous := s.byBackend
	if kind != policy.Delta || previous == nil {
		s.byBackend = make(map[policy.BackendID]startTime, len(endpoints))
	}
	translated := slices.Clone(endpoints)
	for n := range translated {
		endpoint := &translated[n]
		if endpoint.State == policy.EndpointGone {
			delete(s.byBackend, endpoint.Backend)
			continue
		}
		start, found := previous[endpoint.Backend]
		if !found || start.announced != endpoint.StartedAt {
			start = startTime{
				announced:  endpoint.StartedAt,
				translated: translateStart(clocks, endpoint.StartedAt),
			}
		}
		s.byBackend[endpoint.Backend] = start
		endpoint.StartedAt = start.translated
	}
	return translated
}

// translateStart returns the start time on the dispatcher's clock. Zero, which means long ago, stays zero. After a
// step of the wall clock, the backend may have read that clock before or after the step, so there are two possible
// start times. The result is the later of them unless it is in the future: a backend that counts as warming up for
// too long is the lesser fault.
func translateStart(clocks clockReadings, announced policy.Instant) policy.Instant {
	if announced.IsZero() {
		return announced
	}
	afterStep := announced.Add(-clocks.wallClockStep())
	later := monotime.Later(announced, afterStep)
	if later.After(clocks.now) {
		return monotime.Earlier(announced, afterStep)
	}
	return later
}
