package frontend

import "time"

const (
	// partialCommandGrace is how long the rest of a command may take to arrive if its first part was read before the
	// graceful close began: a read may return any part of what the client has sent.
	partialCommandGrace = 200 * time.Millisecond
	// lastResponseGrace is how long a client has to receive its last response before a connection that was shut down
	// is closed. It is many times the transit time.
	lastResponseGrace = 200 * time.Millisecond
	// forcedCloseDelay is how long the graceful close of a connection without open requests may take before the
	// connection is closed by force.
	forcedCloseDelay = 1500 * time.Millisecond
)

// startClosing begins a graceful close: the connection is closed once the responses that are due are written. The first
// call ends a pause after an invalid command and a wait for capacity. It interrupts the read of a busy connection, so
// that nothing more is read while responses are due. It does not interrupt the read of a new or idle connection, since
// input that has arrived or is about to arrive is handled first: continueClosing interrupts that read.
func (c *connection) startClosing(now time.Time) {
	if c.closing.Load() {
		return
	}
	c.closingStartAgeNanos.Store(int64(now.Sub(c.acceptedAt)))
	c.closing.Store(true)
	c.stateChanged.Broadcast() // ends a pause or a wait for capacity
	if !c.isNew(now) && c.isBusy() {
		c.setReadDeadline(now)
	}
}

// cancelClosing cancels a graceful close, so that the connection stays open.
func (c *connection) cancelClosing() {
	c.closing.Store(false)
	c.undrainedLogged.Store(false)
}

// continueClosing takes the next step of a graceful close. It is called repeatedly until the connection has ended.
func (c *connection) continueClosing(now time.Time) {
	c.stateChanged.Broadcast() // repeats that of startClosing, which a reader that had just begun to wait may have missed
	switch {
	case c.isForcedCloseDue(now):
		c.server.forcedCloses.Add(1)
		c.close()
	case c.isNew(now):
		// Input that is about to arrive on a new connection is read and answered first.
		c.setReadDeadline(c.acceptedAt.Add(newConnectionGrace))
	case !c.conn.HasPendingBytes(): // input that has arrived is read first, too
		c.shutDownIfIdle()
	}
}

// closingFor returns how long ago the graceful close began.
func (c *connection) closingFor(now time.Time) time.Duration {
	return now.Sub(c.acceptedAt) - time.Duration(c.closingStartAgeNanos.Load())
}

// isForcedCloseDue reports whether the graceful close has taken longer than forcedCloseDelay. Without a forced close, a
// client that does not read, or sends invalid commands endlessly, could keep its connection open. A connection with an
// open request is never closed by force: it ends by the deadline of the request.
func (c *connection) isForcedCloseDue(now time.Time) bool {
	return c.closingFor(now) > forcedCloseDelay && c.requestsInFlight.Load() == 0
}

// isBusy reports whether commands are pending or a response is being written.
func (c *connection) isBusy() bool {
	if !c.mu.TryLock() {
		return true
	}
	defer c.mu.Unlock()
	return c.hasPendingCommands()
}

// awaitsRestOfCommand reports whether the connection stays open for the rest of a command that was read in part, which
// it does for partialCommandGrace. Without this, a request could be lost because only a part of it was read before the
// close.
func (c *connection) awaitsRestOfCommand() bool {
	return c.hasPartialCommand.Load() && c.closingFor(time.Now()) < partialCommandGrace
}

// shutDownIfClosing shuts down a connection that is closing, unless it is new or the rest of a command may still
// arrive. It first waits until all commands handled so far are answered. Nothing is read during the wait, nor
// afterwards unless a Resume has canceled the close meanwhile.
func (c *connection) shutDownIfClosing() {
	if !c.closing.Load() || c.isNew(time.Now()) {
		return
	}
	if c.awaitsRestOfCommand() {
		c.setReadDeadline(time.Now().Add(partialCommandGrace))
		return
	}
	c.awaitResponses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() { // a Resume may have canceled the close
		c.shutDown()
	}
}

// shutDownIfIdle shuts down the connection if no command is pending on it: it closes the sending side, and the reader
// then closes the connection.
func (c *connection) shutDownIfIdle() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	c.shutDown()
}

// shutDown is shutDownIfIdle for a caller that holds mu. It does not close the connection at once, because a
// close with unread bytes resets the connection, which can discard a response in transit. After its last response the
// client has lastResponseGrace to receive it.
func (c *connection) shutDown() {
	if c.awaitsRestOfCommand() || !c.closeInput() {
		return
	}
	c.closeWrite()
	c.setReadDeadline(time.Now()) // wakes the reader
}

// lingerAfterLastResponse waits until the client closes a connection that was shut down, for lastResponseGrace after
// its last response at most. An earlier close could lose that response, since a close with unread bytes resets the
// connection.
func (c *connection) lingerAfterLastResponse() {
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
