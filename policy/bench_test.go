package policy

import (
	"testing"
	"time"
)

// BenchmarkPolicy_Request measures one request from its submission through counter call and attempt to its answer.
func BenchmarkPolicy_Request(b *testing.B) {
	settings := defaultSettings()
	settings.Plans = []PlanSettings{{Rate: 1e6, Burst: 1e6}}
	effects := &noopEffects{}
	now := testStart
	e := New(Options{Now: now, Seed: 1, Settings: settings, Effects: effects})
	e.UpdateEndpoints(now, FullSnapshot, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8))
	runRequest := func(id int) {
		request := e.Submit(now, RequestSpec{ID: RequestID(id), Tenant: TenantID(id % 100), Remaining: 2 * time.Second,
			Units: 1, EntryPoints: 2})
		now = now.Add(time.Millisecond)
		e.HandleCounterResult(now, CounterResult{Key: effects.counterKey, Outcome: Succeeded, Total: 1})
		now = now.Add(9 * time.Millisecond)
		request.HandleAttemptResult(now, AttemptResult{Outcome: Succeeded, Elapsed: 9 * time.Millisecond})
		if !request.Done() || len(request.attempts) != 1 {
			b.Fatalf("request %d: done %v, %d attempts", id, request.Done(), len(request.attempts))
		}
		if id%10 == 0 {
			e.HandleTimer(now, tickTimer)
			e.HandleTimer(now, e.wakeID)
		}
	}
	for id := range 1000 { // warm-up: brings measurements and stored state to a steady level
		runRequest(id)
	}
	b.ReportAllocs()
	id := 1000
	for b.Loop() {
		runRequest(id)
		id++
	}
}
