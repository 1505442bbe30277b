package frontend

import "time"

const (
	// partialCommandGrace is how long the rest of a command may take whose first part was read before its
	// connection was to end: a read may return any part of what the client has sent.
	partialCommandGrace = 200 * time.Millisecond
	// lastResponseGrace is how long a client has to take its last response before a connection that is shut down
	// is closed; it is many times the transit time.
	lastResponseGrace = 200 * time.Millisecond
	// forcedCloseDelay is how long a connection that is to end, and has no request open, may take to end by itself.
	forcedCloseDelay = 1500 * time.Millisecond
)

// startEnding lets the connection end after the responses that are due. The first call ends a pause after an invalid
// command and a wait for capacity. It ends the read of a busy connection, so that nothing more is read while responses
// are due. It does not end the read of a new or an idle one, since input that is about to arrive or has arrived there
// is handled first: continueEnding ends that read.
func (c *connection) startEnding(now time.Time) {
	if c.ending.Load() {
		return
	}
	c.endingSinceAgeNanos.Store(int64(now.Sub(c.acceptedAt)))
	c.ending.Store(true)
	c.stateChanged.Broadcast() // ends a pause or a wait for capacity
	if !c.isNew(now) && c.isBusy() {
		c.setReadDeadline(now)
	}
}

// stopEnding lets the connection stay open again.
func (c *connection) stopEnding() {
	c.ending.Store(false)
	c.outlastingLogged.Store(false)
}

// continueEnding takes the next step towards the end of a connection that is to end: it is called again and
// again until the connection has ended.
func (c *connection) continueEnding(now time.Time) {
	c.stateChanged.Broadcast() // again: a reader may have begun to wait just before the first time
	switch {
	case c.isForcedCloseDue(now):
		c.server.forcedCloses.Add(1)
		c.close()
	case c.isNew(now):
		// Input that is about to arrive on a new connection is accepted and answered first.
		c.setReadDeadline(c.acceptedAt.Add(newConnectionGrace))
	case !c.conn.HasPendingBytes(): // input that has arrived is accepted first, too
		c.shutDownIfIdle()
	}
}

// endingFor returns how long the connection has been to end.
func (c *connection) endingFor(now time.Time) time.Duration {
	return now.Sub(c.acceptedAt) - time.Duration(c.endingSinceAgeNanos.Load())
}

// isForcedCloseDue reports whether the connection has had forcedCloseDelay to end by itself. It guards against a
// client that reads nothing, or sends invalid commands without end, and keeps its connection open. A connection with
// a request open is never closed by force: its end is bounded by the deadline of the request.
func (c *connection) isForcedCloseDue(now time.Time) bool {
	return c.endingFor(now) > forcedCloseDelay && c.requestsOpen.Load() == 0
}

// isBusy reports whether commands are pending or a response is being written.
func (c *connection) isBusy() bool {
	if !c.mu.TryLock() {
		return true
	}
	defer c.mu.Unlock()
	return c.hasPending()
}

// awaitsRestOfCommand reports whether the rest of a command that was read in part may still arrive, which is for
// partialCommandGrace. It guards against a request that is cut in two and lost when its connection ends.
func (c *connection) awaitsRestOfCommand() bool {
	return c.hasPartialCommand.Load() && c.endingFor(time.Now()) < partialCommandGrace
}

// shutDownIfEnding ends a connection that is to end, unless it is new or the rest of a command may still arrive. It
// waits until everything handled so far is answered. Nothing is read while it waits, nor afterwards.
func (c *connection) shutDownIfEnding() {
	if !c.ending.Load() || c.isNew(time.Now()) {
		return
	}
	if c.awaitsRestOfCommand() {
		c.setReadDeadline(time.Now().Add(partialCommandGrace))
		return
	}
	c.awaitResponses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending.Load() { // the drain may have ended meanwhile
		c.shutDown()
	}
}

// shutDownIfIdle ends the connection if nothing is open on it: it closes the sending side, and the reader
// closes the connection.
func (c *connection) shutDownIfIdle() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	c.shutDown()
}

// shutDown is shutDownIfIdle for a caller that holds mu. It does not close the connection at once, because a
// close with unread bytes resets the connection and discards a response still in transit: after a response,
// the client has lastResponseGrace to take it.
func (c *connection) shutDown() {
	if c.awaitsRestOfCommand() || !c.closeInput() {
		return
	}
	c.closeWrite()
	c.setReadDeadline(time.Now()) // wakes the reader
}

// linger waits until the client closes a connection that shutDown has ended, but no longer than
// lastResponseGrace after its last response. It guards against the loss of that response: a close over unread bytes
// resets the connection.
func (c *connection) linger() {
	c.mu.Lock()
	until := c.idleSince.Add(lastResponseGrace)
	c.mu.Unlock()
	if !c.validated.Load() {
		return // nothing was answered
	}
	defer c.activity.enter(readerLingers)()
	for time.Now().Before(until) {
		c.setReadDeadline(until)
		if c.conn.AwaitHangUp() {
			return
		}
	}
}
