package dispatch

import (
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// minClockStep is the least difference between the wall clock and the dispatcher's clock that counts as a step
// of the wall clock. Slewing keeps clocks within far less.
const minClockStep = time.Second

// startTimes translates the starts of backends, which discovery states on the wall clock, to the dispatcher's
// clock, which ignores steps of the wall clock. Without it, a backend that starts after a step of an hour back
// would count as warm at once.
//
// A start that was translated keeps its value while discovery states the same one, because a start that
// changes means another incarnation. It is not safe for concurrent use.
type startTimes struct {
	known map[policy.BackendID]startTime
}

// startTime is a start as it was stated, and on the dispatcher's clock.
type startTime struct{ stated, translated policy.Instant }

// translate returns the endpoints of an update with translated starts. now is the dispatcher's time, and
// wallNow the wall clock's.
func (s *startTimes) translate(
	now, wallNow policy.Instant, kind policy.UpdateKind, endpoints []policy.Endpoint,
) []policy.Endpoint {
	if len(endpoints) == 0 {
		return endpoints
	}
	previous := s.known
	if kind != policy.Delta || previous == nil {
		s.known = make(map[policy.BackendID]startTime, len(endpoints))
	}
	translated := append([]policy.Endpoint(nil), endpoints...)
	for n := range translated {
		endpoint := &translated[n]
		if endpoint.State == policy.EndpointGone {
			delete(s.known, endpoint.Backend)
			continue
		}
		start, found := previous[endpoint.Backend]
		if !found || start.stated != endpoint.StartedAt {
			start = startTime{endpoint.StartedAt, translateStart(now, wallNow, endpoint.StartedAt)}
		}
		s.known[endpoint.Backend] = start
		endpoint.StartedAt = start.translated
	}
	return translated
}

// translateStart returns a start on the dispatcher's clock. After a step it is not known whether the start was
// stated before or after it: the later of the two possible moments that have passed is taken, so that a
// backend rather counts as warming up for too long.
func translateStart(now, wallNow, stated policy.Instant) policy.Instant {
	step := wallNow.Sub(now)
	if stated.IsZero() || max(step, -step) < minClockStep {
		return stated
	}
	afterStep := stated.Add(-step)
	later := monotime.Later(stated, afterStep)
	if later.After(now) {
		return monotime.Earlier(stated, afterStep)
	}
	return later
}
