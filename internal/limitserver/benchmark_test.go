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

// BenchmarkCheck measures checks over loopback, one at a time and a hundred in a pipeline, with a counter
// stand-in that answers in half a millisecond. It reports the latencies of pipelines as p50 and p99.
func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{1, 100} {
		b.Run(fmt.Sprint("pipeline-", size), func(b *testing.B) {
			g := startGateway(b, counter.Text)
			c := g.dial(b)
			setDeadline(b, c, time.Time{})
			var pipeline []byte
			for n := range size {
				words := []string{"LIMIT.CHECK", fmt.Sprintf("%016x", 1000+n), "despacho", "0.001"}
				pipeline = append(pipeline, command(words...)...)
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

// BenchmarkPeek measures the protocol and the lock: a peek counts nothing and waits for nobody.
func BenchmarkPeek(b *testing.B) {
	g := startGateway(b, counter.Text)
	words := [][]byte{[]byte("LIMIT.PEEK"), []byte(tenant), []byte("despacho")}
	commands := []redcon.Command{{Args: words}}
	b.ReportAllocs()
	for b.Loop() {
		g.server.run(commands, authz.Check)
	}
}
