package frontend

import (
	"time"
)

// partialCommandGrace is how long the rest of a command may take whose first part was read before its
// connection was to end: a read may return any part of what the client has sent.
const partialCommandGrace = 200 * time.Millisecond

// startEnding lets the connection end after the responses that are due. The first call takes the reader out of
// its wait, whatever it waits for: nothing more is read while responses are due, and no pause is kept.
func (c *connection) startEnding(now time.Time) {
	if c.draining.Load() {
		return
	}
	c.endingSinceAgeNanos.Store(int64(now.Sub(c.acceptedAt)))
	c.draining.Store(true)
	c.pendingFewer.Broadcast() // ends a pause
	if !c.isNew(now) && c.isBusy() {
		c.setReadDeadline(now)
	}
}

// stopEnding lets the connection stay open again.
func (c *connection) stopEnding() {
	c.draining.Store(false)
	c.heldLogged.Store(false)
}

// continueEnding takes the next step towards the end of a connection that is to end: it is called again and
// again until the connection has ended.
func (c *connection) continueEnding(now time.Time) {
	c.pendingFewer.Broadcast() // again: a reader may have begun to wait just before the first time
	switch {
	case c.forcedCloseDue(now):
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

// forcedCloseDue reports whether the connection has had its time to end by itself. One with a request open is
// never closed by force: its end is bounded by the deadline of the request.
func (c *connection) forcedCloseDue(now time.Time) bool {
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

// awaitsRestOfCommand reports whether the rest of a command that was read in part may still arrive.
func (c *connection) awaitsRestOfCommand() bool {
	return c.partialCommand.Load() && c.endingFor(time.Now()) < partialCommandGrace
}
