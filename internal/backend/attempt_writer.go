package backend

import (
	"cmp"
	"net"
	"time"

	"fawnplank/internal/dispatch"
)

// earlyResponseGrace is how long the rest of a command may take to be written once its response has arrived. The writer
// is usually done by then; a backend that does not read the rest would hold the command's memory.
const earlyResponseGrace = 200 * time.Millisecond

// write writes an attempt, unless the attempt was canceled. It also handles a connection that ends or a response that
// arrives before the write is complete. A request that is not completely written has not run.
func (c *conn) write(attempt *dispatch.Attempt, command Command) {
	started, err := c.startWrite(attempt)
	if err != nil {
		reportNotConnected(attempt, err)
		return
	}
	if !started {
		return
	}
	progress, err := c.writeCommand(attempt, command)
	if failure := c.finishWrite(attempt, progress, err); failure != nil {
		attempt.Report(nil, 0, failure)
	}
}

// writeCommand writes the command of an attempt. progress is dispatch.Written if it was written completely.
func (c *conn) writeCommand(attempt *dispatch.Attempt, command Command) (progress dispatch.Progress, err error) {
	if command.Size() > maxImmediateWriteBytes {
		return c.deliver(attempt, command.Parts(attempt.RemainingForRequest()))
	}
	parts := command.Parts(attempt.Remaining())
	written, err := c.socket.WriteBuffers(parts...)
	if written < commandBytes(parts) {
		return dispatch.Writing, err
	}
	return dispatch.Written, err
}

// commandBytes returns the size in bytes of a command in parts.
func commandBytes(parts [][]byte) int64 {
	size := int64(0)
	for _, part := range parts {
		size += int64(len(part))
	}
	return size
}

// startWrite assigns an attempt to the connection. If started is false, nothing may be written: without an
// error, the attempt was canceled and the connection is idle again; with an error, the connection cannot be
// used for the attempt.
func (c *conn) startWrite(attempt *dispatch.Attempt) (started bool, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// Do not send an attempt to an address that its backend no longer has: the backend was removed or listens at
	// another address, and another backend may have taken over the old address.
	if c.state.isClosed() || c.endpoint.removed {
		c.close()
		return false, net.ErrClosed
	}
	if !attempt.Start(c) {
		c.makeIdle() // known fault: this sets lastUsed to now, although the connection was not used
		return false, nil
	}
	c.attempt = attempt
	c.state = stateWriting
	return true, nil
}

// finishWrite updates the connection's state when its writer is done. progress is dispatch.Written if the command is
// completely written, otherwise dispatch.Writing. finishWrite returns the error that the writer must report, or nil
// if the attempt is still in progress or its result has already been reported.
func (c *conn) finishWrite(attempt *dispatch.Attempt, progress dispatch.Progress, err error) error {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	// The command was written only in part, because of an early response, an abandonment or a failed write: no
	// other command may follow it on this connection.
	if progress != dispatch.Written {
		c.reset()
	}
	if c.state == stateRespondedEarly {
		_ = c.socket.SetWriteDeadline(time.Time{}) // fails only if the connection has ended, which the reader detects
		c.makeIdle()
	}
	if c.attempt != attempt { // the reader has already reported the result
		return nil
	}
	if progress == dispatch.Written {
		p.metrics.AttemptSent(attempt.Class())
	}
	if err == nil && c.state == stateWriting {
		c.state = stateAwaitingResponse
		return nil
	}
	c.recordIdleOutcome(idleLost)
	c.attempt = nil
	c.close()
	return &dispatch.NetworkError{Progress: progress, Err: cmp.Or(err, net.ErrClosed)}
}

// reportNotConnected reports the result of an attempt of which no byte was written. err is the reason.
func reportNotConnected(attempt *dispatch.Attempt, err error) {
	attempt.Report(nil, 0, connectError(err))
}
