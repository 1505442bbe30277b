package backend

import (
	"bytes"
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/resp"
	"fawnplank/internal/sock"
)

const (
	// plainBufferBytes is the size of the buffer that each reader keeps. For a larger response the reader uses a
	// larger buffer temporarily.
	plainBufferBytes = 4 << 10
	// maxUnbudgetedBytes is how large a buffer may grow without taking memory from the budget: a response with a
	// value of the protocol's 64 KiB.
	maxUnbudgetedBytes = 68 << 10
	// pieceTimeout is how long a reader waits for memory for a large response, and for each further piece of the
	// response to an attempt that was given up. It is the longest deadline on the operators' page. While the
	// reader waits for memory, it does not read the connection.
	pieceTimeout = 3 * time.Second
	// maxDrainTime bounds the total time for reading the response to an attempt that was given up: an endless
	// response that arrives a few bytes at a time would hold its connection forever. It is ten times the longest
	// wait for a piece.
	maxDrainTime = 10 * pieceTimeout
	// noIdleTime is the idleBefore of a connection that was not idle before its attempt, or whose attempt is
	// already counted.
	noIdleTime = -1
)

// connState is what a connection is currently used for.
type connState uint8

const (
	// stateReserved: one goroutine owns the connection: either it got the connection to write an attempt, or it
	// is the reader, about to close it.
	stateReserved connState = iota
	// stateIdle: the connection is in its endpoint's idle pool.
	stateIdle
	// stateWriting: an attempt is being written. Only its writer knows how much was written, and the writer
	// reports the result.
	stateWriting
	// stateAwaitingResponse: the attempt is completely written. The reader reports the result.
	stateAwaitingResponse
	// stateRespondedEarly: the response arrived before the writer was done. The connection becomes idle when the
	// writer is done.
	stateRespondedEarly
	// stateAbandoned: the attempt was given up. The reader discards whatever arrives of its response, then closes
	// the connection.
	stateAbandoned
	// stateClosedInWrite: the connection was closed while an attempt was being written. The writer still reports
	// the result.
	stateClosedInWrite
	// stateClosed: the connection has ended. This state is final.
	stateClosed
)

func (s connState) String() string {
	names := [...]string{
		stateReserved: "reserved", stateIdle: "idle", stateWriting: "writing",
		stateAwaitingResponse: "awaiting response", stateRespondedEarly: "responded early",
		stateAbandoned: "abandoned", stateClosedInWrite: "closed in write", stateClosed: "closed",
	}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("connState(%d)", uint8(s))
}

// isClosed reports whether the connection has ended. The only state that can follow is stateClosed.
func (s connState) isClosed() bool { return s == stateClosedInWrite || s == stateClosed }

// afterResponse says what becomes of a connection after a response.
type afterResponse uint8

const (
	connectionReusable afterResponse = iota // it may carry another attempt
	connectionEnds                          // its reader closes it
)

func (a afterResponse) String() string {
	if a == connectionReusable {
		return "reusable"
	}
	return "ends"
}

// conn is a connection to a backend. It carries one attempt at a time. Its reader runs all the time, so that
// an idle connection that the backend closes leaves the pool before an attempt is written to it.
type conn struct {
	pool     *Pool
	endpoint *endpoint
	socket   *sock.Conn
	// readEnded is closed when the reader has ended.
	readEnded chan struct{}

	// The Pool's lock guards these fields.
	state      connState
	attempt    *dispatch.Attempt // carried by the connection, and not reported yet
	lastUsed   time.Time         // when the connection last became idle
	idleBefore time.Duration     // how long the connection was idle before the attempt, or noIdleTime

	// abandoned is set together with stateAbandoned, for the reader, which takes no lock between two pieces of
	// a response. drainDeadline is the time by which the whole response must then have arrived; it is set before
	// abandoned.
	abandoned     atomic.Bool
	drainDeadline time.Time

	// budgetedBytes is how much of the memory budget the buffer holds. Only the reader uses it.
	budgetedBytes int64
}

var _ dispatch.AttemptConn = (*conn)(nil)

// write writes an attempt, unless it was canceled. It also handles a connection that ends, or a response that
// arrives, before the writing is done: nothing ran before the last byte was written.
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
	written, err := c.socket.WriteParts(command...)
	if fault := c.endWrite(attempt, written == size, err); fault != nil {
		attempt.Report(nil, 0, fault)
	}
}

// beginWrite assigns an attempt to the connection. If begun is false, nothing may be written: without an
// error, the attempt was canceled and the connection is idle again; with an error, the connection cannot be
// used for the attempt.
func (c *conn) beginWrite(attempt *dispatch.Attempt) (begun bool, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// Do not send an attempt to an address where its backend no longer is: the backend was forgotten or listens
	// elsewhere, and another one may be at the address by now.
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

// endWrite updates the connection's state when its writer is done. It returns the error that the writer must
// report, or nil if the attempt continues or its end is already reported.
func (c *conn) endWrite(attempt *dispatch.Attempt, isComplete bool, err error) error {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isComplete { // answered before it was written: the next command would follow half a command
		c.close()
	}
	if c.state == stateRespondedEarly {
		c.makeIdle()
	}
	if c.attempt != attempt { // answered in the meantime
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
	c.recordIdle(idleLost)
	c.attempt = nil
	c.close()
	return &dispatch.NetworkError{Progress: progress, Err: cmp.Or(err, net.ErrClosed)}
}

// Abandon gives up the attempt if the connection still carries it. It returns whether the attempt's end will
// still be reported: while the attempt is being written, only its writer learns how much was written. The
// caller holds the dispatcher's lock.
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
	if c.state.isClosed() { // its reader ended without a report: there is nothing left to read
		return false
	}
	// Do not cut off a response that the backend is sending or about to send: the operators count a long response
	// that is cut off as a lost request. The reader reads and discards what arrives, then ends the connection;
	// it waits at most pieceTimeout for each piece. The cost: the connection and its memory are held longer, and
	// a backend that answers nothing holds them for pieceTimeout.
	c.state = stateAbandoned
	now := time.Now()
	c.drainDeadline = now.Add(maxDrainTime)
	c.abandoned.Store(true)
	// The sending side is closed at once: that gives up the attempt, and another may be sent for the request.
	// Both calls fail only if the connection has ended, which the reader notices.
	_ = c.socket.CloseWrite()
	_ = c.socket.SetReadDeadline(now.Add(pieceTimeout))
	return false
}

// recordIdle counts, once, whether a connection that had been idle before its attempt still worked. The
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

// close ends the connection and removes it from the idle pool. Only the first call has an effect. The caller
// holds the Pool's lock.
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

// read is the reader goroutine: it reads responses until the connection ends.
func (c *conn) read() {
	defer close(c.readEnded)
	defer recoverPanic()
	defer c.endRead()
	buffer := make([]byte, plainBufferBytes)
	filled := 0
	for {
		count, err := c.socket.Read(buffer[filled:])
		filled += count
		if err != nil {
			c.handleEnd(filled > 0, err)
			return
		}
		if c.abandoned.Load() {
			c.awaitNextPiece()
		}
		r, err := parseResponse(buffer[:filled])
		switch {
		case r.size == 0 && err != nil: // the connection cannot be used any more
			c.handleResponse(response{}, err, connectionEnds)
			return
		case r.size == 0 && filled == len(buffer):
			if buffer = c.growBuffer(buffer); filled == len(buffer) {
				c.handleResponse(response{}, dispatch.ErrBackendFailed, connectionEnds)
				return
			}
		case r.size > 0:
			after := connectionReusable
			if r.size < filled { // bytes behind the response belong to no attempt: only the response is valid
				after = connectionEnds
			}
			buffer, r.value = c.detachValue(buffer, r.value)
			if !c.handleResponse(r, err, after) || after == connectionEnds {
				return
			}
			filled = 0
		}
	}
}

// endRead releases what the reader held, and ends the connection, which nobody reads any more.
func (c *conn) endRead() {
	c.releaseBudget()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
}

// awaitNextPiece sets the deadline for the next piece of a response that nobody wants.
func (c *conn) awaitNextPiece() {
	deadline := time.Now().Add(pieceTimeout)
	if c.drainDeadline.Before(deadline) {
		deadline = c.drainDeadline
	}
	_ = c.socket.SetReadDeadline(deadline) // fails only if the connection has ended, which the next read reports
}

// growBuffer returns a buffer that contains the bytes in buffer and has the size that the response will have
// according to those bytes. It returns buffer itself if the response would be too large or if no memory came
// free for it in time.
func (c *conn) growBuffer(buffer []byte) []byte {
	// Both are valid: parseResponse refuses a length that is not, before the buffer is full.
	count, _ := resp.ParseLength(buffer, '*', maxParts)
	value, _ := resp.ParseLength(buffer[count.Size:], '$', resp.MaxValue)
	expectedBytes := count.Size + value.Size + value.Value + maxLineBytes
	size := min(max(2*len(buffer), expectedBytes), maxResponseBytes)
	if size <= len(buffer) {
		return buffer
	}
	if missingBytes := int64(max(size-maxUnbudgetedBytes, 0)) - c.budgetedBytes; missingBytes > 0 {
		acquired, ok := c.pool.budget.Acquire(missingBytes, time.Now().Add(pieceTimeout))
		if !ok {
			return buffer
		}
		c.budgetedBytes += acquired
	}
	return append(make([]byte, 0, size), buffer...)[:size]
}

// detachValue separates a value from the reader's buffer: a value in a large buffer keeps that buffer, and
// any other value is copied. It returns the buffer to continue with, and the value.
func (c *conn) detachValue(buffer, value []byte) (next, detached []byte) {
	if len(buffer) > plainBufferBytes {
		c.releaseBudget()
		return make([]byte, plainBufferBytes), value
	}
	return buffer, bytes.Clone(value)
}

// releaseBudget returns the buffer's share to the memory budget.
func (c *conn) releaseBudget() {
	c.pool.budget.Release(c.budgetedBytes)
	c.budgetedBytes = 0
}

// handleResponse ends the attempt with its response. It returns whether there was an attempt for the response.
func (c *conn) handleResponse(r response, err error, after afterResponse) bool {
	attempt := c.endAttempt(after)
	if attempt == nil {
		return false
	}
	attempt.Report(r.value, r.units, err)
	return true
}

// endAttempt removes the answered attempt from the connection, and makes the connection idle if it is
// reusable.
func (c *conn) endAttempt(after afterResponse) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	attempt := c.attempt
	c.attempt = nil
	c.recordIdle(idleAlive)
	if attempt == nil || c.state.isClosed() {
		return attempt
	}
	wasWriting := c.state == stateWriting
	c.state = stateReserved // by its reader, which closes it
	if after == connectionEnds {
		return attempt
	}
	c.socket.MarkConsumed()
	if wasWriting {
		c.state = stateRespondedEarly
	} else {
		c.makeIdle()
	}
	return attempt
}

// handleEnd reports that the connection has ended. If an attempt is still being written, its writer reports
// it.
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

// closeAndTake closes the connection. It removes and returns the attempt that the reader has to report, or
// nil if there is none.
func (c *conn) closeAndTake(answering bool) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
	if c.state == stateClosedInWrite || c.attempt == nil {
		return nil
	}
	attempt := c.attempt
	c.attempt = nil
	if answering {
		c.recordIdle(idleAlive)
	} else {
		c.recordIdle(idleLost)
	}
	return attempt
}
