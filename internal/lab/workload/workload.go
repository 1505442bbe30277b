// Package people is who asks for what and when in a scenario: customers, their plans and doors, arrivals, and how
// clients come again. The model and the load tool draw the same people from the same seed. It sends nothing.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"

	"fawnplank/internal/lab/scenario"
)

// Tenant is one customer: its plan, and the first of the doors that it comes in through.
type Tenant struct{ Plan, FirstInstance int }

// Request is a transaction that a client wants. Times are nanoseconds since the run's start.
type Request struct {
	AtNanos, DeadlineNanos int64
	Tenant, Class          int
	Plan                   int
	Units                  float64
}

// Generator draws transactions. Its calls come one at a time.
type Generator struct {
	Tenants   []Tenant
	s         *scenario.Scenario
	customers []float64 // cumulative weights
	profiles  []float64
	arrivals  *rand.Rand
	chance    *rand.Rand // of doors and waits: asked for in an order that depends on answers
	at        float64
	asked     int
}

// New makes the people of a scenario.
func New(s *scenario.Scenario) *Generator {
	p := &Generator{s: s, arrivals: rand.New(rand.NewPCG(s.Seed, 0)), chance: rand.New(rand.NewPCG(s.Seed, 1))}
	var plans []float64
	for _, x := range s.Plans {
		plans = grow(plans, x.Share)
	}
	for _, x := range s.Classes {
		p.profiles = grow(p.profiles, x.Share)
	}
	for n := range s.Load.Tenants {
		// Plans go round by their shares: the busiest customers are not all of one plan by chance.
		plan := pick(plans, math.Mod(float64(n)*math.Phi, 1))
		p.Tenants = append(p.Tenants, Tenant{Plan: plan, FirstInstance: p.chance.IntN(s.Instances.Count)})
		p.customers = grow(p.customers, math.Pow(float64(n+1), -s.Load.Skew))
	}
	return p
}

func grow(sums []float64, x float64) []float64 {
	if len(sums) > 0 {
		x += sums[len(sums)-1]
	}
	return append(sums, x)
}

// pick gives the row that the part x of the sum falls into.
func pick(sums []float64, x float64) int {
	return min(sort.SearchFloat64s(sums, x*sums[len(sums)-1]), len(sums)-1)
}

// Next draws the next transaction; there is none once the duration or the number asked for is over.
func (p *Generator) Next() (Request, bool) {
	gap := 1e9 / p.s.Load.Rate
	if p.s.Load.Arrivals == "poisson" {
		gap *= p.arrivals.ExpFloat64()
	}
	p.at += gap
	if p.at >= float64(p.s.Duration) || p.asked >= p.s.Load.MaxRequests {
		return Request{}, false
	}
	p.asked++
	c := pick(p.customers, p.arrivals.Float64())
	a := Request{AtNanos: int64(p.at), Tenant: c, Plan: p.Tenants[c].Plan, Class: pick(p.profiles, p.arrivals.Float64()), Units: 1}
	if p.s.Load.Units > 1 {
		a.Units += math.Floor(p.arrivals.ExpFloat64() / math.Log(p.s.Load.Units/(p.s.Load.Units-1))) // geometric
	}
	a.DeadlineNanos = a.AtNanos + int64(p.s.Classes[a.Class].Deadline)
	return a, true
}

// Instance draws one of the customer's doors.
func (p *Generator) Instance(a Request) int {
	return (p.Tenants[a.Tenant].FirstInstance + p.chance.IntN(p.s.Load.EntryPoints)) % p.s.Instances.Count
}

// RetryDelay is how long a client that was dismissed waits: as long as it was told, or else from 50 ms on and doubling,
// as clients commonly do; and up to a quarter more.
func (p *Generator) RetryDelay(again int, comeBack int64) int64 {
	if comeBack <= 0 {
		comeBack = 50e6 << min(again, 5)
	}
	return comeBack + int64(float64(comeBack)*p.chance.Float64()/4)
}

// WorkNanos draws how many nanoseconds of a core a transaction of so many units takes at a warm backend.
func (p *Generator) WorkNanos(chance *rand.Rand, units float64) float64 {
	return float64(p.s.Backends.Work) * units * math.Exp(p.s.Backends.Spread*chance.NormFloat64())
}
