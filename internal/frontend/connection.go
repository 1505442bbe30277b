package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/sock"
)

// connection is a client's connection.
//
// Its life cycle is a state machine of two halves, each with its own lock. mu is held while a response is
// written, which can take as long as writeTimeout, and a read must not wait for that. inputMu is held around
// each attempt to read, and never while anything waits. So for any byte, code that closes the input either
// sees that the byte was read or prevents it from being read. All transitions:
//
//	half   from       event                                    to                what follows
//	input  idle       AfterRead: bytes were read               unhandled         the reader handles them
//	input  unhandled  inputHandled: all whole commands are     idle              a waiting accept looks again
//	input  idle       closeInput, with nothing pending         closed            the reader lingers and ends
//	input  unhandled  closeInput                               unhandled         what was read is handled
//	peer   served     endWithError: the error is written       error sent        evicted before all others
//	peer   gone       endWithError                             error sent, gone
//	peer   served     clientGone: hung up, or the reader ends  gone              open requests are canceled
//	peer   error sent clientGone                               error sent, gone
//
// Closed input and a client that has gone are final. Code that wants the connection to end after its
// responses sets ending. ending is checked whenever nothing is pending any more (shutDownIfEnding, complete),
// and cleared when a drain ends without a shutdown.
type connection struct {
	server     *Server
	conn       *sock.Conn
	acceptedAt time.Time

	mu           sync.Mutex
	peer         peerState
	pending      []*pendingCommand // not answered yet, in order of arrival
	pendingBytes int
	stateChanged *sync.Cond // signals an answer, the end of a pause, a client that has gone, or the start of ending
	idleSince    time.Time  // since when nothing has been pending
	// writeDeadlineRenewedAt is when the write deadline was last set.
	writeDeadlineRenewedAt time.Time

	inputMu sync.Mutex
	input   inputState

	activity activityTracker // of the reader
	received atomic.Int64    // requests received so far, for the log
	// outlastingLogged is whether the log says that the connection outlasts the drain.
	outlastingLogged atomic.Bool

	validated atomic.Bool // the client has sent a valid command
	ending    atomic.Bool // the connection ends after the responses that are due
	// endingSinceAgeNanos is the age of the connection at which ending was set.
	endingSinceAgeNanos atomic.Int64
	hasPartialCommand   atomic.Bool  // the first part of a command was read
	requestsOpen        atomic.Int64 // requests whose response is not completely written
	// awaitingFromAgeNanos is the age of the connection at which the wait for a valid command began; 0 if no command
	// is awaited.
	awaitingFromAgeNanos atomic.Int64

	reader reader // used only by the goroutine of readLoop
}

// newConnection returns a connection that awaits its first command. It fails if the accepted connection has
// ended already.
func newConnection(s *Server, accepted *net.TCPConn) (*connection, error) {
	now := time.Now()
	c := &connection{
		server:     s,
		acceptedAt: now,
		idleSince:  now,
	}
	conn, err := sock.New(accepted, sock.Options{ReadGuard: c})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	c.awaitingFromAgeNanos.Store(awaitingFromAcceptNanos)
	c.stateChanged = sync.NewCond(&c.mu)
	return c, nil
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
