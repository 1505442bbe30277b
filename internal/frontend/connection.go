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
// Its life cycle consists of two state machines, input and peer, each with its own lock. mu protects peer and is held
// while a response is written, which can take as long as writeTimeout; a read must not wait for that. inputMu protects
// input and is held around each attempt to read, but never across a wait. For any byte, code that closes the input
// therefore either observes that the byte was read or prevents it from being read. All transitions:
//
//	machine  from        event                                           to                effect
//	input    idle        AfterRead: bytes were read                      unhandled         the reader handles the bytes
//	input    unhandled   inputHandled: all complete commands handled     idle              wakes a waiting accept
//	input    idle        closeInput, with no pending command             closed            the reader lingers and ends
//	input    unhandled   closeInput                                      unhandled         the bytes are still handled
//	peer     served      closeWithError: the error is written            error sent        first to be evicted
//	peer     gone        closeWithError                                  error sent, gone
//	peer     served      handleClientGone: hang-up or end of the reader  gone              open requests are canceled
//	peer     error sent  handleClientGone                                error sent, gone
//
// Closed input and a disconnected client are final states. A graceful close sets closing, which closes the connection
// once the responses that are due are written. closing is checked whenever no command is pending any more
// (shutDownIfClosing, complete), and cleared when a drain ends without a shutdown.
type connection struct {
	server     *Server
	conn       *sock.Conn
	acceptedAt time.Time

	mu           sync.Mutex
	peer         peerState
	pending      []*pendingCommand // not answered yet, in order of arrival
	pendingBytes int
	stateChanged *sync.Cond // signals a response, the end of a pause, a disconnect, or that closing is set
	idleSince    time.Time  // since when no command has been pending
	// writeDeadlineRenewedAt is when the write deadline was last set.
	writeDeadlineRenewedAt time.Time

	inputMu sync.Mutex
	input   inputState

	activity         activityTracker // of the reader
	receivedRequests atomic.Int64    // requests received so far, for the log
	// undrainedLogged is set once the connection has been logged as still open during a drain.
	undrainedLogged atomic.Bool

	validated atomic.Bool // the client has sent a valid command
	closing   atomic.Bool // the connection is closed once the responses that are due are written
	// closingStartAgeNanos is the age of the connection at which closing was set.
	closingStartAgeNanos atomic.Int64
	hasPartialCommand    atomic.Bool  // an incomplete command was read
	requestsInFlight     atomic.Int64 // requests without a completely written response
	// commandWaitStartAgeNanos is the age of the connection at which the wait for a valid command began; 0 if no command
	// is awaited.
	commandWaitStartAgeNanos atomic.Int64

	reader reader // used only by the goroutine of readLoop
}

// newConnection returns a connection that arrived at the given time or later and awaits its first command. It fails if
// the accepted connection is already closed.
func newConnection(s *Server, accepted *net.TCPConn, arrivedAfter time.Time) (*connection, error) {
	c := &connection{
		server: s,
		reader: reader{arrivals: newArrivalClock(arrivedAfter)},
	}
	conn, err := sock.New(accepted, sock.Options{ReadGuard: c})
	if err != nil {
		return nil, err
	}
	c.conn = conn
	c.commandWaitStartAgeNanos.Store(commandWaitStartAtAcceptNanos)
	c.stateChanged = sync.NewCond(&c.mu)
	return c, nil
}

// startServing sets the time from which the client has to send its first command. It is called before the reader
// starts, and after any wait for capacity: a client whose connection waited is not silent.
func (c *connection) startServing(now time.Time) {
	c.acceptedAt = now
	c.idleSince = now
}

// cleanUp closes the connection when its reader ends, and cancels its open requests.
func (c *connection) cleanUp() {
	c.close()
	c.releaseBudget()
	c.handleClientGone()
	c.server.removeConnection(c)
}

func (c *connection) close() {
	_ = c.conn.Close() // fails only if the connection was closed before
}

func (c *connection) closeWrite() {
	_ = c.conn.CloseWrite() // fails only if the connection has ended, which the reader detects
}

func (c *connection) setReadDeadline(at time.Time) {
	_ = c.conn.SetReadDeadline(at) // fails only on a closed connection, on which the next read fails too
}
