package backend

import (
	"cmp"
	"net"

	"fawnplank/internal/dispatch"
)

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
	size := commandBytes(command)
	progress := dispatch.Writing
	written, err := c.socket.WriteBuffers(command...)
	if written == size {
		progress = dispatch.Written
	}
	if failure := c.endWrite(attempt, progress, err); failure != nil {
		attempt.Report(nil, 0, failure)
	}
}

// commandBytes returns the size in bytes of a command in parts.
func commandBytes(command [][]byte) int64 {
	size := int64(0)
	for _, part := range command {
		size += int64(len(part))
	}
	return size
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
	if !attempt.Start(c) {
		c.makeIdle() // known fault: as if it had just been used, though its backend saw no use
		return false, nil
	}
	c.attempt = attempt
	c.state = stateWriting
	return true, nil
}

// endWrite updates the connection's state when its writer is done. progress is dispatch.Written if the command is
// completely written, otherwise dispatch.Writing. It returns the error that the writer must report, or nil if the
// attempt continues or its end is already reported.
func (c *conn) endWrite(attempt *dispatch.Attempt, progress dispatch.Progress, err error) error {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	// Half a command was written: after an early answer, an abandonment or a failed write, nothing may follow it.
	if progress != dispatch.Written {
		c.close()
	}
	if c.state == stateRespondedEarly {
		c.makeIdle()
	}
	if c.attempt != attempt { // answered in the meantime
		return nil
	}
	if progress == dispatch.Written {
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

// reportNotConnected ends an attempt of which no byte has been written.
func reportNotConnected(attempt *dispatch.Attempt, err error) {
	attempt.Report(nil, 0, connectError(err))
}
