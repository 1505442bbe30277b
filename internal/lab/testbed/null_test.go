package testbed

import (
	"net"
	"testing"

	"github.com/tidwall/redcon"

	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

// nullDoor fulfils everything at once: what is measured at it is the load tool's own.
func nullDoor(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := redcon.NewReader(c); ; {
					if _, err := r.ReadCommand(); err != nil {
						return
					}
					c.Write([]byte("$2\r\nok\r\n"))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkLoadTool tells the tool's own overhead: how late it writes, and what latency it shows for a door that
// answers at once.
func BenchmarkLoadTool(b *testing.B) {
	for _, rate := range []string{"500", "2000", "5000"} {
		b.Run(rate, func(b *testing.B) {
			s, err := scenario.Parse("small", []byte(small), "doors.count=1", "load.spread=1", "duration=2s", "load.rate="+rate)
			if err != nil {
				b.Fatal(err)
			}
			terms, _ := s.EngineSettings(0)
			address := nullDoor(b)
			var p50, p99, shown, shown99 float64
			n := 0.0
			for b.Loop() {
				log := results.NewLog(results.New(s, terms, 0))
				log.Begin()
				tool := load.New(s, log, []string{address})
				tool.Run(nil)
				run := log.Finish()
				x, y := tool.Lag()
				p50, p99, shown, shown99, n = p50+x, p99+y, shown+run.Total.P50, shown99+run.Total.P99, n+1
			}
			b.ReportMetric(p50/n, "lag-p50-ms")
			b.ReportMetric(p99/n, "lag-p99-ms")
			b.ReportMetric(shown/n, "shown-p50-ms")
			b.ReportMetric(shown99/n, "shown-p99-ms")
		})
	}
}
