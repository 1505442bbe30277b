package backend

import (
	"bytes"
	"cmp"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/resp"
	"fawnplank/internal/sock"
)

const (
	// plainBufferBytes is the buffer that a reader holds of its own; larger answers get a larger one for
	// their time.
	plainBufferBytes = 4 << 10
	// unbudgetedBytes is how large a buffer may grow without a part of the memory budget: an answer with a
	// value of the protocol's 64 KiB.
	unbudgetedBytes = 68 << 10
	// pieceTimeout is how long a reader waits for memory for a large answer, and for each further piece of
	// the answer to an attempt that was given up: the longest deadline of the operators' page. While it waits
	// for memory, that connection is not read.
	pieceTimeout = 3 * time.Second
	// maxDrainTime bounds how long the answer to an attempt that was given up is read in all: one that never
	// ends, a few bytes at a time, would hold its connection for good. Ten of the longest waits for a piece.
	maxDrainTime = 10 * pieceTimeout
	// neverIdle is the idleBefore of a connection that was not idle before its attempt, or whose attempt is
	// counted.
	neverIdle = -1
)

// connState is what a connection is in use for.
type connState uint8

const (
	// stateReserved: one goroutine has it, which was given it to write an attempt, or is its reader, about to
	// close it.
	stateReserved connState = iota
	// stateIdle: it is in its endpoint's idle pool.
	stateIdle
	// stateWriting: an attempt is being written. Its writer alone knows how far it came, and reports.
	stateWriting
	// stateAwaitingResponse: the attempt is written whole. The reader reports.
	stateAwaitingResponse
	// stateAnsweredEarly: the answer came before the writer was done. It is idle once the writer is.
	stateAnsweredEarly
	// stateAbandoned: the attempt was given up. The reader drops what comes of its answer, then closes.
	stateAbandoned
	// stateClosedInWrite: it was closed while an attempt was being written. The writer still reports.
	stateClosedInWrite
	// stateClosed: it has ended. Nothing follows.
	stateClosed
)

func (s connState) String() string {
	return [...]string{"reserved", "idle", "writing", "awaiting response", "answered early", "abandoned",
		"closed in write", "closed"}[s]
}

// isClosed reports whether the connection has ended; no state follows but stateClosed.
func (s connState) isClosed() bool { return s == stateClosedInWrite || s == stateClosed }

// conn is a connection. One attempt at a time is out on it. Its reader is always at work, so that an idle
// connection that the backend closes leaves the pool before an attempt is written to it.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	nc       *sock.Conn

	// The Pool's lock guards these.
	state      connState
	attempt    *dispatch.Attempt // out on it, and not reported yet
	lastUsed   time.Time         // when it became idle last
	idleBefore time.Duration     // how long it was idle before the attempt, or neverIdle

	// abandoned is set with stateAbandoned, for the reader, which takes no lock between two pieces of an
	// answer. drainDeadline is by when all of the answer has to have come then; it is set before abandoned.
	abandoned     atomic.Bool
	drainDeadline time.Time

	// budgetedBytes is what the buffer holds of the memory budget. Only the reader uses it.
	budgetedBytes int64
}

var _ dispatch.AttemptConn = (*conn)(nil)

// write writes an attempt, unless it was canceled. Where the connection ends, or the answer comes, before the
// writing has ended, that is sorted out here: before the last byte was written nothing ran.
func (c *conn) write(attempt *dispatch.Attempt, command [][]byte) {
	begun, err := c.beginWrite(attempt)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	if !begun {
		return
	}
	size := int64(0)
	for _, part := range command {
		size += int64(len(part))
	}
	written, err := c.nc.WriteParts(command...)
	if fault := c.endWrite(attempt, written == size, err); fault != nil {
		attempt.Report(nil, 0, fault)
	}
}

// beginWrite puts an attempt on the connection. Where begun is false nothing may be written: the attempt was
// canceled, and the connection is idle again; or, with an error, the connection is of no use for it.
func (c *conn) beginWrite(attempt *dispatch.Attempt) (begun bool, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// Guards against an attempt that goes where its backend no longer is: it was forgotten, or listens
	// elsewhere, and another may be at the address by now.
	if c.state.isClosed() || c.endpoint.removed {
		c.close()
		return false, net.ErrClosed
	}
	if !attempt.Begin(c) {
		c.makeIdle()
		return false, nil
	}
	c.attempt = attempt
	c.state = stateWriting
	return true, nil
}

// endWrite moves the connection on when its writer is done. It returns the fault that the writer is to
// report; nil where the attempt goes on, or where its end is reported already.
func (c *conn) endWrite(attempt *dispatch.Attempt, isComplete bool, err error) error {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isComplete { // answered before it was written: what follows would stand behind half a command
		c.close()
	}
	if c.state == stateAnsweredEarly {
		c.makeIdle()
	}
	if c.attempt != attempt { // answered meanwhile
		return nil
	}
	progress := dispatch.Writing
	if isComplete {
		progress = dispatch.Written
		p.metrics.AttemptSent(attempt.Class())
	}
	if err == nil && c.state == stateWriting {
		c.state = stateAwaitingResponse
		return nil
	}
	c.recordIdle(true)
	c.attempt = nil
	c.close()
	return &dispatch.NetworkError{Progress: progress, Err: cmp.Or(err, net.ErrClosed)}
}

// Abandon gives up the attempt, if it is still out here. It returns whether the attempt's end is still to be
// reported: while it is being written, only its writer learns how far it came. The dispatcher's lock is held.
func (c *conn) Abandon(attempt *dispatch.Attempt) (reports bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.attempt != attempt {
		return false
	}
	if c.state == stateWriting || c.state == stateClosedInWrite {
		c.close()
		return true
	}
	c.attempt = nil
	if c.state.isClosed() { // its reader ended without a report: nothing is left to be read
		return false
	}
	// Guards against cutting off an answer that the backend is giving or about to give, which the operators
	// count as a lost request where it is long: the reader takes what comes and drops it, then ends the
	// connection; it waits pieceTimeout at most for each piece. Hurts by keeping the connection and its
	// memory longer, and a backend that answers nothing keeps it for pieceTimeout.
	c.state = stateAbandoned
	now := time.Now()
	c.drainDeadline = now.Add(maxDrainTime)
	c.abandoned.Store(true)
	// The sending ends at once: that gives the attempt up, and another may go out for the request. Both calls
	// fail only where the connection has ended, which the reader meets.
	_ = c.nc.CloseWrite()
	_ = c.nc.SetReadDeadline(now.Add(pieceTimeout))
	return false
}

// recordIdle counts how an attempt ended on a connection that had been idle, once. The Pool's lock is held.
func (c *conn) recordIdle(failed bool) {
	if c.idleBefore >= 0 {
		c.pool.idleStats.record(c.idleBefore, failed)
		c.idleBefore = neverIdle
	}
}

// makeIdle puts a connection without an attempt into the idle pool. The Pool's lock is held.
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

// close ends the connection and takes it out of the idle pool; once, however often it is called. The Pool's
// lock is held.
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
	if n := slices.Index(c.endpoint.idle, c); n >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, n, n+1)
	}
	_ = c.nc.Close() // there is nobody to hear of a connection that did not end well
}

// read is the reader: it reads answers until the connection ends.
func (c *conn) read() {
	defer stopPanic()
	defer c.endRead()
	buffer, filled := make([]byte, plainBufferBytes), 0
	for {
		n, err := c.nc.Read(buffer[filled:])
		filled += n
		if err != nil {
			c.handleEnd(filled > 0, err)
			return
		}
		if c.abandoned.Load() {
			c.awaitNextPiece()
		}
		r, err := parseResponse(buffer[:filled])
		switch {
		case r.size == 0 && err != nil: // the connection is of no further use
			c.handleResponse(response{}, err, false)
			return
		case r.size == 0 && filled == len(buffer):
			if buffer = c.growBuffer(buffer); filled == len(buffer) {
				c.handleResponse(response{}, dispatch.ErrBackendFailed, false)
				return
			}
		case r.size > 0:
			// Bytes behind it belong to nothing: the answer stands, and the connection ends.
			reusable := r.size == filled
			buffer, r.value = c.detachValue(buffer, r.value)
			if !c.handleResponse(r, err, reusable) || !reusable {
				return
			}
			filled = 0
		}
	}
}

// endRead frees what the reader held, and ends the connection, which nobody reads any more.
func (c *conn) endRead() {
	c.releaseBudget()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
}

// awaitNextPiece sets by when the next piece has to come of an answer that nobody wants.
func (c *conn) awaitNextPiece() {
	deadline := time.Now().Add(pieceTimeout)
	if c.drainDeadline.Before(deadline) {
		deadline = c.drainDeadline
	}
	_ = c.nc.SetReadDeadline(deadline) // where it fails the connection has ended, which the next read meets
}

// growBuffer returns a buffer as large as what has come of an answer says that it becomes, with that in it;
// or the same buffer, where the answer would be too large or no memory came free for it in time.
func (c *conn) growBuffer(buffer []byte) []byte {
	_, offset, _ := resp.Length(buffer, '*', maxParts)
	length, header, _ := resp.Length(buffer[offset:], '$', resp.MaxValue)
	size := min(max(2*len(buffer), offset+header+length+maxLineBytes), maxResponseBytes)
	if size <= len(buffer) {
		return buffer
	}
	if missing := int64(max(size-unbudgetedBytes, 0)) - c.budgetedBytes; missing > 0 {
		acquired, ok := c.pool.budget.Acquire(missing, time.Now().Add(pieceTimeout))
		if !ok {
			return buffer
		}
		c.budgetedBytes += acquired
	}
	return append(make([]byte, 0, size), buffer...)[:size]
}

// detachValue separates a value from the reader's buffer: a value in a large buffer takes that with it, and
// any other is copied. It returns the buffer to go on with, and the value.
func (c *conn) detachValue(buffer, value []byte) (next, detached []byte) {
	if len(buffer) > plainBufferBytes {
		c.releaseBudget()
		return make([]byte, plainBufferBytes), value
	}
	return buffer, bytes.Clone(value)
}

// releaseBudget gives back what the buffer held of the memory budget.
func (c *conn) releaseBudget() {
	c.pool.budget.Release(c.budgetedBytes)
	c.budgetedBytes = 0
}

// handleResponse ends the attempt with its answer. It returns whether there was an attempt for it. reusable
// says that nothing else has come with the answer, so that the connection may carry another attempt.
func (c *conn) handleResponse(r response, err error, reusable bool) bool {
	attempt := c.endAttempt(reusable)
	if attempt == nil {
		return false
	}
	attempt.Report(r.value, r.units, err)
	return true
}

// endAttempt takes the attempt, which was answered, off the connection, and makes that idle where it is
// reusable.
func (c *conn) endAttempt(reusable bool) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	attempt := c.attempt
	c.attempt = nil
	c.recordIdle(false)
	if attempt == nil || c.state.isClosed() {
		return attempt
	}
	wasWriting := c.state == stateWriting
	c.state = stateReserved // by its reader, which closes it
	if !reusable {
		return attempt
	}
	c.nc.MarkConsumed()
	if wasWriting {
		c.state = stateAnsweredEarly
	} else {
		c.makeIdle()
	}
	return attempt
}

// handleEnd reports that the connection has ended. An attempt that is just being written is left to its
// writer.
func (c *conn) handleEnd(answering bool, err error) {
	attempt := c.closeAndTake(answering)
	if attempt == nil {
		return
	}
	progress := dispatch.Written
	if answering {
		progress = dispatch.Answering
	}
	attempt.Report(nil, 0, &dispatch.NetworkError{Progress: progress, Err: err})
}

// closeAndTake closes the connection and takes the attempt off it that its reader has to report; nil where
// there is none.
func (c *conn) closeAndTake(answering bool) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
	if c.state == stateClosedInWrite || c.attempt == nil {
		return nil
	}
	attempt := c.attempt
	c.attempt = nil
	c.recordIdle(!answering)
	return attempt
}
