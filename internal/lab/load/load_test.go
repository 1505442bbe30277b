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

// newGenerator returns a generator of the small scenario for one instance, and the log of its run, which has begun.
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

// serveAnswers starts a server that answers each command with the given text, and returns its address.
func serveAnswers(t *testing.T, answer string) string {
	t.Helper()
	return testutil.ServeCommands(t, func(conn net.Conn) {
		_, _ = conn.Write([]byte(answer)) // if the client has closed the connection, the test counts fewer answers
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

func TestGenerator_RunStopsWhenContextEnds(t *testing.T) {
	g, log := newGenerator(t, serveAnswers(t, "$2\r\nok\r\n"), "load.rate=1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Run(ctx)
	if total := log.Finish().Total; total.Requests > 0 {
		t.Errorf("%d requests were sent after the context ended", total.Requests)
	}
}

func TestGenerator_CountsRequestsThatNoInstanceAccepts(t *testing.T) {
	g, log := newGenerator(t, testutil.FreeAddress(t), "load.retries=0")
	g.Run(t.Context())
	if total := log.Finish().Total; total.Requests > 0 || total.NotSent == 0 {
		t.Errorf("%+v", total)
	}
}

// An instance may close an idle connection between two requests. The second request must then be written again on a
// new connection, and be recorded once.
func TestGenerator_SubmitsAgainOnStaleConnection(t *testing.T) {
	var commands atomic.Int32
	address := testutil.ServeCommands(t, func(conn net.Conn) {
		if commands.Add(1) == 2 {
			_ = conn.Close() // like an instance that closes the connection before it reads the request
			return
		}
		_, _ = conn.Write([]byte("$2\r\nok\r\n")) // if the client has closed the connection, the outcome shows it
	}).String()
	g, log := newGenerator(t, address)
	for n := range 2 {
		result := g.submit(newTestSubmission(g))
		if !result.sent || result.kind != invariants.Succeeded {
			t.Errorf("request %d: outcome %+v, want one that succeeded", n, result)
		}
	}
	if got := commands.Load(); got != 3 {
		t.Errorf("%d commands were written, want 3", got)
	}
	if total := log.Finish().Total; total.Requests != 2 {
		t.Errorf("%d requests were recorded, want 2", total.Requests)
	}
}

func TestGenerator_DistinguishesKilledInstanceFromBrokenConnection(t *testing.T) {
	kill := func(log *results.EventLog) { log.Observe(invariants.Event{Kind: invariants.InstanceDied}) }
	exit := func(log *results.EventLog) { log.ObserveInstanceExit(0) }
	noEvent := func(*results.EventLog) {}
	for name, test := range map[string]struct {
		beforeWrite, afterWrite func(log *results.EventLog) // called before and after the request is written
		want                    invariants.Kind
	}{
		"instance is killed during the request":    {beforeWrite: noEvent, afterWrite: kill, want: invariants.Abandoned},
		"instance was killed and has not exited":   {beforeWrite: kill, afterWrite: noEvent, want: invariants.Abandoned},
		"killed instance exits during the request": {beforeWrite: kill, afterWrite: exit, want: invariants.Abandoned},
		"running instance closes the connection":   {beforeWrite: noEvent, afterWrite: noEvent, want: invariants.Aborted},
		"restarted instance closes the connection": {
			beforeWrite: func(log *results.EventLog) { kill(log); exit(log) },
			afterWrite:  noEvent,
			want:        invariants.Aborted,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var log *results.EventLog
			address := testutil.ServeCommands(t, func(conn net.Conn) {
				test.afterWrite(log)
				_ = conn.Close() // without an answer
			}).String()
			g, runLog := newGenerator(t, address)
			log = runLog
			test.beforeWrite(log)
			if result := g.submit(newTestSubmission(g)); !result.sent || result.kind != test.want {
				t.Errorf("outcome %+v, want kind %v", result, test.want)
			}
		})
	}
}

func TestGenerator_LimitsConnections(t *testing.T) {
	g, _ := newGenerator(t, serveAnswers(t, "$2\r\nok\r\n"), "load.connections=1")
	conn, err := g.acquire(0, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.acquire(0, false); err == nil {
		t.Error("a second connection was opened although the scenario allows one")
	}
	g.release(0, conn)
	if reacquired, err := g.acquire(0, false); err != nil || reacquired != conn || !reacquired.reused {
		t.Errorf("the idle connection was not reused: %v", err)
	}
	g.discard(conn)
	if _, err := g.acquire(0, true); err != nil {
		t.Errorf("a discarded connection still counts as open: %v", err)
	}
}
