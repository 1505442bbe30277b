package testbed

import (
	"net"
	"testing"

	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/testutil"
)

// serveImmediateSuccess starts a server that answers every command with success at once, and returns its address. Lags
// and latencies measured with it are those of the load tool itself.
func serveImmediateSuccess(tb testing.TB) string {
	tb.Helper()
	return testutil.ServeCommands(tb, func(conn net.Conn) {
		_, _ = conn.Write([]byte("$2\r\nok\r\n")) // the load tool may close its connections first
	}).String()
}

// runLoadTool sends a scenario's requests to one address and returns the results.
func runLoadTool(tb testing.TB, s *scenario.Scenario, address string) *results.Run {
	tb.Helper()
	settings, err := s.EngineSettings(0)
	if err != nil {
		tb.Fatal(err)
	}
	log := results.NewEventLog(results.New(s, settings, 0))
	log.Begin()
	tool := load.New(s, log, []string{address})
	tool.Run(tb.Context())
	run := log.Finish()
	run.LagP50, run.LagP99 = tool.Lag()
	return run
}

// The load tool sends every request to a server that answers at once, and all succeed. Requests to an address without
// a listener must not be recorded as successes or as rejections by a gateway.
func TestLoadTool_SendsEveryRequestAndReportsUnreachableAddress(t *testing.T) {
	s, err := scenario.Parse("small", []byte(smallScenario),
		"gateways.count=1", "load.entry_points=1", "load.rate=400", "duration=1s", "load.retries=0")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name      string
		address   string
		succeeded bool
	}{
		{"answers at once", serveImmediateSuccess(t), true},
		{"no listener", "127.0.0.1:1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := runLoadTool(t, s, test.address)
			if n := run.Total.Requests + run.Total.NotSent; n < 300 || n > 500 {
				t.Errorf("%d requests, want 300 to 500", n)
			}
			succeeded := run.Total.Succeeded == run.Total.Requests && run.Total.NotSent == 0
			if succeeded != test.succeeded || run.Violations() > 0 {
				t.Errorf("%s: %+v", test.address, run.Total)
			}
		})
	}
}

// BenchmarkLoadTool measures the overhead of the load tool: its send lag, and the latency that it reports for a server
// that answers at once.
func BenchmarkLoadTool(b *testing.B) {
	for _, rate := range []string{"500", "2000", "5000"} {
		b.Run(rate, func(b *testing.B) {
			s, err := scenario.Parse("small", []byte(smallScenario),
				"gateways.count=1", "load.entry_points=1", "duration=2s", "load.rate="+rate)
			if err != nil {
				b.Fatal(err)
			}
			address := serveImmediateSuccess(b)
			var lagP50, lagP99, shownP50, shownP99, runs float64
			for b.Loop() {
				run := runLoadTool(b, s, address)
				lagP50 += run.LagP50
				lagP99 += run.LagP99
				shownP50 += run.Total.P50
				shownP99 += run.Total.P99
				runs++
			}
			b.ReportMetric(lagP50/runs, "lag-p50-ms")
			b.ReportMetric(lagP99/runs, "lag-p99-ms")
			b.ReportMetric(shownP50/runs, "shown-p50-ms")
			b.ReportMetric(shownP99/runs, "shown-p99-ms")
		})
	}
}
