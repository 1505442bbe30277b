package main

import (
	"bufio"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// resetTimeout is how long after the end of a connection its reset may follow. A reset shows that the gateway had not
// read everything that the client sent. It can be delayed by 200 ms, while the gateway writes its last answer.
const resetTimeout = 500 * time.Millisecond

// soakConnection is a client connection.
type soakConnection struct {
	environment *soakEnvironment
	conn        net.Conn
	reader      *bufio.Reader

	resetSeen  atomic.Bool // a write has reported a reset
	mu         sync.Mutex
	ended      bool
	openedAt   time.Time
	unanswered []soakRequest // requests without an answer, in the order sent
}

// dialSoak opens a connection. It returns nil if the gateway does not accept it.
func (env *soakEnvironment) dialSoak() *soakConnection {
	conn, err := net.DialTimeout("tcp", env.gateway.address, time.Second) //nolint:noctx // ends with its timeout
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(4 * drainLimit)) // ends a run whose gateway does not answer
	c := &soakConnection{environment: env, conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now()}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.connections[c] = struct{}{}
	return c
}

// close closes the connection from the client's side and abandons its open requests.
func (c *soakConnection) close() {
	c.mu.Lock()
	unanswered := c.unanswered
	c.unanswered = nil
	c.ended = true
	c.mu.Unlock()
	c.environment.mu.Lock()
	delete(c.environment.connections, c)
	for _, r := range unanswered {
		c.environment.closedAt[r.id] = time.Now()
	}
	c.environment.mu.Unlock()
	closeIgnoringError(c.conn)
}

// heldAt reports whether the connection is still open although it was idle at a time, or had sent its last open request
// less than 2 s before that time. The description states which of the two holds.
func (c *soakConnection) heldAt(at time.Time) (description string, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return "", false
	}
	if len(c.unanswered) == 0 {
		return "idle, opened " + at.Sub(c.openedAt).String() + " before", at.Sub(c.openedAt) > 0
	}
	age := at.Sub(c.unanswered[len(c.unanswered)-1].sentAt)
	return "with a request sent " + age.String() + " before", age > 0 && age < 2*time.Second
}

// waitNewConnectionGrace waits until the gateway must have ended the connection if it was opened just before: a new
// connection has soakNewConnectionGrace for its first command, and its end may be observed soakTimingTolerance later.
func (c *soakConnection) waitNewConnectionGrace() {
	time.Sleep(time.Until(c.openedAt.Add(soakNewConnectionGrace + soakTimingTolerance)))
}

// describeEnd waits up to a second for the end of the connection, and describes when it ended.
func (c *soakConnection) describeEnd() string {
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return "ended " + time.Since(began).String() + " later"
		}
	}
	return "still open a second later"
}

// send sends a request and reports whether the connection is still open. On a failure it checks the connection's end.
func (c *soakConnection) send(r soakRequest) bool {
	err := c.trySend(r)
	if err != nil {
		c.checkEnd(err)
	}
	return err == nil
}

// trySend sends a request on a connection whose answers are read by another goroutine. After a failed write, answers
// may still be unread, so that the reading goroutine has to check the connection's end.
func (c *soakConnection) trySend(r soakRequest) error {
	c.mu.Lock()
	r.sentAt = time.Now()
	c.unanswered = append(c.unanswered, r)
	c.mu.Unlock()
	_, err := c.conn.Write([]byte(r.text))
	if err != nil {
		c.resetSeen.Store(c.resetSeen.Load() || isReset(err)) // the kernel reports a reset once, to a read or a write
	}
	return err
}

// sendAll sends requests in one write. As with trySend, the reader of the answers checks the connection's end.
func (c *soakConnection) sendAll(requests []soakRequest, text string) {
	c.mu.Lock()
	for n := range requests {
		requests[n].sentAt = time.Now()
	}
	c.unanswered = append(c.unanswered, requests...)
	c.mu.Unlock()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.resetSeen.Store(c.resetSeen.Load() || isReset(err))
	}
}

// sendSlowly sends a request byte by byte and reports whether the connection is still open. The request counts as sent
// with its last byte.
func (c *soakConnection) sendSlowly(r soakRequest) bool {
	last := len(r.text) - 1
	for n := range last {
		if _, err := c.conn.Write([]byte(r.text[n : n+1])); err != nil {
			c.resetSeen.Store(c.resetSeen.Load() || isReset(err))
			c.checkEnd(err)
			return false
		}
	}
	r.text = r.text[last:]
	return c.send(r)
}

// receive reads the next answer, checks it, and reports whether the connection is still open.
func (c *soakConnection) receive(checkTime bool) bool {
	answer, err := readSoakAnswer(c.reader)
	for err == nil && strings.HasPrefix(answer, "-ERR unknown command") { // the answer to an invalid command
		answer, err = readSoakAnswer(c.reader)
	}
	if err != nil {
		c.checkEnd(err)
		return false
	}
	c.mu.Lock()
	if len(c.unanswered) == 0 {
		ended := c.ended
		c.mu.Unlock()
		if !ended && !c.environment.stopping.Load() { // checkEnd has removed the requests
			c.environment.recordViolation("received an answer without a request: %q", answer)
		}
		return false
	}
	request := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	c.mu.Unlock()
	c.environment.answered.Add(1)
	if elapsed := time.Since(request.sentAt); checkTime && elapsed > request.deadline+500*time.Millisecond {
		c.environment.recordViolation("request %s was answered after %v, with a deadline of %v",
			request.id, elapsed, request.deadline)
	}
	return true
}

// checkEnd checks, at the end of the connection, that the gateway has read none of the open requests. Unread requests
// cause a reset of the connection, and no backend has received them.
func (c *soakConnection) checkEnd(err error) {
	c.mu.Lock()
	unanswered := c.unanswered
	c.unanswered = nil
	alreadyEnded := c.ended
	c.ended = true
	c.mu.Unlock()
	if len(unanswered) > 0 && !alreadyEnded && !c.environment.stopping.Load() {
		c.checkUnread(unanswered, err)
	}
	c.environment.mu.Lock()
	delete(c.environment.connections, c)
	c.environment.mu.Unlock()
	closeIgnoringError(c.conn)
}

func (c *soakConnection) checkUnread(unanswered []soakRequest, err error) {
	reset := isReset(err) || c.waitReset()
	if c.environment.stopping.Load() {
		return // the connection was closed by the end of the run
	}
	for _, r := range unanswered {
		c.environment.mu.Lock()
		forwarded := c.environment.forwarded[r.id]
		c.environment.mu.Unlock()
		if forwarded {
			c.environment.recordViolation("request %s, sent %v ago, was forwarded and closed unanswered (%v)",
				r.id, time.Since(r.sentAt), err)
		} else if !reset {
			sent := time.Since(r.sentAt)
			resetLater := c.waitReset()
			c.environment.recordViolation("request %s, sent %v ago, was read and closed unanswered (%v); reset later: %t",
				r.id, sent, err, resetLater)
		}
	}
}

func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// waitReset waits for the reset that follows the end of a connection with unread input, and reports whether it came.
func (c *soakConnection) waitReset() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for until := time.Now().Add(resetTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if c.resetSeen.Load() {
			return true
		}
		code := 0
		if raw.Control(func(fd uintptr) {
			code, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) // code is 0 if the call fails
		}) != nil {
			return false
		}
		if code != 0 {
			return true
		}
	}
	return false
}

// forEachConnection opens connections one after another, as long as the load balancer opens any.
func (env *soakEnvironment) forEachConnection(use func(c *soakConnection)) {
	for env.balancerOpens() {
		c := env.dialSoak()
		if c == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		use(c)
	}
}

// runSteadyClient sends one request after another on the same connection while it is open, then opens another one.
func (env *soakEnvironment) runSteadyClient(random *rand.Rand) {
	for env.balancerOpens() {
		c := env.dialSoak()
		for c != nil && !env.stopping.Load() && c.send(env.newRequest(random)) && c.receive(true) {
			time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runShortClient opens a connection for each request. After the answer it closes the connection, or leaves it idle
// until the gateway ends it.
func (env *soakEnvironment) runShortClient(random *rand.Rand) {
	for env.balancerOpens() {
		if c := env.dialSoak(); c != nil && c.send(env.newRequest(random)) && c.receive(true) {
			if random.IntN(2) == 0 {
				c.close()
			} else {
				go c.receive(false) // returns at the end of the connection
			}
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// runPipeliningClient sends requests on its connection without waiting for the answers to earlier ones.
func (env *soakEnvironment) runPipeliningClient(random *rand.Rand) {
	env.forEachConnection(func(c *soakConnection) {
		env.clients.Go(func() {
			for c.receive(false) {
				continue
			}
		})
		for !env.stopping.Load() && c.trySend(env.newRequest(random)) == nil {
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		}
	})
}

// runBurstClient sends more requests in one write than may be pending on a connection.
func (env *soakEnvironment) runBurstClient(random *rand.Rand) {
	env.forEachConnection(func(c *soakConnection) {
		burst := make([]soakRequest, 30+random.IntN(40))
		text := ""
		for n := range burst {
			burst[n] = env.newRequest(random)
			text += burst[n].text
		}
		c.sendAll(burst, text)
		for range burst {
			if !c.receive(false) {
				break
			}
		}
		c.close()
	})
}

// runSlowClient sends its requests byte by byte.
func (env *soakEnvironment) runSlowClient(random *rand.Rand) {
	for env.balancerOpens() {
		c := env.dialSoak()
		for c != nil && !env.stopping.Load() && c.sendSlowly(env.newRequest(random)) && c.receive(true) {
			continue
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runDisconnectingClient closes its connection while a request is open.
func (env *soakEnvironment) runDisconnectingClient(random *rand.Rand) {
	for env.balancerOpens() {
		if c := env.dialSoak(); c != nil {
			c.send(env.newRequest(random))
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
			c.close()
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// runInvalidClient sends many invalid commands and a request in one write, sometimes followed by more invalid commands
// and an incomplete one.
func (env *soakEnvironment) runInvalidClient(random *rand.Rand) {
	env.forEachConnection(func(c *soakConnection) {
		r := env.newRequest(random)
		r.text = strings.Repeat(respWords("NONE"), random.IntN(200)) + r.text
		if random.IntN(2) == 0 {
			r.text += strings.Repeat(respWords("NONE"), random.IntN(200)) + "*2\r\n$4\r\nHA"
		}
		c.send(r)
		for c.receive(false) { // the gateway ends the connection during the drain or shutdown, if not before
			continue
		}
	})
}

// runNonReadingClient sends commands all the time and does not read the answers.
func (env *soakEnvironment) runNonReadingClient() {
	env.forEachConnection(func(c *soakConnection) {
		text := []byte(strings.Repeat(wirePing, 1000))
		for !env.stopping.Load() {
			if _, err := c.conn.Write(text); err != nil {
				break
			}
		}
		c.checkEnd(nil)
	})
}

// runIdleClient opens a connection, sends a PING, and stays idle until the gateway ends it.
func (env *soakEnvironment) runIdleClient() {
	for env.balancerOpens() {
		if c := env.dialSoak(); c != nil {
			_, _ = c.conn.Write([]byte(wirePing)) // a failure shows as the end of the connection below
			_ = discardInput(c.conn)
			c.checkEnd(nil)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
