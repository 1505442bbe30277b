package backend

import (
	"bytes"
	"errors"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/resp"
)

const (
	// defaultBufferBytes is the size of the buffer of each reader, which holds all but large values.
	defaultBufferBytes = 4 << 10
	// streamThresholdBytes is the size of a value above which it is passed on while it arrives. By the operators' pages
	// only the first bytes of such a value have to reach the client before its deadline.
	streamThresholdBytes = 64 << 10
	// streamPieceBytes is the largest size of a piece of a value.
	streamPieceBytes = 64 << 10
	// valueTerminator follows a value.
	valueTerminator = "\r\n"
)

var (
	errValueTerminator = errors.New("the value does not fit its length")
	errNoMemory        = errors.New("no memory for a response that arrives before its request is written")
)

// valueHead is the beginning of a response with a value.
type valueHead struct {
	parts      int // number of parts of the response, including the value
	valueBegin int // index of the value's length line
	lineBytes  int // size of that line
	valueBytes int // size of the value without its length line and its terminator
}

// clientBytes returns the size of all that the client receives for the value.
func (h valueHead) clientBytes() int { return h.lineBytes + h.valueBytes + len(valueTerminator) }

// parseValueHead parses the beginning of a response, of which all that has been received is valid. ok is false if the
// length of the value has not been received.
func parseValueHead(received []byte) (head valueHead, ok bool) {
	count, _ := resp.ParseLength(received, '*', maxParts)
	if !count.IsComplete() || count.Size == len(received) {
		return valueHead{}, false
	}
	value, _ := resp.ParseLength(received[count.Size:], '$', resp.MaxValueBytes)
	if !value.IsComplete() || value.Value < 0 {
		return valueHead{}, false
	}
	return valueHead{
		parts:      count.Value,
		valueBegin: count.Size,
		lineBytes:  value.Size,
		valueBytes: value.Value,
	}, true
}

// valueReader receives a value that does not fit into the reader's buffer. It passes the value on to a stream, or
// discards it. Only the reader of the connection uses it.
type valueReader struct {
	conn      *conn
	head      valueHead
	stream    *valueStream // nil if the value is discarded
	started   bool         // the request is answered with the stream
	remaining int          // bytes of the value that are not received yet, including the terminator
	readTime  time.Duration
}

// receiveValue receives the value of a response, whose beginning is in the received bytes, and then handles the rest of
// the response. Its results are those of handleReceived.
func (c *conn) receiveValue(received []byte, head valueHead) (next []byte, continueReading bool) {
	v := &valueReader{conn: c, head: head, remaining: head.clientBytes()}
	if !c.abandoned.Load() {
		v.stream = newValueStream(c.pool)
	}
	valueEnd := min(len(received), head.valueBegin+v.remaining)
	rest := append(make([]byte, 0, defaultBufferBytes), received[valueEnd:]...)
	if err := v.receive(received[head.valueBegin:valueEnd], received[:cap(received)]); err != nil {
		v.fail(err)
		return nil, false
	}
	v.end(nil)
	c.value = v
	_ = c.socket.SetReadDeadline(time.Now().Add(abandonedReadTimeout)) // fails only if the connection has ended
	if len(rest) == 0 && head.parts > 1 {
		return rest, true
	}
	return c.handleReceived(rest)
}

// receive receives the whole value. piece is what has been received, and buffer, which contains it, may be used for
// further pieces.
func (v *valueReader) receive(piece, buffer []byte) error {
	budget := v.conn.pool.budget
	for {
		if err := v.passOn(piece); err != nil || v.remaining == 0 {
			return err
		}
		if len(buffer) < streamPieceBytes && budget.TryAcquire(streamPieceBytes) {
			defer budget.Release(streamPieceBytes)
			buffer = make([]byte, streamPieceBytes)
		}
		count, err := v.read(buffer)
		if err != nil {
			return err
		}
		piece = buffer[:count]
	}
}

// passOn passes a copy of a piece on. It returns an error if the value does not end with its terminator, or if there is
// neither memory for the piece nor a client that waits for it.
func (v *valueReader) passOn(piece []byte) error {
	v.remaining -= len(piece)
	if !v.endsAsValue(piece) {
		return errValueTerminator
	}
	if v.stream == nil {
		return nil
	}
	if !v.started && v.head.valueBytes > streamThresholdBytes {
		v.start()
	}
	if !v.started && v.stream != nil {
		if v.stream.tryPush(bytes.Clone(piece)) {
			return nil
		}
		if v.start(); !v.started && v.stream != nil {
			return errNoMemory
		}
	}
	if v.stream != nil && !v.stream.push(bytes.Clone(piece)) {
		v.stream = nil
		v.conn.discardStreamed()
	}
	return nil
}

// endsAsValue reports whether the part of the terminator in a piece, the last one received, is as it must be.
func (v *valueReader) endsAsValue(piece []byte) bool {
	received := len(valueTerminator) - v.remaining // bytes of the terminator
	if received <= 0 {
		return true
	}
	inPiece := min(received, len(piece))
	return string(piece[len(piece)-inPiece:]) == valueTerminator[received-inPiece:received]
}

// start answers the request with the stream. If the response is not needed, the value is discarded. It has no effect
// while the attempt is still being written.
func (v *valueReader) start() {
	c := v.conn
	c.pool.mu.Lock()
	attempt := c.attempt
	isWriting := c.state == stateWriting
	c.pool.mu.Unlock()
	if isWriting {
		return
	}
	if attempt != nil && attempt.ReportStarted(v.stream) {
		v.started = true
		return
	}
	v.stream.Abandon()
	v.stream = nil
}

// read reads the next bytes of the value. It waits for abandonedReadTimeout at most, and all waits for a value together
// may last for maxDiscardTime: a backend that sends a few bytes at a time would hold the connection forever. The
// deadline of the request ends the attempt, and with it the read, unless the request is already answered.
func (v *valueReader) read(buffer []byte) (int, error) {
	start := time.Now()
	if v.started || v.stream == nil {
		deadline := start.Add(min(abandonedReadTimeout, maxDiscardTime-v.readTime))
		_ = v.conn.socket.SetReadDeadline(deadline) // fails only if the connection has ended, which the read reports
	}
	count, err := v.conn.socket.Read(buffer[:min(len(buffer), v.remaining)])
	v.readTime += time.Since(start)
	if v.conn.abandoned.Load() && !v.started && v.stream != nil {
		v.stream.Abandon()
		v.stream = nil
	}
	return count, err
}

// end states that the value has ended, with an error if it is not complete.
func (v *valueReader) end(err error) {
	if v.stream != nil {
		v.stream.end(err)
	}
}

// fail ends the response of which the value could not be received.
func (v *valueReader) fail(err error) {
	v.end(err)
	v.abandon()
	if failure := valueFailure(err); failure != nil {
		v.conn.handleResponse(response{}, failure, connectionEnds)
		return
	}
	v.conn.handleConnectionEnd(dispatch.Answering, err)
}

// valueFailure returns the error to report for a value that could not be received because of err, or nil if the
// connection has ended. For lack of memory the cause is this instance: the backend may have run the request, so the
// attempt ends with dispatch.ErrTimeout, which is not held against the backend.
func valueFailure(err error) error {
	switch {
	case errors.Is(err, errValueTerminator):
		return dispatch.ErrBackendFailed
	case errors.Is(err, errNoMemory):
		logging.For(logComponent).Warn("no memory for a response")
		return dispatch.ErrTimeout
	}
	return nil
}

// report reports the response as the result of an attempt, once all its parts are received.
func (v *valueReader) report(attempt *dispatch.Attempt, r response, err error) {
	if err == nil && v.stream != nil && !v.started {
		attempt.ReportStream(v.stream, r.units)
		return
	}
	v.abandon()
	attempt.Report(nil, r.units, err)
}

// abandon abandons the stream of a value unless a client reads from it. v may be nil.
func (v *valueReader) abandon() {
	if v != nil && v.stream != nil && !v.started {
		v.stream.Abandon()
	}
}

// discardStreamed gives up the sending side of the connection, on which a value arrives that no client receives.
func (c *conn) discardStreamed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.state.isClosed() {
		c.discardResponse()
	}
}
