package policy

import (
	rand1 "math/rand"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
)

// playRandomDay plays a day of random events on random settings and returns the log of the effects.
func playRandomDay(t testing.TB, seed uint64) []string {
	r := rand.New(rand.NewPCG(seed, 1))
	yes := func() bool { return r.IntN(2) == 0 }
	settings := defaultSettings()
	settings.Hedging = yes()
	settings.Cancellation = yes()
	settings.HealthChecks = yes()
	settings.CounterEnabled = r.IntN(4) > 0
	settings.PostPaid = yes()
	settings.PollEndpoints = yes()
	settings.PollTimeout = 10 * second
	settings.MaxAttempts = 1 + r.IntN(5)
	settings.Classes = nil
	for range 6 {
		settings.Classes = append(settings.Classes, ClassSettings{Idempotency: Idempotency(r.IntN(3)), DedupScope: DedupScope(r.IntN(3)),
			DedupWindow: int64(r.IntN(1000)) * millisecond, LatencyObjective: int64(400+r.IntN(1000)) * millisecond, Deadline: 2 * second,
			LateValue: float64(r.IntN(2)), FallbackMode: FallbackMode(r.IntN(3))})
	}
	settings.Plans = []PlanSettings{{Rate: 5, Burst: 10}, {Rate: 1, Burst: 2, HardQuotaRate: 2, HardQuotaBurst: 8},
		{ConcurrencyLimit: 3}, {}, {Rate: 1e-9, Burst: 1e9}, {Rate: 1e9, Burst: 0, HardQuotaRate: 1e-9, HardQuotaBurst: 1e300},
		{Rate: 3, Burst: 3, ConcurrencyLimit: 2, OverQuotaValue: 0.3}}
	h := newHarness(t, settings, readyEndpoints(1, 2, 3, 4)...)
	outcomes := []Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed, ConnectionLost,
		Canceled, NotSent}
	for n := range 500 {
		switch r.IntN(12) {
		case 0, 1, 2, 3:
			plan := r.IntN(len(settings.Plans) + 1)
			h.submit(RequestID(n), ClassID(r.IntN(len(settings.Classes)+1)), PlanID(plan),
				TenantID(r.IntN(3)+3*plan), int64(r.IntN(2000))*millisecond, float64(r.IntN(4)))
		case 4, 5, 6:
			if len(h.order) > 0 {
				request := h.requests[h.order[r.IntN(len(h.order))]]
				if n := len(request.attempts) - 1; n >= 0 && h.now-request.attempts[n].sentAt >= 200*millisecond { // as rule 4's check has it
					h.endAttempt(request, r.IntN(n+1), outcomes[r.IntN(len(outcomes))])
				}
			}
		case 7, 8:
			if len(h.pendingAdds) > 0 {
				h.answerCounter([]Outcome{Succeeded, Succeeded, Rejected, ConnectFailed, TimedOut}[r.IntN(5)])
			}
		case 9:
			b := Endpoint{Backend: BackendID(1 + r.IntN(6)), Capacity: r.Float64(), State: EndpointState(r.IntN(3)),
				Zone: ZoneID(r.IntN(2)), Group: GroupID(r.IntN(2))}
			if yes() {
				b.StartedAt = h.now - int64(r.IntN(9000))*millisecond
			}
			if how := []UpdateKind{Delta, Delta, Delta, FullSnapshot, UpdateFailed}[r.IntN(5)]; how == UpdateFailed {
				h.update(how)
			} else {
				h.update(how, b)
			}
			h.checkAnswered()
		case 10:
			if len(h.healthChecks) > 0 {
				h.engine.HandleHealthCheck(h.now, h.healthChecks[0], outcomes[r.IntN(len(outcomes))])
				h.healthChecks = h.healthChecks[1:]
			} else if len(h.order) > 0 {
				request := h.requests[h.order[r.IntN(len(h.order))]]
				if yes() && request.ended == "" && len(request.attempts) > 0 && request.attempts[len(request.attempts)-1].inFlight {
					request.streamed = true
					request.handle.HandleResponseStarted(h.now, AttemptID(len(request.attempts)-1))
				} else if r.IntN(9) == 0 && request.ended == "" {
					h.clientGone(request)
				}
			}
		default:
			h.advance(int64(r.IntN(200)) * millisecond)
		}
	}
	h.advance(4 * second)
	for _, id := range h.order {
		if request := h.requests[id]; request.ended == "" && !request.streamed {
			t.Errorf("rule 1: %d was never answered", id)
		}
	}
	return h.log
}

func TestEngine_KeepsTheRulesOnRandomDays(t *testing.T) {
	day := func(seed uint64) bool { // twice: same events, same actions
		return reflect.DeepEqual(playRandomDay(t, seed), playRandomDay(t, seed)) && !t.Failed()
	}
	seed := uint64(0) // counted, so that every run plays the same days
	next := func(v []reflect.Value, _ *rand1.Rand) {
		seed++
		v[0] = reflect.ValueOf(seed)
	}
	if err := quick.Check(day, &quick.Config{MaxCount: 150, Values: next}); err != nil {
		t.Error(err)
	}
}
