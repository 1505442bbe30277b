package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/testutil"
)

// soakEnvironment is the environment of the gateway in one run: a backend with faults, clients of several kinds, and a
// load balancer. It records violations of the rules that the soak test checks.
type soakEnvironment struct {
	t         *testing.T
	scenario  *soakScenario
	clock     *wallClock
	gateway   *drainGateway
	startedAt time.Time

	endStarted atomic.Bool  // a drain or shutdown has begun
	endOffset  atomic.Int64 // nanoseconds from startedAt to the drain or shutdown; 0 before it
	stopping   atomic.Bool
	answered   atomic.Int64
	nextID     atomic.Int64
	clients    sync.WaitGroup

	mu             sync.Mutex
	violationTexts []string
	connections    map[*soakConnection]struct{} // open ones
	forwarded      map[string]bool              // ids of the requests that a backend has received
	closedAt       map[string]time.Time         // when the client closed its connection, by request id
}

func newSoakEnvironment(t *testing.T, scenario *soakScenario, clock *wallClock) *soakEnvironment {
	t.Helper()
	env := &soakEnvironment{
		t: t, scenario: scenario, clock: clock, startedAt: time.Now(),
		connections: map[*soakConnection]struct{}{},
		forwarded:   map[string]bool{}, closedAt: map[string]time.Time{},
	}
	env.gateway = newDrainGateway(t, env.startBackend(t), int(soakDeadline.Milliseconds()))
	if scenario.countsQuotas {
		env.gateway.enableQuotas(t, startSoakCounter(t, scenario.random.Uint64()))
	}
	env.gateway.start(t, clock.environment()...)
	return env
}

// recordViolation records a violation of a rule, with the time since the start of the run.
func (env *soakEnvironment) recordViolation(format string, values ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	at := time.Since(env.startedAt).Round(time.Millisecond)
	env.violationTexts = append(env.violationTexts, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, values...))
}

func (env *soakEnvironment) violations() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.violationTexts
}

// startBackend starts a backend whose answers and faults are random.
func (env *soakEnvironment) startBackend(t *testing.T) net.Addr {
	t.Helper()
	listener := testutil.Listen(t)
	seed := env.scenario.random.Uint64()
	go func() {
		for n := uint64(0); ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			random := rand.New(rand.NewPCG(seed, n))
			go env.serveBackend(conn, random)
		}
	}()
	return listener.Addr()
}

func (env *soakEnvironment) serveBackend(conn net.Conn, random *rand.Rand) {
	defer closeIgnoringError(conn)
	for reader := redcon.NewReader(conn); ; {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		if len(command.Args) < 4 {
			send(conn, "+PONG\r\n")
			continue
		}
		env.recordAttempt(string(command.Args[2]))
		if !env.answer(conn, random) {
			return
		}
	}
}

// recordAttempt records that the backend has received a request, and a violation if its client disconnected too long
// before.
func (env *soakEnvironment) recordAttempt(id string) {
	env.mu.Lock()
	env.forwarded[id] = true
	closed, found := env.closedAt[id]
	env.mu.Unlock()
	if found && time.Since(closed) > 100*time.Millisecond+soakTimingTolerance {
		env.recordViolation("an attempt for request %s began %v after its client disconnected", id, time.Since(closed))
	}
}

// answer answers an attempt or simulates a fault. It returns false if the connection is to be closed.
func (env *soakEnvironment) answer(conn net.Conn, random *rand.Rand) bool {
	if env.endStarted.Load() && random.Float64() < env.scenario.hangProbability {
		time.Sleep(2 * soakKillDelay)
		return false
	}
	switch draw := random.IntN(20); {
	case draw == 0:
		return false // closes the connection during the request
	case draw == 1:
		send(conn, "-BUSY\r\n")
	case draw == 2:
		send(conn, "-ERR failed\r\n")
	case draw < 6:
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		send(conn, successResponse)
	case draw == 6: // in pieces
		for n := range len(successResponse) {
			send(conn, successResponse[n:n+1])
		}
	default:
		send(conn, successResponse)
	}
	return true
}

// balancerOpens reports whether the load balancer still opens connections.
func (env *soakEnvironment) balancerOpens() bool {
	if env.stopping.Load() {
		return false
	}
	offset := env.endOffset.Load()
	if offset == 0 || env.scenario.drains && env.scenario.balancerContinues {
		return true
	}
	return time.Since(env.startedAt)-time.Duration(offset) < 200*time.Millisecond
}

// startClient starts a client with its own random source.
func (env *soakEnvironment) startClient(run func(random *rand.Rand)) {
	random := rand.New(rand.NewPCG(env.scenario.random.Uint64(), 0))
	env.clients.Go(func() { run(random) })
}

// startClients starts clients of every kind.
func (env *soakEnvironment) startClients() {
	for range 6 {
		env.startClient(env.runSteadyClient)
		env.startClient(env.runShortClient)
	}
	for range 2 {
		env.startClient(env.runPipeliningClient)
		env.startClient(env.runDisconnectingClient)
		env.startClient(env.runInvalidClient)
		env.startClient(env.runBurstClient)
		env.startClient(env.runSlowClient)
	}
	env.clients.Go(env.runNonReadingClient)
	if env.scenario.fillsDescriptors {
		for range 60 {
			env.clients.Go(env.runIdleClient)
		}
	}
}

// stop kills the gateway, closes all connections, and waits for the clients.
func (env *soakEnvironment) stop() {
	env.stopping.Store(true)
	kill(env.gateway.Cmd)
	env.mu.Lock()
	open := make([]*soakConnection, 0, len(env.connections))
	for c := range env.connections {
		open = append(open, c)
	}
	env.mu.Unlock()
	for _, c := range open {
		c.close()
	}
	env.clients.Wait()
}

// checkHeldConnections checks, 4 s after a drain began, that no connection is idle or has a request that was sent in
// the last 2 s.
func (env *soakEnvironment) checkHeldConnections(began time.Time) {
	elapsed := time.Since(began)
	env.mu.Lock()
	open := make([]*soakConnection, 0, len(env.connections))
	for c := range env.connections {
		open = append(open, c)
	}
	env.mu.Unlock()
	time.Sleep(soakTimingTolerance) // a connection that is just ending is not a violation
	for _, c := range open {
		c.waitNewConnectionGrace()
		if description, held := c.heldAt(began.Add(elapsed)); held {
			env.recordViolation("%v after the drain began a connection is open: %s; from %v, %s",
				elapsed, description, c.conn.LocalAddr(), c.describeEnd())
		}
	}
}

// newRequest returns a request with a new id and a random deadline.
func (env *soakEnvironment) newRequest(random *rand.Rand) soakRequest {
	id := fmt.Sprintf("s%07d", env.nextID.Add(1))
	maxDeadline := int(soakDeadline.Milliseconds())
	deadline := min(300+random.IntN(2*maxDeadline), maxDeadline) // more than half of the requests have the maximum
	return soakRequest{
		id:       id,
		deadline: time.Duration(deadline) * time.Millisecond,
		text:     request(id, fmt.Sprintf("c=lookup,t=team,d=%d", deadline)),
	}
}

// soakRequest is a request of a client.
type soakRequest struct {
	id, text string
	deadline time.Duration
	sentAt   time.Time
}

// readSoakAnswer reads one answer: a line, or a line and a value.
func readSoakAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "$") {
		return line, err
	}
	value, err := reader.ReadString('\n')
	return line + value, err
}

// discardInput reads and drops all input up to the end of the connection.
func discardInput(conn net.Conn) error {
	_, err := io.Copy(io.Discard, conn)
	return err
}
