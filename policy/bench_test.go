package policy

import (
	"testing"
)

// idleEffects counts nothing and does nothing.
type idleEffects struct{ name CountID }

func (*idleEffects) Shoot(TransactionID, BackendID, int64, int64) {}
func (*idleEffects) Recall(TransactionID, ShotID)                 {}
func (*idleEffects) Dismiss(TransactionID, int64)                 {}
func (*idleEffects) BreakOff(TransactionID)                       {}
func (*idleEffects) Grant(TransactionID)                          {}
func (*idleEffects) Wake(int64, uint64)                           {}
func (e *idleEffects) Count(name CountID, _ float64, _ int64)     { e.name = name }
func (*idleEffects) Probe(BackendID)                              {}
func (*idleEffects) Follow()                                      {}
func (*idleEffects) Note(string)                                  {}

// BenchmarkPolicy_Request is one request's whole way: taken, counted, sent and settled.
func BenchmarkPolicy_Request(b *testing.B) {
	terms := plainTerms()
	terms.Plans = []PlanTerms{{Rate: 1e6, Burst: 1e6}}
	effects := &idleEffects{}
	now := 1000 * sec
	g := New(now, 1, terms, effects)
	g.Backends(now, Whole, ready(1, 2, 3, 4, 5, 6, 7, 8))
	step := func(id int) {
		request := g.Take(now, TransactionID(id), 0, 0, CustomerID(id%100), 2*sec, 1, 2, 0)
		now += ms
		g.Counted(now, Fulfilled, effects.name, 1)
		now += 9 * ms
		request.Settled(now, 0, Fulfilled, 9*ms, false, 0)
		if !request.Done() || len(request.shots) != 1 {
			b.Fatalf("request %d: done %v, %d attempts", id, request.Done(), len(request.shots))
		}
		if id%10 == 0 {
			g.Wake(now, markTick)
			g.Wake(now, g.wakes)
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
