package frontend

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/sock"
)

// newConnectionGrace is how long a new connection's first command may be under way before the connection
// counts as silent; many times what the way takes. It is also how long a client has to take its last response
// before a connection that is shut down is closed.
const newConnectionGrace = 200 * time.Millisecond

// inputState tells what the reader has done with the bytes of a connection.
type inputState uint8

const (
	inputIdle      inputState = iota // all whole commands that were read have been handled
	inputUnhandled                   // bytes were read that have not been handled yet
	inputClosed                      // closed by the server between requests: nothing is read any more
)

func (i inputState) String() string {
	names := [...]string{inputIdle: "idle", inputUnhandled: "unhandled", inputClosed: "closed"}
	if int(i) < len(names) {
		return names[i]
	}
	return fmt.Sprintf("inputState(%d)", uint8(i))
}

// peerState tells how the client at the other end is dealt with.
type peerState uint8

const (
	peerServed       peerState = iota // commands are handled, responses written
	peerRejected                      // an error that ends the connection was written
	peerGone                          // the client has gone: nothing is handled or written any more
	peerRejectedGone                  // rejected, and gone
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
// Its life is a state machine of two halves, each with a lock of its own: mu is held while a response is
// written, which can take as long as writeTimeout, and a read must not wait for that. inputMu is held round
// each try to read, and never while anything waits; so what closes the input has either seen a byte that was
// read, or lets none be read any more. Every transition:
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
// Closed input and a client that has gone are final. What wants the connection to end, but not before its
// responses, sets draining; it is looked at each time when nothing is pending any more (inputHandled,
// complete), and cleared when a drain is called off.
type connection struct {
	server     *Server
	conn       *sock.Conn
	acceptedAt time.Time

	mu           sync.Mutex
	peer         peerState
	pending      []*pendingCommand // not answered yet, in their order
	pendingBytes int
	pendingFewer *sync.Cond // a pending command was answered, or the client has gone
	idleSince    time.Time  // nothing has been pending since
	// writeDeadlineRenewedAt is when the deadline for writing was set last.
	writeDeadlineRenewedAt time.Time

	inputMu sync.Mutex
	input   inputState

	validated atomic.Bool // has sent a valid command
	draining  atomic.Bool // ends after the responses that are due
	// awaitingSinceNanos is the age of the connection at which the wait for a whole command began; 0: none is
	// awaited.
	awaitingSinceNanos atomic.Int64

	reader reader // of the goroutine of readLoop alone
}

// newConnection returns a connection that awaits its first command. It fails where the accepted one has ended
// already.
func newConnection(s *Server, accepted *net.TCPConn) (*connection, error) {
	now := time.Now()
	c := &connection{server: s, acceptedAt: now, idleSince: now}
	conn, err := sock.New(accepted, sock.Options{ReadGuard: c})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	c.awaitingSinceNanos.Store(1)
	c.pendingFewer = sync.NewCond(&c.mu)
	return c, nil
}

// Before implements the hook of sock.Conn round each try to read. False ends the read.
func (c *connection) Before() bool {
	c.inputMu.Lock()
	if c.input == inputClosed {
		c.inputMu.Unlock()
		return false
	}
	return true
}

// After implements the hook of sock.Conn behind each try to read that Before has let through.
func (c *connection) After(bytesRead int) {
	if bytesRead > 0 {
		c.input = inputUnhandled
	}
	c.inputMu.Unlock()
}

// inputHandled notes that all whole commands that were read have been handled.
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

// closeInput lets nothing be read any more, unless a command is pending or read; it reports whether the input
// is closed. The caller holds mu.
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

// closeIfIdle closes the connection at once if nothing is open on it, and reports whether it did: its
// descriptor is wanted.
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

// shutDownIfIdle ends the connection if nothing is open on it: sending ends, and the reader closes it.
func (c *connection) shutDownIfIdle() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	c.shutDown()
}

// shutDown is shutDownIfIdle with mu held. Guards against a close over unread bytes, which resets the
// connection, and takes with it a response that is still on its way: after one, the client has
// newConnectionGrace to take it.
func (c *connection) shutDown() {
	if !c.closeInput() {
		return
	}
	c.closeWrite()
	c.setReadDeadline(time.Now()) // wakes the reader
}

// linger waits until the client has closed the connection that shutDown has ended, at most newConnectionGrace
// after its last response.
func (c *connection) linger() {
	c.mu.Lock()
	until := c.idleSince.Add(newConnectionGrace)
	c.mu.Unlock()
	if !c.validated.Load() {
		return // nothing was answered
	}
	for time.Now().Before(until) {
		c.setReadDeadline(until)
		if c.conn.AwaitHangUp() {
			return
		}
	}
}

// isNew reports whether the connection's first command is likely on its way.
func (c *connection) isNew(now time.Time) bool {
	return !c.validated.Load() && now.Sub(c.acceptedAt) < newConnectionGrace
}

// commandOverdue reports whether a command has been awaited for longer than commandTimeout.
func (c *connection) commandOverdue(now time.Time) bool {
	since := c.awaitingSinceNanos.Load()
	return since != 0 && now.Sub(c.acceptedAt) > time.Duration(since)+commandTimeout
}

// isClientGone reports whether the client is known to have gone.
func (c *connection) isClientGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer.gone()
}

// clientGone cancels all requests that are open on the connection: nobody waits for their responses.
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

// end closes the connection when its reader ends: what is open on it is canceled.
func (c *connection) end() {
	c.close()
	c.releaseReservation()
	c.clientGone()
	c.server.removeConnection(c)
}

func (c *connection) close() {
	_ = c.conn.Close() // fails only where it was closed before
}

func (c *connection) closeWrite() {
	_ = c.conn.CloseWrite() // fails only where the connection has ended, which the reader sees
}

func (c *connection) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // fails only on a closed connection, on which the next read fails too
}
