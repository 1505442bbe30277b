package frontend

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/sock"
)

const (
	// newConnectionGrace is how long a new connection's first command may be in transit before the connection
	// counts as silent; it is many times the transit time.
	newConnectionGrace = 200 * time.Millisecond
	// lastResponseGrace is how long a client has to take its last response before a connection that is shut down
	// is closed; it, too, is many times the transit time.
	lastResponseGrace = 200 * time.Millisecond
	// awaitingFromAccept is the awaitingFromAgeNanos of a connection that has just been accepted: the smallest
	// age, since 0 means that no command is awaited.
	awaitingFromAccept = 1
)

// inputState is how far the reader has handled the bytes of a connection.
type inputState uint8

const (
	inputIdle      inputState = iota // all complete commands read so far have been handled
	inputUnhandled                   // bytes were read that have not been handled yet
	inputClosed                      // closed by the server between requests: nothing more is read
)

func (i inputState) String() string {
	names := [...]string{inputIdle: "idle", inputUnhandled: "unhandled", inputClosed: "closed"}
	if int(i) < len(names) {
		return names[i]
	}
	return fmt.Sprintf("inputState(%d)", uint8(i))
}

// peerState is how the server treats the client at the other end.
type peerState uint8

const (
	peerServed       peerState = iota // commands are handled and responses are written
	peerRejected                      // an error that ends the connection was written
	peerGone                          // the client has gone: nothing more is handled or written
	peerRejectedGone                  // rejected, and the client has gone
)

func (p peerState) String() string {
	names := [...]string{
		peerServed: "served", peerRejected: "rejected", peerGone: "gone", peerRejectedGone: "rejected, gone",
	}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("peerState(%d)", uint8(p))
}

func (p peerState) rejected() bool { return p == peerRejected || p == peerRejectedGone }

func (p peerState) gone() bool { return p == peerGone || p == peerRejectedGone }

// reject returns the state after an error that ends the connection.
func (p peerState) reject() peerState {
	if p.gone() {
		return peerRejectedGone
	}
	return peerRejected
}

// leave returns the state after the client has gone.
func (p peerState) leave() peerState {
	if p.rejected() {
		return peerRejectedGone
	}
	return peerGone
}

// connection is a client's connection.
//
// Its life cycle is a state machine of two halves, each with its own lock. mu is held while a response is
// written, which can take as long as writeTimeout, and a read must not wait for that. inputMu is held around
// each attempt to read, and never while anything waits. So for any byte, code that closes the input either
// sees that the byte was read or prevents it from being read. All transitions:
//
//	half   from       event                                    to              what follows
//	input  idle       After: bytes were read                   unhandled       the reader handles them
//	input  unhandled  inputHandled: all whole commands are     idle            a waiting accept looks again
//	input  idle       closeInput, with nothing pending         closed          the reader lingers and ends
//	input  unhandled  closeInput                               unhandled       what was read is handled
//	peer   served     rejectClient: the error is written       rejected        evicted before all others
//	peer   gone       rejectClient                             rejected, gone
//	peer   served     clientGone: hung up, or the reader ends  gone            open requests are canceled
//	peer   rejected   clientGone                               rejected, gone
//
// Closed input and a client that has gone are final. Code that wants the connection to end after its
// responses sets draining. draining is checked whenever nothing is pending any more (inputHandled, complete),
// and cleared when a drain is called off.
type connection struct {
	server     *Server
	conn       *sock.Conn
	acceptedAt time.Time

	mu           sync.Mutex
	peer         peerState
	pending      []*pendingCommand // not answered yet, in order of arrival
	pendingBytes int
	pendingFewer *sync.Cond // signals that a pending command was answered or the client has gone
	idleSince    time.Time  // since when nothing has been pending
	// writeDeadlineRenewedAt is when the write deadline was last set.
	writeDeadlineRenewedAt time.Time

	inputMu sync.Mutex
	input   inputState

	activity   activityTracker // of the reader
	received   atomic.Int64    // requests received so far, for the log
	heldLogged atomic.Bool     // the log says that the connection outlasts a drain

	validated atomic.Bool // the client has sent a valid command
	draining  atomic.Bool // the connection ends after the responses that are due
	// endingSinceAgeNanos is the age of the connection at which draining was set.
	endingSinceAgeNanos atomic.Int64
	// partialCommand is whether the first part of a command was read.
	partialCommand atomic.Bool
	requestsOpen   atomic.Int64 // requests whose response is not completely written
	// awaitingFromAgeNanos is the age of the connection at which the wait for a complete command began; 0 if no
	// command is awaited.
	awaitingFromAgeNanos atomic.Int64

	reader reader // used only by the goroutine of readLoop
}

// newConnection returns a connection that awaits its first command. It fails if the accepted connection has
// ended already.
func newConnection(s *Server, accepted *net.TCPConn) (*connection, error) {
	now := time.Now()
	c := &connection{server: s, acceptedAt: now, idleSince: now}
	conn, err := sock.New(accepted, sock.Options{ReadGuard: c})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	c.awaitingFromAgeNanos.Store(awaitingFromAccept)
	c.pendingFewer = sync.NewCond(&c.mu)
	return c, nil
}

// Before implements sock.ReadGuard: sock.Conn calls it before each attempt to read. Returning false ends the
// read.
func (c *connection) Before() bool {
	c.inputMu.Lock()
	if c.input == inputClosed {
		c.inputMu.Unlock()
		return false
	}
	return true
}

// After implements sock.ReadGuard: sock.Conn calls it after each attempt to read that Before allowed.
func (c *connection) After(bytesRead int) {
	if bytesRead > 0 {
		c.input = inputUnhandled
	}
	c.inputMu.Unlock()
}

// inputHandled records that all complete commands read so far have been handled.
func (c *connection) inputHandled() {
	c.inputMu.Lock()
	if c.input == inputUnhandled {
		c.input = inputIdle
	}
	c.inputMu.Unlock()
	c.server.signalCapacity()
}

func (c *connection) isInputClosed() bool {
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	return c.input == inputClosed
}

// closeInput closes the input, so that nothing more is read, unless a command is pending or bytes were read
// that are not handled yet. It reports whether the input is closed. The caller holds mu.
func (c *connection) closeInput() bool {
	if len(c.pending) > 0 {
		return false
	}
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	if c.input == inputIdle {
		c.input = inputClosed
	}
	return c.input == inputClosed
}

// closeIfIdle closes the connection at once if nothing is open on it, because its descriptor is needed. It
// reports whether it closed the connection.
func (c *connection) closeIfIdle() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if !c.closeInput() {
		return false
	}
	c.close()
	return true
}

// shutDownIfIdle ends the connection if nothing is open on it: it closes the sending side, and the reader
// closes the connection.
func (c *connection) shutDownIfIdle() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	c.shutDown()
}

// shutDown is shutDownIfIdle for a caller that holds mu. It does not close the connection at once, because a
// close with unread bytes resets the connection and discards a response still in transit: after a response,
// the client has lastResponseGrace to take it.
func (c *connection) shutDown() {
	if c.awaitsRestOfCommand() || !c.closeInput() {
		return
	}
	c.closeWrite()
	c.setReadDeadline(time.Now()) // wakes the reader
}

// linger waits until the client closes a connection that shutDown has ended, but no longer than
// lastResponseGrace after its last response.
func (c *connection) linger() {
	c.mu.Lock()
	until := c.idleSince.Add(lastResponseGrace)
	c.mu.Unlock()
	if !c.validated.Load() {
		return // nothing was answered
	}
	defer c.activity.enter(readerLingers)()
	for time.Now().Before(until) {
		c.setReadDeadline(until)
		if c.conn.AwaitHangUp() {
			return
		}
	}
}

// isNew reports whether the connection's first command is probably still in transit.
func (c *connection) isNew(now time.Time) bool {
	return !c.validated.Load() && now.Sub(c.acceptedAt) < newConnectionGrace
}

// commandOverdue reports whether the wait for a command has lasted longer than commandTimeout.
func (c *connection) commandOverdue(now time.Time) bool {
	fromAge := c.awaitingFromAgeNanos.Load()
	return fromAge != 0 && now.Sub(c.acceptedAt) > time.Duration(fromAge)+commandTimeout
}

// isClientGone reports whether the client is known to have gone.
func (c *connection) isClientGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer.gone()
}

// clientGone records that the client has gone and cancels all requests open on the connection, since nobody
// waits for their responses.
func (c *connection) clientGone() {
	c.mu.Lock()
	c.peer = c.peer.leave()
	open := append([]*pendingCommand(nil), c.pending...)
	c.pendingFewer.Broadcast()
	c.mu.Unlock()
	for _, p := range open {
		if p.request != nil {
			p.request.HandleClientGone()
		}
	}
}

// end closes the connection when its reader ends, and cancels the requests open on it.
func (c *connection) end() {
	c.close()
	c.releaseBudget()
	c.clientGone()
	c.server.removeConnection(c)
}

func (c *connection) close() {
	_ = c.conn.Close() // fails only if it was closed before
}

func (c *connection) closeWrite() {
	_ = c.conn.CloseWrite() // fails only if the connection has ended, which the reader sees
}

func (c *connection) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // fails only on a closed connection, on which the next read fails too
}
