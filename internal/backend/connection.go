package backend

import (
	"slices"
	"sync/atomic"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/sock"
)

// noIdleDuration is the idleDuration of a connection that was not idle before its attempt, or whose idle outcome has
// already been counted.
const noIdleDuration = -1

// conn is a connection to a backend. It carries one attempt at a time. Its reader runs all the time, so that
// an idle connection that the backend closes leaves the idle pool before an attempt is written to it.
//
// A conn is a state machine. Besides the transitions in the table, close moves any state that is not final to a
// closed state, when the connection or its reader ends.
//
//	from               event                                                          to
//	reserved           startWrite: the attempt starts                                 writing
//	reserved           startWrite: the attempt was canceled                           idle
//	writing            finishWrite: the attempt is completely written                 awaiting response
//	writing            takeAnsweredAttempt: a response, the connection is reusable    responded early
//	writing            takeAnsweredAttempt: a response, the connection ends           reserved
//	writing            Abandon, a failed write, the connection's end                  closed while writing
//	responded early    finishWrite: the attempt is completely written                 idle
//	awaiting response  takeAnsweredAttempt: a response, the connection is reusable    idle
//	awaiting response  takeAnsweredAttempt: a response, the connection ends           reserved
//	awaiting response  Abandon                                                        abandoned
//	abandoned          the reader: a response, the connection's end, a timeout        closed
//	idle               Pool.takeIdle                                                  reserved
//	idle               too long idle, bytes without an attempt, endpoint removed      closed
//
// The result of an attempt that the connection carries is reported once: by its writer while the connection is
// writing or closed while writing, otherwise by the reader.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	socket   *sock.Conn
	// readerDone is closed when the reader goroutine has ended.
	readerDone chan struct{}

	// The Pool's lock guards these fields.
	state        connState
	attempt      *dispatch.Attempt // carried by the connection, and not reported yet
	lastUsed     time.Time         // when it last became idle, even if its attempt was canceled and not sent
	idleDuration time.Duration     // how long the connection was idle before its attempt, or noIdleDuration

	// abandoned is set together with stateAbandoned. The reader checks it without the lock after each read.
	abandoned atomic.Bool
	// discardDeadline is when the whole response to an abandoned attempt must have arrived. It is set before
	// abandoned.
	discardDeadline time.Time

	// value is the value that receiveValue has received of a response whose other parts are still missing. Only the
	// reader uses it.
	value *valueReader
}

var _ dispatch.AttemptConn = (*conn)(nil)

// recordIdleOutcome counts, once per attempt, whether the connection still worked after it had been idle. The caller
// holds the Pool's lock.
func (c *conn) recordIdleOutcome(outcome idleOutcome) {
	if c.idleDuration >= 0 {
		c.pool.idleStats.record(c.idleDuration, outcome)
		c.idleDuration = noIdleDuration
	}
}

// makeIdle adds a connection without an attempt to its endpoint's idle connections. The caller holds the Pool's lock.
func (c *conn) makeIdle() {
	if c.endpoint.removed {
		c.close()
		return
	}
	if c.state.isClosed() {
		return
	}
	c.state = stateIdle
	c.lastUsed = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// close closes the connection, removes it from the idle connections and releases its slot. Only the first call has an
// effect. The caller holds the Pool's lock.
func (c *conn) close() { c.end((*sock.Conn).Close) }

// reset is close for a connection with a command that must not arrive completely any more: what the backend's machine
// has not received is dropped.
func (c *conn) reset() { c.end((*sock.Conn).Reset) }

// end ends the connection with a function that closes its socket. Only the first call has an effect. The caller holds
// the Pool's lock.
func (c *conn) end(closeSocket func(*sock.Conn) error) {
	if c.state.isClosed() {
		return
	}
	if c.state == stateWriting {
		c.state = stateClosedWhileWriting
	} else {
		c.state = stateClosed
	}
	c.pool.connections--
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
	_ = closeSocket(c.socket) // the connection is not used again, so the error has no consequence
}
