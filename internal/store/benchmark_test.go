package store

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkWrite measures sequential writes through the leader's API, with three replicas on one machine.
func BenchmarkWrite(b *testing.B) {
	c := newCluster(b, nil)
	leader := c.leader()
	var latencies []time.Duration
	n := 0
	for b.Loop() {
		start := time.Now()
		if status, text := c.callAPI(leader, "PUT", "/v1/kv/k", fmt.Sprint(n)); status != 200 {
			b.Fatal(status, text)
		}
		latencies = append(latencies, time.Since(start))
		n++
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
}

// BenchmarkWrite_Concurrent measures concurrent writes of two clients per processor.
func BenchmarkWrite_Concurrent(b *testing.B) {
	c := newCluster(b, nil)
	leader := c.leader()
	b.SetParallelism(2)
	b.ResetTimer() // excludes the start of the cluster, which waits for replicas that do not answer yet
	b.RunParallel(func(p *testing.PB) {
		for n := 0; p.Next(); n++ {
			if status, text := c.callAPI(leader, "PUT", "/v1/kv/k", fmt.Sprint(n)); status != 200 {
				b.Error(status, text)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
}

// BenchmarkLeaderFailover measures the time from the end of the leader's shutdown to the next committed write.
func BenchmarkLeaderFailover(b *testing.B) {
	c := newCluster(b, nil)
	var total time.Duration
	for b.Loop() {
		leader := c.leader()
		c.stop(leader)
		start := time.Now()
		c.writeUntilCommitted(c.anyRunning(), "k", "1")
		total += time.Since(start)
		c.start(leader)
		c.awaitConvergence()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/recovery")
}
