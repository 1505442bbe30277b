// Package workload draws who sends which request when in a scenario: the tenants with their plans and entry
// points, the arrivals, and how clients retry. The model and the load tool draw the same workload from the
// same seed. The package sends nothing.
//
// A Generator is not safe for concurrent use.
package workload

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
)

// The random streams of the seed. The order of the draws from one does not depend on the other.
const (
	arrivalStream = iota // fixed order: the same requests whatever the answers
	choiceStream         // entry points and delays, drawn in an order that depends on answers
)

// ExtraConnectRetries is how many connects beyond the scenario's retries a client tries, one instance after
// another, before it gives up a request that no instance accepts.
const ExtraConnectRetries = 3

const (
	// firstRetryDelay is how long a client waits that got no Retry-After. The delay doubles with each
	// retry, as is common among clients, up to maxRetryDoublings times.
	firstRetryDelay   = 50 * time.Millisecond
	maxRetryDoublings = 5
	// jitterDivisor bounds the jitter of a delay: it adds up to a quarter.
	jitterDivisor = 4
)

// Tenant is a tenant: its plan, and the first instance of those that are its entry points.
type Tenant struct{ Plan, FirstInstance int }

// Request is a request that a client wants answered. Instants count from the run's start.
type Request struct {
	Due      monotime.Instant // when its client sends it
	Deadline monotime.Instant // until when its client waits
	Tenant   int
	Class    int
	Plan     int
	Units    float64
}

// Generator draws requests.
type Generator struct {
	Tenants []Tenant

	scenario      *scenario.Scenario
	tenantWeights []float64 // cumulative, like the others
	classWeights  []float64
	arrivals      *rand.Rand
	choices       *rand.Rand
	atNanos       float64
	drawn         int
}

// New returns the generator of a scenario.
func New(s *scenario.Scenario) *Generator {
	g := &Generator{
		scenario: s,
		arrivals: rand.New(rand.NewPCG(s.Seed, arrivalStream)),
		choices:  rand.New(rand.NewPCG(s.Seed, choiceStream)),
	}
	var planWeights []float64
	for _, plan := range s.Plans {
		planWeights = appendWeight(planWeights, plan.Share)
	}
	for _, class := range s.Classes {
		g.classWeights = appendWeight(g.classWeights, class.Share)
	}
	for n := range s.Load.Tenants {
		// Plans are assigned in rotation by their shares, so that the busiest tenants do not all have one plan by chance.
		plan := pick(planWeights, math.Mod(float64(n)*math.Phi, 1))
		g.Tenants = append(g.Tenants, Tenant{Plan: plan, FirstInstance: g.choices.IntN(s.Instances.Count)})
		g.tenantWeights = appendWeight(g.tenantWeights, math.Pow(float64(n+1), -s.Load.Skew))
	}
	return g
}

// appendWeight appends a weight to cumulative ones.
func appendWeight(cumulative []float64, weight float64) []float64 {
	if len(cumulative) > 0 {
		weight += cumulative[len(cumulative)-1]
	}
	return append(cumulative, weight)
}

// pick returns the index of the weight into which a part, from 0 to 1, of the weights' sum falls.
func pick(cumulative []float64, part float64) int {
	last := len(cumulative) - 1
	return min(sort.SearchFloat64s(cumulative, part*cumulative[last]), last)
}

// Next draws the next request. It returns false once the duration is over or the scenario's number is drawn.
func (g *Generator) Next() (Request, bool) {
	load := &g.scenario.Load
	gapNanos := 1e9 / load.Rate
	if load.Arrivals == scenario.ArrivalsPoisson {
		gapNanos *= g.arrivals.ExpFloat64()
	}
	g.atNanos += gapNanos
	if g.atNanos >= float64(g.scenario.Duration) || g.drawn >= load.MaxRequests {
		return Request{}, false
	}
	g.drawn++
	tenant := pick(g.tenantWeights, g.arrivals.Float64())
	request := Request{
		Due:    monotime.FromNanos(int64(g.atNanos)),
		Tenant: tenant,
		Class:  pick(g.classWeights, g.arrivals.Float64()),
		Plan:   g.Tenants[tenant].Plan,
		Units:  1,
	}
	if load.Units > 1 { // the units beyond the first have a geometric distribution
		request.Units += math.Floor(g.arrivals.ExpFloat64() / math.Log(load.Units/(load.Units-1)))
	}
	request.Deadline = request.Due.Add(time.Duration(g.scenario.Classes[request.Class].Deadline))
	return request, true
}

// Instance draws the instance that gets a request from the entry points of its tenant, with equal
// probability.
func (g *Generator) Instance(request Request) int {
	offset := g.choices.IntN(g.scenario.Load.EntryPoints)
	return (g.Tenants[request.Tenant].FirstInstance + offset) % g.scenario.Instances.Count
}

// RetryDelay draws how long a client waits after a rejection. retries is its number of retries so far;
// retryAfter is 0 if the rejection has none.
func (g *Generator) RetryDelay(retries int, retryAfter time.Duration) time.Duration {
	delay := retryAfter
	if delay <= 0 {
		delay = firstRetryDelay << min(retries, maxRetryDoublings)
	}
	return delay + time.Duration(float64(delay)*g.choices.Float64()/jitterDivisor)
}

// WorkNanos draws how many nanoseconds of a core a request of so many units takes at a backend that has
// warmed up.
func (g *Generator) WorkNanos(random *rand.Rand, units float64) float64 {
	median := float64(g.scenario.Backends.Work) * units
	return median * math.Exp(g.scenario.Backends.WorkSigma*random.NormFloat64())
}
