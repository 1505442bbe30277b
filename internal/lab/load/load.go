// Package load sends the requests of a workload to gateway instances over sockets, in an open loop: each request is
// due at its planned time, whether or not earlier requests were answered, and its latency counts from that time. A
// stalled instance therefore gets the same requests as a responsive one, which avoids coordinated omission. The number
// of requests, the duration of a run, the number of connections and each wait are bounded.
//
// A Generator owns its connections and the goroutines of its requests; Run returns when all of them have ended. Lag
// may be called at any time.
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

// The range, in microseconds, and the number of significant digits of the histogram of send lags.
const (
	minLagMicros = 1
	maxLagMicros = 60e6
	lagDigits    = 3
)

// Generator emulates the clients of a scenario.
type Generator struct {
	scenario  *scenario.Scenario
	log       *results.EventLog
	addresses []string // of the instances
	requests  sync.WaitGroup

	mu              sync.Mutex // guards the fields below; only Run calls workload.Next, without the lock
	workload        *workload.Generator
	idle            [][]*connection // by instance; the most recently used connection is the last
	openConnections int             // in use or idle
	lastSubmission  invariants.SubmissionID
	lag             *hdrhistogram.Histogram
}

// New returns a generator for a scenario, which records its requests in log. addresses are the addresses of the
// gateway instances.
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

// Run sends all requests, and returns when each of them is answered or has timed out. When ctx ends, Run starts no
// further requests.
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

// sleepUntil waits until due. It returns false if ctx ends first.
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

// Lag returns the median and the 99th percentile of the delay, in milliseconds, between the due time of a request and
// its write. The measured latencies include this delay, which the load tool itself causes.
func (g *Generator) Lag() (p50, p99 float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.lag.ValueAtQuantile(50)) / 1e3, float64(g.lag.ValueAtQuantile(99)) / 1e3
}

// recordLag records the delay between the due time of a request and its write.
func (g *Generator) recordLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.lag.RecordValue(max(lag.Microseconds(), minLagMicros)) // a lag beyond maxLagMicros is not recorded
}
