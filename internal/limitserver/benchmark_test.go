package limitserver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/authz"
	"fawnplank/internal/counter"
)

// BenchmarkCheck measures checks over loopback, one at a time and in pipelines of a hundred, with an emulated counter
// that answers in half a millisecond. It reports the latencies of pipelines as p50 and p99.
func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{1, 100} {
		b.Run(fmt.Sprint("pipeline-", size), func(b *testing.B) {
			g := startGateway(b, counter.Text)
			c := g.dial(b)
			setDeadline(b, c, time.Time{})
			var pipeline []byte
			for n := range size {
				args := []string{"LIMIT.CHECK", fmt.Sprintf("%016x", 1000+n), "despacho", "0.001"}
				pipeline = append(pipeline, encodeCommand(args...)...)
			}
			var latencies []time.Duration
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				c.send(b, pipeline)
				for range size {
					c.receive(b)
				}
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			count := len(latencies)
			b.ReportMetric(float64(size)*float64(count)/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(latencies[count/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[count*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkPeek measures the cost of the protocol and of the dispatcher's lock. A peek counts nothing and does not wait
// for the counter.
func BenchmarkPeek(b *testing.B) {
	g := startGateway(b, counter.Text)
	args := [][]byte{[]byte("LIMIT.PEEK"), []byte(tenant), []byte("despacho")}
	commands := []redcon.Command{{Args: args}}
	b.ReportAllocs()
	for b.Loop() {
		g.server.run(commands, authz.Check)
	}
}
