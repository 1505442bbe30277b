package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// restartDownTime is how long a gateway is away in these tests. The leader fails to reach its replica meanwhile, and
// then waits for about as long before it sends the log again.
const restartDownTime = 1500 * time.Millisecond

// restartedGateway is a gateway with a replica of the store, whose two other replicas run without a gateway. Its two
// backends run every request and answer that it failed, so that every allowed retry is made.
type restartedGateway struct {
	*replicaProcess
	others   []*replicaProcess
	address  string
	file     string
	attempts atomic.Int64 // received by the backends
	requests int          // sent by attemptsOfOneRequest
}

// newRestartedGateway starts the two other replicas. The gateway, whose only class has the effect in its file, is not
// started yet.
func newRestartedGateway(t *testing.T, effect string) *restartedGateway {
	t.Helper()
	replicas := newReplicas(t, "a", "b", "c")
	g := &restartedGateway{
		replicaProcess: replicas[1],
		others:         []*replicaProcess{replicas[0], replicas[2]},
		address:        freeAddress(t),
	}
	backend := func() string {
		return testutil.ServeCommands(t, func(conn net.Conn) {
			g.attempts.Add(1)
			send(conn, "-ERR failed\r\n")
		}).String()
	}
	text := fmt.Sprintf(configuration, g.address, "127.0.0.1:2", backend())
	second := fmt.Sprintf(`"since_ms":0},{"name":"s-2","address":%q,"zone":"a","type":"m2","group":1,
		"status":"up","weight":1.0,"since_ms":0}]`, backend())
	text = strings.Replace(text, `"since_ms":0}]`, second, 1)
	text = strings.Replace(text, `"effect":"read_like"`, fmt.Sprintf(`"effect":%q`, effect), 1)
	g.file = filepath.Join(t.TempDir(), "config.json")
	writeFile(t, g.file, text)
	g.args = []string{"serve", "-c", g.file}
	for _, other := range g.others {
		other.start(t, replicas)
	}
	return g
}

func (g *restartedGateway) replicas() []*replicaProcess {
	return []*replicaProcess{g.others[0], g.replicaProcess, g.others[1]}
}

// startUntilServing starts the gateway, waits until it answers PING, and returns how long that took.
func (g *restartedGateway) startUntilServing(t *testing.T) time.Duration {
	t.Helper()
	begin := time.Now()
	g.start(t, g.replicas())
	testutil.Eventually(t, "PONG", func() bool {
		conn, err := tryDial(t, g.address)
		if err != nil {
			return false
		}
		defer closeIgnoringError(conn)
		setDeadline(conn, connectionTimeout)
		send(conn, "*1\r\n$4\r\nPING\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		return err == nil && line == "+PONG\r\n"
	})
	return time.Since(begin)
}

// attemptsOfOneRequest sends a request and returns at how many backends it ran.
func (g *restartedGateway) attemptsOfOneRequest(t *testing.T) int64 {
	t.Helper()
	before := g.attempts.Load()
	conn, err := tryDial(t, g.address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeIgnoringError(conn)
	setDeadline(conn, connectionTimeout)
	g.requests++
	send(conn, request(fmt.Sprint(g.requests), requestFields))
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line == "" {
		t.Fatalf("answer %q, %v", line, err)
	}
	return g.attempts.Load() - before
}

// editClass writes the gateway's class with an effect to the store, or deletes it if the effect is empty.
func (g *restartedGateway) editClass(t *testing.T, effect string) {
	t.Helper()
	testutil.Eventually(t, "an edit of the class", func() bool {
		if effect == "" {
			_, err := g.others[0].call(t, http.MethodDelete, "/v1/kv/classes/lookup", "")
			return err == nil
		}
		return g.others[0].put(t, "classes/lookup", fmt.Sprintf(
			`{"name":"lookup","goal-time-ms":750,"deadline-ms":1500,"effect":%q}`, effect)) == nil
	})
}

func (g *restartedGateway) waitUntilLogged(t *testing.T, text string) {
	t.Helper()
	testutil.Eventually(t, "the log entry "+text, func() bool {
		log, err := os.ReadFile(g.logFile)
		return err == nil && strings.Contains(string(log), text)
	})
}

// TestRestart_StoreClassesHoldForFirstRequest guards against requests that run twice. A restarted gateway served by
// the classes of its file until the store's leader had sent it the log again, and retried requests of classes that the
// store had made non-idempotent.
func TestRestart_StoreClassesHoldForFirstRequest(t *testing.T) {
	const idempotent, nonIdempotent = "read_like", "non_idempotent"
	for _, test := range []struct {
		name        string
		inFile      string
		inService   string                                        // effect that is written while the gateway serves
		whileDown   func(t *testing.T, gateway *restartedGateway) // may be nil
		mayRunTwice bool
	}{
		{name: "changed in service", inFile: idempotent, inService: nonIdempotent},
		{name: "changed while down", inFile: idempotent, inService: idempotent,
			whileDown: func(t *testing.T, g *restartedGateway) { t.Helper(); g.editClass(t, nonIdempotent) }},
		{name: "deleted while down", inFile: nonIdempotent, inService: idempotent,
			whileDown: func(t *testing.T, g *restartedGateway) { t.Helper(); g.editClass(t, "") }},
		{name: "folder emptied", inFile: idempotent, inService: nonIdempotent,
			whileDown: func(t *testing.T, g *restartedGateway) {
				t.Helper()
				if err := os.RemoveAll(g.folder); err != nil {
					t.Fatal(err)
				}
			}},
		{name: "made idempotent in service", inFile: nonIdempotent, inService: idempotent, mayRunTwice: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newRestartedGateway(t, test.inFile)
			g.startUntilServing(t)
			g.editClass(t, test.inService)
			g.waitUntilLogged(t, "plans or classes changed")
			g.kill()
			if test.whileDown != nil {
				test.whileDown(t, g)
			}
			time.Sleep(restartDownTime)
			g.startUntilServing(t)
			if attempts := g.attemptsOfOneRequest(t); attempts > 1 != test.mayRunTwice {
				t.Errorf("the first request ran at %d backends", attempts)
			}
		})
	}
}

// TestRestart_FirstStartHasStoreClasses guards against requests that run twice at a gateway that is started for the
// first time in a cluster whose store has made their class non-idempotent.
func TestRestart_FirstStartHasStoreClasses(t *testing.T) {
	t.Parallel()
	g := newRestartedGateway(t, "read_like")
	g.editClass(t, "non_idempotent")
	time.Sleep(restartDownTime)
	g.startUntilServing(t)
	if attempts := g.attemptsOfOneRequest(t); attempts != 1 {
		t.Errorf("the first request ran at %d backends", attempts)
	}
}

// readyTimeout is the time within which a restarted gateway serves.
const readyTimeout = 10 * time.Second

// TestRestart_WithoutMajorityServesAndRepeatsNothing guards against requests that run twice while a gateway cannot know
// the classes of the store, and against a gateway that does not serve then.
func TestRestart_WithoutMajorityServesAndRepeatsNothing(t *testing.T) {
	t.Parallel()
	g := newRestartedGateway(t, "read_like")
	for _, other := range g.others {
		other.kill()
	}
	if duration := g.startUntilServing(t); duration > readyTimeout {
		t.Errorf("the gateway served after %v", duration)
	}
	if attempts := g.attemptsOfOneRequest(t); attempts != 1 {
		t.Errorf("without a majority a request ran at %d backends", attempts)
	}
	for _, other := range g.others {
		other.start(t, g.replicas())
	}
	g.waitUntilLogged(t, "configuration reloaded")
	if attempts := g.attemptsOfOneRequest(t); attempts < 2 {
		t.Errorf("once the state is confirmed, a request of an idempotent class ran at %d backends", attempts)
	}
}

// TestRestart_InvalidStoreRowsRepeatNothing guards against requests that run twice because a gateway starts by its file
// alone: one row of the store that does not fit its file keeps all of them from being applied.
func TestRestart_InvalidStoreRowsRepeatNothing(t *testing.T) {
	t.Parallel()
	g := newRestartedGateway(t, "read_like")
	g.editClass(t, "non_idempotent")
	if err := g.others[0].put(t, "plans/gold", `{"name":"gold"}`); err != nil {
		t.Fatal(err) // replicas without a gateway check nothing
	}
	g.startUntilServing(t)
	if attempts := g.attemptsOfOneRequest(t); attempts != 1 {
		t.Errorf("a request ran at %d backends", attempts)
	}
	g.waitUntilLogged(t, "plans and classes of the store not applied")
	g.editClass(t, "read_like")
	if err := g.others[0].put(t, "plans/gold", `{"name":"gold","quota-rate":5,"peak-units":10}`); err != nil {
		t.Fatal(err)
	}
	g.waitUntilLogged(t, "configuration reloaded")
	if attempts := g.attemptsOfOneRequest(t); attempts < 2 {
		t.Errorf("once the rows are applied, a request of an idempotent class ran at %d backends", attempts)
	}
}

// TestRestart_TerminationEndsWaitForStore guards against a gateway that does not act on SIGTERM while its start waits
// for the store.
func TestRestart_TerminationEndsWaitForStore(t *testing.T) {
	t.Parallel()
	g := newRestartedGateway(t, "read_like")
	for _, other := range g.others {
		other.kill()
	}
	g.start(t, g.replicas())
	testutil.Eventually(t, "the replica to answer", func() bool {
		_, err := g.status(t)
		return err == nil
	})
	begin := time.Now()
	sendSignal(t, g.command, syscall.SIGTERM)
	if err := g.command.Wait(); err != nil {
		t.Error(err)
	}
	g.command = nil
	if duration := time.Since(begin); duration > time.Second {
		t.Errorf("the gateway ended after %v", duration)
	}
}
