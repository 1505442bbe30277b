// Package load sends the requests of a workload to gateway instances over sockets, in an open loop: each
// request is due at its planned time, whether or not earlier ones were answered, and its latency counts from
// then. So an instance that stands still is not spared the requests that it would have had (coordinated
// omission). The number of requests, the time, the connections and each wait are bounded.
//
// A Generator owns its connections and the goroutines of its requests; Run returns when all of them have
// ended. Lag is safe to call at any time.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
)

// The histogram of lags counts microseconds, up to a minute, with three digits.
const (
	minLagMicros = 1
	maxLagMicros = 60e6
	lagDigits    = 3
)

// Generator plays the clients of a scenario.
type Generator struct {
	scenario  *scenario.Scenario
	log       *results.EventLog
	addresses []string // of the instances
	requests  sync.WaitGroup

	mu             sync.Mutex // guards what follows, and the workload's random numbers except those of Next
	workload       *workload.Generator
	idle           [][]*connection // of each instance, the most recently used last
	connections    int             // open ones, idle or not
	lastSubmission invariants.SubmissionID
	lag            *hdrhistogram.Histogram
}

// New makes the clients of a scenario, which record into log. addresses are those of the gateway instances.
func New(s *scenario.Scenario, log *results.EventLog, addresses []string) *Generator {
	return &Generator{
		scenario:  s,
		log:       log,
		addresses: addresses,
		workload:  workload.New(s),
		idle:      make([][]*connection, len(addresses)),
		lag:       hdrhistogram.New(minLagMicros, maxLagMicros, lagDigits),
	}
}

// Run sends all requests, and returns once all are answered or their time is up. It sends no more once ctx
// ends.
func (g *Generator) Run(ctx context.Context) {
	start := time.Now()
	for {
		request, ok := g.workload.Next()
		if !ok {
			break
		}
		due := start.Add(request.Due.Sub(monotime.Instant{}))
		if !sleepUntil(ctx, due) {
			break
		}
		g.requests.Go(func() { g.send(request, due) })
	}
	g.requests.Wait()
	g.closeIdle()
}

// sleepUntil waits until due. It returns false if ctx ends the wait.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// Lag returns by how much requests were written later than due, in milliseconds: this is the generator's own
// share of the latencies.
func (g *Generator) Lag() (p50, p99 float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.lag.ValueAtQuantile(50)) / 1e3, float64(g.lag.ValueAtQuantile(99)) / 1e3
}

// recordLag records how late a request is written.
func (g *Generator) recordLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.lag.RecordValue(max(lag.Microseconds(), minLagMicros)) // a lag beyond the histogram's end is left out
}
