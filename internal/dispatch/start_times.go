package dispatch

import (
	"slices"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// minClockStep is the least difference between the wall clock and the dispatcher's clock that counts as a step
// of the wall clock. Slewing keeps them within far less.
const minClockStep = time.Second

// clockReadings are the readings of both clocks at one moment.
type clockReadings struct {
	now     policy.Instant // the dispatcher's clock, which ignores steps of the wall clock
	wallNow policy.Instant // the wall clock
}

// wallClockStep returns how far the wall clock has been stepped since the dispatcher started, and 0 if it has only been
// slewed. It is below 0 after a step back.
func (c clockReadings) wallClockStep() time.Duration {
	step := c.wallNow.Sub(c.now)
	if max(step, -step) < minClockStep {
		return 0
	}
	return step
}

// startTimes translates the starts of backends, which discovery states on the wall clock, to the dispatcher's
// clock. Without it, a backend that starts after the wall clock was stepped an hour back would count as warm at
// once.
//
// A start that was translated keeps its value while discovery states the same one, because a start that
// changes means another incarnation. It is not safe for concurrent use.
type startTimes struct {
	known map[policy.BackendID]startTime
}

// startTime is a backend's start on both clocks.
type startTime struct {
	stated     policy.Instant // as discovery states it
	translated policy.Instant // on the dispatcher's clock
}

// translate returns the endpoints of an update with translated starts.
func (s *startTimes) translate(
	clocks clockReadings, kind policy.UpdateKind, endpoints []policy.Endpoint,
) []policy.Endpoint {
	if len(endpoints) == 0 {
		return endpoints
	}
	previous := s.known
	if kind != policy.Delta || previous == nil {
		s.known = make(map[policy.BackendID]startTime, len(endpoints))
	}
	translated := slices.Clone(endpoints)
	for n := range translated {
		endpoint := &translated[n]
		if endpoint.State == policy.EndpointGone {
			delete(s.known, endpoint.Backend)
			continue
		}
		start, found := previous[endpoint.Backend]
		if !found || start.stated != endpoint.StartedAt {
			start = startTime{
				stated:     endpoint.StartedAt,
				translated: translateStart(clocks, endpoint.StartedAt),
			}
		}
		s.known[endpoint.Backend] = start
		endpoint.StartedAt = start.translated
	}
	return translated
}

// translateStart returns a start on the dispatcher's clock; zero, which means long ago, stays zero. After a
// step it is not known whether the start was stated before or after it: the later of the two possible moments
// that have passed is taken, so that a backend rather counts as warming up for too long.
func translateStart(clocks clockReadings, stated policy.Instant) policy.Instant {
	if stated.IsZero() {
		return stated
	}
	afterStep := stated.Add(-clocks.wallClockStep())
	later := monotime.Later(stated, afterStep)
	if later.After(clocks.now) {
		return monotime.Earlier(stated, afterStep)
	}
	return later
}
