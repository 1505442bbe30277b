package backend

import (
	"time"

	"fawnplank/internal/dispatch"
)

const (
	// longestDeadline is the longest request deadline that the operators' documentation expects ("3 s at most"). It is
	// independent of the configured classes, whose deadlines may be longer.
	longestDeadline = 3 * time.Second
	// abandonedReadTimeout is how long the reader waits for each further piece of the response to an abandoned
	// attempt.
	abandonedReadTimeout = longestDeadline
	// maxDiscardTime bounds the total time for reading the response to an abandoned attempt. A response that takes
	// ten times the longest deadline counts as endless.
	maxDiscardTime = 10 * longestDeadline
)

// Abandon gives up the attempt if the connection still carries it. It returns true if the attempt's writer has not
// reported the result yet and will do so: only the writer can tell how much was written. The caller holds the
// dispatcher's lock.
func (c *conn) Abandon(attempt *dispatch.Attempt) (willReport bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.attempt != attempt {
		return false
	}
	if c.state == stateWriting || c.state == stateClosedWhileWriting {
		if c.state == stateWriting {
			c.idleDuration = noIdleDuration // closed by this instance: no evidence of how long idle connections last
		}
		c.reset()
		return true
	}
	c.attempt = nil
	if c.state.isClosed() { // the reader has ended, and there is nothing left to read
		return false
	}
	if c.mayArriveLater() {
		c.reset()
		return false
	}
	c.discardResponse()
	return false
}

// mayArriveLater reports whether the backend's machine has not acknowledged all of the command, and so has not answered
// it. If only the sending side were closed, the system would go on to send the rest, for seconds: to a machine that is
// cut off, or one whose program does not read.
func (c *conn) mayArriveLater() bool {
	queue, ok := c.socket.SendQueue()
	return ok && queue.Unacknowledged > 0
}

// discardResponse makes the reader discard the response to an abandoned attempt and then close the connection. It
// guards against cutting off a response that the backend is sending or about to send: the operators count a long
// response that is cut off as a lost request. In return, the connection and its memory are held longer; a backend
// that does not answer holds them for abandonedReadTimeout.
//
// The sending side is closed immediately, which ends the attempt, so that another one may be sent for the request.
// The caller holds the Pool's lock.
func (c *conn) discardResponse() {
	c.state = stateAbandoned
	now := time.Now()
	c.discardDeadline = now.Add(maxDiscardTime)
	c.abandoned.Store(true)
	// Both calls fail only if the connection has ended, which the reader detects.
	_ = c.socket.CloseWrite()
	_ = c.socket.SetReadDeadline(now.Add(abandonedReadTimeout))
}

// extendReadDeadline sets the read deadline for the next piece of the response to an abandoned attempt. The read
// deadline guards against a backend that stops sending, through abandonedReadTimeout, and against an endless
// response that arrives a few bytes at a time, through discardDeadline. Either would hold the connection forever.
func (c *conn) extendReadDeadline() {
	deadline := time.Now().Add(abandonedReadTimeout)
	if c.discardDeadline.Before(deadline) {
		deadline = c.discardDeadline
	}
	_ = c.socket.SetReadDeadline(deadline) // fails only if the connection has ended, which the next read reports
}
