package load

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/testutil"
)

const smallScenario = `name = "small"
[[class]]
name = "calc"
idempotency = "idempotent"
latency_objective = "750ms"
[[class]]
name = "submit"
idempotency = "non-idempotent"
latency_objective = "750ms"
[[plan]]
name = "despacho"
`

// newGenerator returns the clients of the small scenario for one instance, and the log of their run, which
// has begun.
func newGenerator(t *testing.T, address string, overrides ...string) (*Generator, *results.EventLog) {
	t.Helper()
	small := []string{"gateways.count=1", "load.entry_points=1", "load.rate=200", "duration=300ms"}
	s, err := scenario.Parse("small", []byte(smallScenario), append(small, overrides...)...)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := s.EngineSettings(0)
	if err != nil {
		t.Fatal(err)
	}
	log := results.NewEventLog(results.New(s, settings, 0))
	log.Begin()
	return New(s, log, []string{address}), log
}

// newTestSubmission returns a submission of an idempotent request that is due now.
func newTestSubmission(g *Generator) submission {
	s := g.newSubmission(workload.Request{Units: 1})
	s.due = time.Now()
	s.deadline = s.due.Add(time.Second)
	return s
}

// serveAnswers answers each command with a text.
func serveAnswers(t *testing.T, answer string) string {
	t.Helper()
	return testutil.ServeCommands(t, func(conn net.Conn) {
		_, _ = conn.Write([]byte(answer)) // a client that has left shows in what the test counts
	}).String()
}

func TestGenerator_RunSendsEveryRequest(t *testing.T) {
	g, log := newGenerator(t, serveAnswers(t, "$2\r\nok\r\n"))
	g.Run(t.Context())
	total := log.Finish().Total
	if total.Requests == 0 || total.Succeeded != total.Requests || total.NotSent > 0 {
		t.Errorf("%+v", total)
	}
	if p50, p99 := g.Lag(); p50 <= 0 || p99 < p50 {
		t.Errorf("lag of %v ms at the median, %v ms at the 99th percentile", p50, p99)
	}
}

func TestGenerator_RunEndsAtStop(t *testing.T) {
	g, log := newGenerator(t, serveAnswers(t, "$2\r\nok\r\n"), "load.rate=1")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	g.Run(ctx)
	if total := log.Finish().Total; total.Requests > 0 {
		t.Errorf("%d requests after the stop", total.Requests)
	}
}

func TestGenerator_CountsWhatNoInstanceAccepts(t *testing.T) {
	g, log := newGenerator(t, testutil.FreeAddress(t), "load.retries=0")
	g.Run(t.Context())
	if total := log.Finish().Total; total.Requests > 0 || total.NotSent == 0 {
		t.Errorf("%+v", total)
	}
}

// An instance may close an idle connection between requests: the request goes out on a new one, and counts
// once.
func TestGenerator_SubmitsAgainOnStaleConnection(t *testing.T) {
	var commands atomic.Int32
	address := testutil.ServeCommands(t, func(conn net.Conn) {
		if commands.Add(1) == 2 {
			_ = conn.Close() // as an instance does that closed it before it read the request
			return
		}
		_, _ = conn.Write([]byte("$2\r\nok\r\n")) // a client that has left shows in the outcome
	}).String()
	g, log := newGenerator(t, address)
	for n := range 2 {
		result := g.submit(newTestSubmission(g))
		if !result.sent || result.kind != invariants.Succeeded {
			t.Errorf("request %d: %+v", n, result)
		}
	}
	if got := commands.Load(); got != 3 {
		t.Errorf("%d commands were written, want 3", got)
	}
	if total := log.Finish().Total; total.Requests != 2 {
		t.Errorf("%d requests were recorded, want 2", total.Requests)
	}
}

func TestGenerator_DistinguishesDeathFromBrokenConnection(t *testing.T) {
	kill := func(log *results.EventLog) { log.Observe(invariants.Event{Kind: invariants.InstanceDied}) }
	exit := func(log *results.EventLog) { log.ObserveInstanceExit(0) }
	nothing := func(*results.EventLog) {}
	for name, test := range map[string]struct {
		before, meanwhile func(log *results.EventLog) // before the request is written, and while it is open
		want              invariants.Kind
	}{
		"instance dies":                    {before: nothing, meanwhile: kill, want: invariants.Abandoned},
		"instance was being killed":        {before: kill, meanwhile: nothing, want: invariants.Abandoned},
		"instance was killed and now ends": {before: kill, meanwhile: exit, want: invariants.Abandoned},
		"connection breaks":                {before: nothing, meanwhile: nothing, want: invariants.Aborted},
		"connection of the next process breaks": {
			before:    func(log *results.EventLog) { kill(log); exit(log) },
			meanwhile: nothing,
			want:      invariants.Aborted,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log *results.EventLog
			address := testutil.ServeCommands(t, func(conn net.Conn) {
				test.meanwhile(log)
				_ = conn.Close() // without an answer
			}).String()
			g, runLog := newGenerator(t, address)
			log = runLog
			test.before(log)
			if result := g.submit(newTestSubmission(g)); !result.sent || result.kind != test.want {
				t.Errorf("%+v, want kind %v", result, test.want)
			}
		})
	}
}

func TestGenerator_BoundsConnections(t *testing.T) {
	g, _ := newGenerator(t, serveAnswers(t, "$2\r\nok\r\n"), "load.connections=1")
	conn, err := g.acquire(0, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.acquire(0, false); err == nil {
		t.Error("a second connection came up beyond the bound")
	}
	g.release(0, conn)
	if again, err := g.acquire(0, false); err != nil || again != conn || !again.reused {
		t.Errorf("the idle connection was not reused: %v", err)
	}
	g.discard(conn)
	if _, err := g.acquire(0, true); err != nil {
		t.Errorf("a closed connection still counts: %v", err)
	}
}
