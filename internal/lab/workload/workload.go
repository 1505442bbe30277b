// Package workload generates the random workload of a scenario: the tenants with their plans and entry points, the
// arrivals of requests, and the clients' retry delays. The model and the load tool get the same workload from the
// same seed. The package itself sends nothing.
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

// The independent random streams of a scenario's seed.
const (
	arrivalStream = iota // drawn in a fixed order, so that the requests do not depend on the answers
	choiceStream         // entry points and retry delays, drawn in an order that depends on the answers
)

// ExtraConnectRetries is the number of connection attempts that a client makes in addition to the scenario's
// retries, each to an instance that it chooses anew, before it gives up a request that no instance accepts.
const ExtraConnectRetries = 3

const (
	// firstRetryDelay is the delay before a client's first retry of a rejection without a Retry-After. The delay
	// doubles with each retry, as is common among clients, up to maxRetryDoublings times.
	firstRetryDelay   = 50 * time.Millisecond
	maxRetryDoublings = 5
	// jitterDivisor bounds the jitter: a delay grows by a random share of up to 1/jitterDivisor.
	jitterDivisor = 4
)

// Tenant holds the index of a tenant's plan and the index of the first instance among its entry points.
type Tenant struct{ Plan, FirstInstance int }

// Request is a request of a client. Its instants are relative to the start of the run.
type Request struct {
	Due      monotime.Instant // when the client sends the request
	Deadline monotime.Instant // when the client stops waiting for the answer
	Tenant   int
	Class    int
	Plan     int
	Units    float64
}

// Generator generates the requests of a scenario.
type Generator struct {
	Tenants []Tenant

	scenario      *scenario.Scenario
	tenantWeights []float64 // cumulative, as are classWeights
	classWeights  []float64
	arrivals      *rand.Rand
	choices       *rand.Rand
	lastDueNanos  float64
	drawnRequests int
}

// New returns a generator for a scenario.
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
		// Plans are assigned by a low-discrepancy sequence in proportion to their shares, not at random, so that the
		// busiest tenants do not all have the same plan by chance.
		plan := pickWeighted(planWeights, math.Mod(float64(n)*math.Phi, 1))
		g.Tenants = append(g.Tenants, Tenant{Plan: plan, FirstInstance: g.choices.IntN(s.Instances.Count)})
		g.tenantWeights = appendWeight(g.tenantWeights, math.Pow(float64(n+1), -s.Load.Skew))
	}
	return g
}

// appendWeight appends a weight to a list of cumulative weights.
func appendWeight(cumulative []float64, weight float64) []float64 {
	if len(cumulative) > 0 {
		weight += cumulative[len(cumulative)-1]
	}
	return append(cumulative, weight)
}

// pickWeighted returns the index of the weight that contains the given fraction, from 0 to 1, of the weights' sum.
func pickWeighted(cumulative []float64, fraction float64) int {
	last := len(cumulative) - 1
	return min(sort.SearchFloat64s(cumulative, fraction*cumulative[last]), last)
}

// Next draws the next request. It returns false after the end of the scenario's duration or after its maximum number
// of requests.
func (g *Generator) Next() (Request, bool) {
	load := &g.scenario.Load
	interarrivalNanos := 1e9 / load.Rate
	if load.Arrivals == scenario.ArrivalsPoisson {
		interarrivalNanos *= g.arrivals.ExpFloat64()
	}
	g.lastDueNanos += interarrivalNanos
	if g.lastDueNanos >= float64(g.scenario.Duration) || g.drawnRequests >= load.MaxRequests {
		return Request{}, false
	}
	g.drawnRequests++
	tenant := pickWeighted(g.tenantWeights, g.arrivals.Float64())
	request := Request{
		Due:    monotime.FromNanos(int64(g.lastDueNanos)),
		Tenant: tenant,
		Class:  pickWeighted(g.classWeights, g.arrivals.Float64()),
		Plan:   g.Tenants[tenant].Plan,
		Units:  1,
	}
	if load.Units > 1 { // the units beyond the first have a geometric distribution
		request.Units += math.Floor(g.arrivals.ExpFloat64() / math.Log(load.Units/(load.Units-1)))
	}
	request.Deadline = request.Due.Add(time.Duration(g.scenario.Classes[request.Class].Deadline))
	return request, true
}

// Instance draws the index of the instance to which a request is sent, from the entry points of its tenant.
func (g *Generator) Instance(request Request) int {
	offset := g.choices.IntN(g.scenario.Load.EntryPoints)
	return (g.Tenants[request.Tenant].FirstInstance + offset) % g.scenario.Instances.Count
}

// RetryDelay draws how long a client waits before it retries a rejected request. retries is the number of retries
// already made; retryAfter is 0 if the rejection has no Retry-After.
func (g *Generator) RetryDelay(retries int, retryAfter time.Duration) time.Duration {
	delay := retryAfter
	if delay <= 0 {
		delay = firstRetryDelay << min(retries, maxRetryDoublings)
	}
	return delay + time.Duration(float64(delay)*g.choices.Float64()/jitterDivisor)
}

// WorkNanos draws how many nanoseconds of core time a request with the given units takes on a backend that has
// warmed up.
func (g *Generator) WorkNanos(random *rand.Rand, units float64) float64 {
	median := float64(g.scenario.Backends.Work) * units
	return median * math.Exp(g.scenario.Backends.WorkSigma*random.NormFloat64())
}
