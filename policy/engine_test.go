package policy

import (
	rand1 "math/rand"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"time"
)

// randomScenario generates random events for an engine with random settings.
type randomScenario struct {
	*harness
	random *rand.Rand
}

var weightedOutcomes = []Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed,
	ConnectionLost, Canceled, NotSent}

func (s *randomScenario) coinFlip() bool { return s.random.IntN(2) == 0 }

func (s *randomScenario) randomOutcome() Outcome {
	return weightedOutcomes[s.random.IntN(len(weightedOutcomes))]
}

// randomRequest returns one of the requests submitted so far. At least one must have been submitted.
func (s *randomScenario) randomRequest() *clientRequest {
	return s.requests[s.submissionOrder[s.random.IntN(len(s.submissionOrder))]]
}

func (s *randomScenario) randomSettings() Settings {
	settings := defaultSettings()
	settings.Hedging = s.coinFlip()
	settings.Cancellation = s.coinFlip()
	settings.HealthChecks = s.coinFlip()
	settings.CounterEnabled = s.random.IntN(4) > 0
	settings.PostPaid = s.coinFlip()
	settings.PollEndpoints = s.coinFlip()
	settings.PollTimeout = 10 * time.Second
	settings.MaxAttempts = 1 + s.random.IntN(5)
	settings.Classes = nil
	for range 6 {
		settings.Classes = append(settings.Classes, ClassSettings{
			Idempotency:      Idempotency(s.random.IntN(3)),
			DedupScope:       DedupScope(s.random.IntN(3)),
			DedupWindow:      time.Duration(s.random.IntN(1000)) * time.Millisecond,
			LatencyObjective: time.Duration(400+s.random.IntN(1000)) * time.Millisecond,
			Deadline:         2 * time.Second,
			LateValue:        float64(s.random.IntN(2)),
			FallbackMode:     FallbackMode(s.random.IntN(3)),
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

// runRandomScenario runs the scenario of a seed and returns the log of its effects.
func runRandomScenario(tb testing.TB, seed uint64) []string {
	tb.Helper()
	s := &randomScenario{random: rand.New(rand.NewPCG(seed, 1))}
	s.harness = newHarness(tb, s.randomSettings(), readyEndpoints(1, 2, 3, 4)...)
	for n := range 500 {
		s.runRandomEvent(RequestID(n))
	}
	s.advance(4 * time.Second)
	for _, id := range s.submissionOrder {
		if request := s.requests[id]; request.finalAnswer == "" && !request.responseStarted {
			s.t.Errorf("rule 1: request %d has no final answer at the end of the scenario", id)
		}
	}
	return s.log
}

// runRandomEvent generates one event. If the event is a request, it gets the id.
func (s *randomScenario) runRandomEvent(id RequestID) {
	switch s.random.IntN(12) {
	case 0, 1, 2, 3:
		plan := s.random.IntN(len(s.settings.Plans) + 1) // one plan, like one class below, does not exist
		s.submit(id, ClassID(s.random.IntN(len(s.settings.Classes)+1)), PlanID(plan),
			TenantID(s.random.IntN(3)+3*plan), time.Duration(s.random.IntN(2000))*time.Millisecond, float64(s.random.IntN(4)))
	case 4, 5, 6:
		s.endRandomAttempt()
	case 7, 8:
		if len(s.pendingAdds) > 0 {
			outcomes := []Outcome{Succeeded, Succeeded, Rejected, ConnectFailed, TimedOut}
			s.answerOldestCounterCall(outcomes[s.random.IntN(len(outcomes))])
		}
	case 9:
		s.updateRandomEndpoint()
	case 10:
		if len(s.pendingHealthChecks) > 0 {
			s.engine.HandleHealthCheck(s.now, s.pendingHealthChecks[0], s.randomOutcome())
			s.pendingHealthChecks = s.pendingHealthChecks[1:]
		} else if len(s.submissionOrder) > 0 {
			s.startResponseOrDisconnect(s.randomRequest())
		}
	default:
		s.advance(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
}

func (s *randomScenario) endRandomAttempt() {
	if len(s.submissionOrder) == 0 {
		return
	}
	randomRequest := s.randomRequest()
	last := len(randomRequest.attempts) - 1
	// An attempt takes at least 200 ms, as checkSlowStart assumes.
	if last >= 0 && s.now.Sub(randomRequest.attempts[last].sentAt) >= 200*time.Millisecond {
		attempt := s.random.IntN(last + 1)
		s.endAttempt(randomRequest, attempt, s.randomOutcome())
	}
}

func (s *randomScenario) updateRandomEndpoint() {
	endpoint := Endpoint{
		Backend: BackendID(1 + s.random.IntN(6)),
		Weight:  s.random.Float64(),
		State:   EndpointState(s.random.IntN(3)),
		Zone:    ZoneID(s.random.IntN(2)),
		Group:   GroupID(s.random.IntN(2)),
	}
	if s.coinFlip() {
		endpoint.StartedAt = s.now.Add(-time.Duration(s.random.IntN(9000)) * time.Millisecond)
	}
	kinds := []UpdateKind{Delta, Delta, Delta, FullSnapshot, UpdateFailed}
	if kind := kinds[s.random.IntN(len(kinds))]; kind == UpdateFailed {
		s.updateEndpoints(kind)
	} else {
		s.updateEndpoints(kind, endpoint)
	}
	s.checkOverdueAnswers()
}

// startResponseOrDisconnect starts the response of a request, disconnects its client, or does nothing.
func (s *randomScenario) startResponseOrDisconnect(request *clientRequest) {
	last := len(request.attempts) - 1
	if s.coinFlip() && request.finalAnswer == "" && last >= 0 && request.attempts[last].inFlight {
		request.responseStarted = true
		request.handle.HandleResponseStarted(s.now, AttemptID(last))
	} else if s.random.IntN(9) == 0 && request.finalAnswer == "" {
		s.disconnectClient(request)
	}
}

// TestEngine_KeepsRulesInRandomScenarios checks that random events break no rule, and that equal seeds give equal
// effects.
func TestEngine_KeepsRulesInRandomScenarios(t *testing.T) {
	keepsRules := func(seed uint64) bool { // runs the scenario twice, since equal events must give equal effects
		return reflect.DeepEqual(runRandomScenario(t, seed), runRandomScenario(t, seed)) && !t.Failed()
	}
	seed := uint64(0) // counted up, so that every test run uses the same seeds
	nextSeed := func(arguments []reflect.Value, _ *rand1.Rand) {
		seed++
		arguments[0] = reflect.ValueOf(seed)
	}
	if err := quick.Check(keepsRules, &quick.Config{MaxCount: 150, Values: nextSeed}); err != nil {
		t.Error(err)
	}
}
