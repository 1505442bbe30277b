package frontend

import "time"

const (
	// maxPendingCommands is how many commands of one connection may be pending at once; beyond that the reader
	// waits. Typical clients keep one command pending on each connection, so a client that sends hundreds at
	// once waits only for itself.
	maxPendingCommands = 32
	// maxPendingBytes is how many bytes the pending commands of one connection may have together; beyond that the
	// reader waits.
	maxPendingBytes = 2 * maxCommandBytes
)

// enqueue appends a command to the pending ones once there is capacity for it. It returns false if the client
// has gone or the input is closed.
func (c *connection) enqueue(p *pendingCommand) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFull() {
		c.mu.Unlock() // awaitCapacity takes it
		c.awaitCapacity()
		c.mu.Lock()
	}
	if c.peer.isGone() || c.isInputClosed() {
		return false
	}
	c.pending = append(c.pending, p)
	if p.isRequest {
		c.requestsOpen.Add(1)
	}
	c.pendingBytes += len(p.raw)
	return true
}

// awaitCapacity waits until a further command may become pending or the client has gone. It guards against a client
// that sends faster than it is answered and would fill the memory. The caller must not hold mu.
func (c *connection) awaitCapacity() {
	began := time.Now()
	c.awaitWatched(readerAwaitsCapacity, c.isFull)
	c.reader.awaitedCapacity += time.Since(began)
}

// isFull reports whether no further command may become pending. The caller holds mu. Once the connection is to
// end nothing more is read, and what has been read is submitted at once: it has to be answered before the end.
func (c *connection) isFull() bool {
	if c.ending.Load() {
		return false
	}
	return len(c.pending) >= maxPendingCommands || c.pendingBytes > maxPendingBytes
}

// hasPending reports whether commands are pending. The caller holds mu.
func (c *connection) hasPending() bool { return len(c.pending) > 0 }

// awaitResponses waits until nothing is pending on the connection or the client has gone. It guards against an end
// of the connection that overtakes a response. The caller must not hold mu.
func (c *connection) awaitResponses() {
	c.mu.Lock()
	pending := c.hasPending()
	c.mu.Unlock()
	if pending {
		c.awaitWatched(readerAwaitsResponses, c.hasPending)
	}
}

// awaitWatched waits while condition holds and the client has not gone. It calls condition with mu held.
func (c *connection) awaitWatched(activity readerActivity, condition func() bool) {
	c.waitWatched(activity, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for !c.peer.isGone() && condition() {
			c.stateChanged.Wait()
		}
	})
}
