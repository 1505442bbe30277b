package backend

import (
	"slices"
	"sync/atomic"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/sock"
)

// noIdleTime is the idleBefore of a connection that was not idle before its attempt, or whose attempt is already
// counted.
const noIdleTime = -1

// conn is a connection to a backend. It carries one attempt at a time. Its reader runs all the time, so that
// an idle connection that the backend closes leaves the pool before an attempt is written to it.
//
// Its life cycle is a state machine. Any state but the final ones may also go to a closed state, when the
// connection ends or its reader does; close makes that transition. All others:
//
//	from               event                                                   to
//	reserved           beginWrite: the attempt begins                          writing
//	reserved           beginWrite: the attempt was canceled                    idle
//	writing            endWrite: the attempt is completely written             awaiting response
//	writing            endAttempt: a response, the connection is reusable      responded early
//	writing            endAttempt: a response, the connection ends             reserved
//	writing            Abandon, a failed write, the connection's end           closed in write
//	responded early    endWrite: the attempt is completely written             idle
//	awaiting response  endAttempt: a response, the connection is reusable      idle
//	awaiting response  endAttempt: a response, the connection ends             reserved
//	awaiting response  Abandon                                                 abandoned
//	abandoned          the reader: a response, the connection's end, a timeout closed
//	idle               Pool.takeIdle                                           reserved
//	idle               too long idle, bytes without an attempt, endpoint gone  closed
//
// An attempt that its connection carries is reported once: by its writer while the connection is writing or
// closed in write, otherwise by the reader.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	socket   *sock.Conn
	// readEnded is closed when the reader has ended.
	readEnded chan struct{}

	// The Pool's lock guards these fields.
	state      connState
	attempt    *dispatch.Attempt // carried by the connection, and not reported yet
	lastUsed   time.Time         // when it last became idle, even if its attempt was canceled and nothing was sent
	idleBefore time.Duration     // how long the connection was idle before the attempt, or noIdleTime

	// abandoned is set together with stateAbandoned, for the reader, which takes no lock between two pieces of
	// a response.
	abandoned atomic.Bool
	// discardDeadline is when the whole response to an abandoned attempt must have arrived. It is set before
	// abandoned.
	discardDeadline time.Time

	// budgetedBytes is how much of the memory budget the reader's buffer holds. Only the reader uses it.
	budgetedBytes int64
}

var _ dispatch.AttemptConn = (*conn)(nil)

// recordIdle counts, once for an attempt, whether a connection that had been idle before it still worked. The
// caller holds the Pool's lock.
func (c *conn) recordIdle(outcome idleOutcome) {
	if c.idleBefore >= 0 {
		c.pool.idleStats.record(c.idleBefore, outcome)
		c.idleBefore = noIdleTime
	}
}

// makeIdle puts a connection without an attempt into the idle pool. The caller holds the Pool's lock.
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

// close ends the connection, removes it from the idle pool and releases its slot. Only the first call has an effect.
// The caller holds the Pool's lock.
func (c *conn) close() {
	if c.state.isClosed() {
		return
	}
	if c.state == stateWriting {
		c.state = stateClosedInWrite
	} else {
		c.state = stateClosed
	}
	c.pool.connections--
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
	_ = c.socket.Close() // there is nobody to report the error to
}
