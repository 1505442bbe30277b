package frontend

import "time"

const (
	// maxPendingCommands limits the pending commands of one connection; the reader waits while the limit is reached.
	// Typical clients keep one command pending on each connection, so a client that sends hundreds at once delays
	// only its own commands.
	maxPendingCommands = 32
	// maxPendingBytes limits the total size of the pending commands of one connection; the reader waits while it is
	// exceeded.
	maxPendingBytes = 2 * maxCommandBytes
)

// enqueue appends a command to the pending commands once there is capacity for it. It returns false if the client has
// disconnected or the input is closed.
func (c *connection) enqueue(p *pendingCommand) bool {
	c.lockForEnqueue()
	defer c.mu.Unlock()
	if c.peer.isGone() || c.isInputClosed() {
		return false
	}
	c.pending = append(c.pending, p)
	if p.isRequest {
		c.requestsInFlight.Add(1)
	}
	c.pendingBytes += len(p.raw)
	return true
}

// lockForEnqueue locks mu once another command may become pending or the client has disconnected. The limit keeps a
// client that sends commands faster than they are answered from exhausting the memory. mu itself may be held for as long
// as an earlier response is written.
func (c *connection) lockForEnqueue() {
	if c.mu.TryLock() {
		if !c.isPendingFull() {
			return
		}
		c.mu.Unlock() // waitWhile acquires it
	}
	start := time.Now()
	c.waitWhile(readerAwaitsPendingCapacity, c.isPendingFull)
	c.mu.Lock()
	c.reader.arrivals.recordOrderedWait(time.Since(start))
}

// isPendingFull reports whether no further command may become pending. The caller holds mu. While the connection is
// closing, nothing more is read, and the commands that were read are submitted without waiting for capacity, because
// they have to be answered before the close.
func (c *connection) isPendingFull() bool {
	if c.closing.Load() {
		return false
	}
	return len(c.pending) >= maxPendingCommands || c.pendingBytes > maxPendingBytes
}

// hasPendingCommands reports whether commands are pending. The caller holds mu.
func (c *connection) hasPendingCommands() bool { return len(c.pending) > 0 }

// awaitResponses waits until no command is pending or the client has disconnected, so that the connection is not closed
// before its last response is written. The caller must not hold mu.
func (c *connection) awaitResponses() {
	c.mu.Lock()
	pending := c.hasPendingCommands()
	c.mu.Unlock()
	if pending {
		c.waitWhile(readerAwaitsResponses, c.hasPendingCommands)
	}
}

// waitWhile waits while condition holds and the client has not disconnected. It calls condition with mu held.
func (c *connection) waitWhile(activity readerActivity, condition func() bool) {
	c.waitWatchingHangUp(activity, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for !c.peer.isGone() && condition() {
			c.stateChanged.Wait()
		}
	})
}
