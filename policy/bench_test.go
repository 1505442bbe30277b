package policy

import (
	"testing"
)

// idleEffects counts nothing and does nothing.
type idleEffects struct{ name CounterKey }

func (*idleEffects) Send(RequestID, BackendID, int64, int64)            {}
func (*idleEffects) Cancel(RequestID, AttemptID)                        {}
func (*idleEffects) Reject(RequestID, int64)                            {}
func (*idleEffects) Abort(RequestID)                                    {}
func (*idleEffects) Admit(RequestID)                                    {}
func (*idleEffects) WakeAt(int64, uint64)                               {}
func (e *idleEffects) AddToCounter(name CounterKey, _ float64, _ int64) { e.name = name }
func (*idleEffects) CheckHealth(BackendID)                              {}
func (*idleEffects) WatchEndpoints()                                    {}
func (*idleEffects) Log(string)                                         {}

// BenchmarkPolicy_Request is one request's whole way: taken, counted, sent and settled.
func BenchmarkPolicy_Request(b *testing.B) {
	terms := plainTerms()
	terms.Plans = []PlanSettings{{Rate: 1e6, Burst: 1e6}}
	effects := &idleEffects{}
	now := 1000 * second
	g := New(now, 1, terms, effects)
	g.UpdateEndpoints(now, FullSnapshot, ready(1, 2, 3, 4, 5, 6, 7, 8))
	step := func(id int) {
		request := g.Submit(now, RequestSpec{ID: RequestID(id), Tenant: TenantID(id % 100), Remaining: 2 * second,
			Units: 1, EntryPoints: 2})
		now += millisecond
		g.HandleCounterResult(now, Succeeded, effects.name, 1)
		now += 9 * millisecond
		request.HandleAttemptResult(now, AttemptResult{Outcome: Succeeded, Elapsed: 9 * millisecond})
		if !request.Done() || len(request.attempts) != 1 {
			b.Fatalf("request %d: done %v, %d attempts", id, request.Done(), len(request.attempts))
		}
		if id%10 == 0 {
			g.HandleTimer(now, tickTimer)
			g.HandleTimer(now, g.wakeups)
		}
	}
	for id := range 1000 { // until what is measured and remembered is steady
		step(id)
	}
	b.ReportAllocs()
	id := 1000
	for b.Loop() {
		step(id)
		id++
	}
}
