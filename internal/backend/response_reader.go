package backend

import (
	"bytes"
	"time"

	"fawnplank/internal/dispatch"
)

// read is the reader goroutine: it reads responses until the connection ends.
func (c *conn) read() {
	defer close(c.readerDone)
	defer recoverPanic()
	defer c.finishRead()
	received := make([]byte, 0, defaultBufferBytes)
	for {
		count, err := c.socket.Read(received[len(received):cap(received)])
		received = received[:len(received)+count]
		if err != nil {
			c.handleConnectionEnd(c.readProgress(received), err)
			return
		}
		if c.abandoned.Load() {
			c.extendReadDeadline()
		}
		var continueReading bool
		if received, continueReading = c.handleReceived(received); !continueReading {
			return
		}
	}
}

// handleReceived handles the bytes received so far of a response. received is a prefix of its buffer; the rest, up to
// cap, is free. next is the same for the buffer to continue with. continueReading is false if the connection must
// be closed.
func (c *conn) handleReceived(received []byte) (next []byte, continueReading bool) {
	r, err := c.parseReceived(received)
	if r.isComplete {
		return c.handleComplete(received, r, err)
	}
	if err != nil { // the response is malformed, and no further response can be found in the stream
		c.handleResponse(response{}, err, connectionEnds)
		return nil, false
	}
	isFull := len(received) == cap(received)
	if head, ok := parseValueHead(received); ok && c.value == nil && (isFull || head.valueBytes > streamThresholdBytes) {
		return c.receiveValue(received, head)
	}
	if isFull { // more than any response has before or after its value
		c.handleResponse(response{}, dispatch.ErrBackendFailed, connectionEnds)
		return nil, false
	}
	return received, true
}

// parseReceived parses the bytes received so far of a response, or of the part of it after a value that receiveValue
// has received.
func (c *conn) parseReceived(received []byte) (response, error) {
	if c.value != nil {
		return parseParts(received, 0, partRange{first: valuePart + 1, end: c.value.head.parts})
	}
	return parseResponse(received)
}

// handleComplete handles a complete response at the beginning of the received bytes. err is the error that the
// response represents, or nil. The results are those of handleReceived.
func (c *conn) handleComplete(received []byte, r response, err error) (next []byte, continueReading bool) {
	after := connectionReusable
	// Bytes after the response belong to no attempt; the response itself is valid.
	if r.size < len(received) || c.abandoned.Load() {
		after = connectionEnds
	}
	r.value = bytes.Clone(r.value)
	hadAttempt := c.handleResponse(r, err, after)
	return received[:0], hadAttempt && after == connectionReusable
}

// finishRead closes the connection, since no other goroutine reads it.
func (c *conn) finishRead() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
}

// handleResponse reports the response as the result of the connection's attempt. It returns false if the connection
// carries no attempt.
func (c *conn) handleResponse(r response, err error, after afterResponse) bool {
	value := c.value
	c.value = nil
	if value != nil {
		_ = c.socket.SetReadDeadline(time.Time{}) // fails only if the connection has ended, which the reader detects
	}
	attempt := c.takeAnsweredAttempt(after)
	switch {
	case attempt == nil:
		value.abandon()
		return false
	case value != nil:
		value.report(attempt, r, err)
	default:
		attempt.Report(r.value, r.units, err)
	}
	return true
}

// takeAnsweredAttempt removes the answered attempt from the connection and returns it, or nil if there is none. It
// makes the connection idle if the connection is reusable and the attempt is completely written.
func (c *conn) takeAnsweredAttempt(after afterResponse) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	attempt := c.attempt
	c.attempt = nil
	c.recordIdleOutcome(idleAlive)
	if attempt == nil || c.state.isClosed() {
		return attempt
	}
	wasWriting := c.state == stateWriting
	c.state = stateReserved // reserved by the reader, which closes the connection
	if after == connectionEnds {
		return attempt
	}
	c.socket.MarkConsumed()
	if wasWriting {
		c.state = stateRespondedEarly
		// Fails only if the connection has ended, which the reader detects.
		_ = c.socket.SetWriteDeadline(time.Now().Add(earlyResponseGrace))
	} else {
		c.makeIdle()
	}
	return attempt
}

// readProgress returns the stage that an attempt has reached if these bytes of its response have been received.
func (c *conn) readProgress(received []byte) dispatch.Progress {
	if len(received) > 0 || c.value != nil {
		return dispatch.Answering
	}
	return dispatch.Written
}

// handleConnectionEnd handles the end of the connection and reports it as the result of the attempt. If the attempt
// is still being written, its writer reports the result instead.
func (c *conn) handleConnectionEnd(progress dispatch.Progress, err error) {
	c.value.abandon()
	c.value = nil
	attempt := c.closeAndTakeAttempt(progress)
	if attempt == nil {
		return
	}
	attempt.Report(nil, 0, &dispatch.NetworkError{Progress: progress, Err: err})
}

// closeAndTakeAttempt closes the connection. It removes and returns the attempt whose result the reader must report,
// or returns nil if there is none.
func (c *conn) closeAndTakeAttempt(progress dispatch.Progress) *dispatch.Attempt {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.close()
	if c.state == stateClosedWhileWriting || c.attempt == nil {
		return nil
	}
	attempt := c.attempt
	c.attempt = nil
	if progress == dispatch.Answering {
		c.recordIdleOutcome(idleAlive)
	} else {
		c.recordIdleOutcome(idleLost)
	}
	return attempt
}
