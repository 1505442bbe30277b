package policy

import (
	rand1 "math/rand"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"time"
)

// randomDay is a day of random events on random settings.
type randomDay struct {
	*harness
	random *rand.Rand
}

var randomOutcomes = []Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed,
	ConnectionLost, Canceled, NotSent}

func (d *randomDay) likely() bool { return d.random.IntN(2) == 0 }

func (d *randomDay) outcome() Outcome { return randomOutcomes[d.random.IntN(len(randomOutcomes))] }

// request returns one of the requests so far, of which there must be any.
func (d *randomDay) request() *clientRequest { return d.requests[d.order[d.random.IntN(len(d.order))]] }

func (d *randomDay) drawSettings() Settings {
	settings := defaultSettings()
	settings.Hedging = d.likely()
	settings.Cancellation = d.likely()
	settings.HealthChecks = d.likely()
	settings.CounterEnabled = d.random.IntN(4) > 0
	settings.PostPaid = d.likely()
	settings.PollEndpoints = d.likely()
	settings.PollTimeout = 10 * time.Second
	settings.MaxAttempts = 1 + d.random.IntN(5)
	settings.Classes = nil
	for range 6 {
		settings.Classes = append(settings.Classes, ClassSettings{
			Idempotency:      Idempotency(d.random.IntN(3)),
			DedupScope:       DedupScope(d.random.IntN(3)),
			DedupWindow:      time.Duration(d.random.IntN(1000)) * time.Millisecond,
			LatencyObjective: time.Duration(400+d.random.IntN(1000)) * time.Millisecond,
			Deadline:         2 * time.Second,
			LateValue:        float64(d.random.IntN(2)),
			FallbackMode:     FallbackMode(d.random.IntN(3)),
		})
	}
	settings.Plans = []PlanSettings{
		{Rate: 5, Burst: 10},
		{Rate: 1, Burst: 2, HardQuotaRate: 2, HardQuotaBurst: 8},
		{ConcurrencyLimit: 3},
		{},
		{Rate: 1e-9, Burst: 1e9},
		{Rate: 1e9, Burst: 0, HardQuotaRate: 1e-9, HardQuotaBurst: 1e300},
		{Rate: 3, Burst: 3, ConcurrencyLimit: 2, OverQuotaValue: 0.3},
	}
	return settings
}

// playRandomDay plays a day and returns the log of its effects.
func playRandomDay(tb testing.TB, seed uint64) []string {
	tb.Helper()
	d := &randomDay{random: rand.New(rand.NewPCG(seed, 1))}
	d.harness = newHarness(tb, d.drawSettings(), readyEndpoints(1, 2, 3, 4)...)
	for n := range 500 {
		d.step(RequestID(n))
	}
	d.advance(4 * time.Second)
	for _, id := range d.order {
		if request := d.requests[id]; request.ended == "" && !request.streamed {
			d.t.Errorf("rule 1: %d was never answered", id)
		}
	}
	return d.log
}

// step plays one event.
func (d *randomDay) step(id RequestID) {
	switch d.random.IntN(12) {
	case 0, 1, 2, 3:
		plan := d.random.IntN(len(d.settings.Plans) + 1) // one more than there are, as with the classes
		d.submit(id, ClassID(d.random.IntN(len(d.settings.Classes)+1)), PlanID(plan),
			TenantID(d.random.IntN(3)+3*plan), time.Duration(d.random.IntN(2000))*time.Millisecond, float64(d.random.IntN(4)))
	case 4, 5, 6:
		d.endSomeAttempt()
	case 7, 8:
		if len(d.pendingAdds) > 0 {
			outcomes := []Outcome{Succeeded, Succeeded, Rejected, ConnectFailed, TimedOut}
			d.answerCounter(outcomes[d.random.IntN(len(outcomes))])
		}
	case 9:
		d.updateSomeEndpoint()
	case 10:
		if len(d.healthChecks) > 0 {
			d.engine.HandleHealthCheck(d.now, d.healthChecks[0], d.outcome())
			d.healthChecks = d.healthChecks[1:]
		} else if len(d.order) > 0 {
			d.streamOrLeave(d.request())
		}
	default:
		d.advance(time.Duration(d.random.IntN(200)) * time.Millisecond)
	}
}

func (d *randomDay) endSomeAttempt() {
	if len(d.order) == 0 {
		return
	}
	request := d.request()
	last := len(request.attempts) - 1
	if last >= 0 && d.now.Sub(request.attempts[last].sentAt) >= 200*time.Millisecond { // as the check of rule 4 has it
		attempt := d.random.IntN(last + 1)
		d.endAttempt(request, attempt, d.outcome())
	}
}

func (d *randomDay) updateSomeEndpoint() {
	endpoint := Endpoint{
		Backend: BackendID(1 + d.random.IntN(6)),
		Weight:  d.random.Float64(),
		State:   EndpointState(d.random.IntN(3)),
		Zone:    ZoneID(d.random.IntN(2)),
		Group:   GroupID(d.random.IntN(2)),
	}
	if d.likely() {
		endpoint.StartedAt = d.now.Add(-time.Duration(d.random.IntN(9000)) * time.Millisecond)
	}
	kinds := []UpdateKind{Delta, Delta, Delta, FullSnapshot, UpdateFailed}
	if kind := kinds[d.random.IntN(len(kinds))]; kind == UpdateFailed {
		d.update(kind)
	} else {
		d.update(kind, endpoint)
	}
	d.checkAnswered()
}

// streamOrLeave begins the response of a request, or has its client leave.
func (d *randomDay) streamOrLeave(request *clientRequest) {
	last := len(request.attempts) - 1
	if d.likely() && request.ended == "" && last >= 0 && request.attempts[last].inFlight {
		request.streamed = true
		request.handle.HandleResponseStarted(d.now, AttemptID(last))
	} else if d.random.IntN(9) == 0 && request.ended == "" {
		d.clientGone(request)
	}
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
