package frontend

import "time"

const (
	// pipelinedCommandBytes is the memory that a request holds until its response is written, besides its own bytes.
	pipelinedCommandBytes = 8 << 10
	// maxPendingCommands limits the pending commands of one connection; the reader waits while the limit is reached.
	// Typical clients keep one command pending on each connection, so a client that sends hundreds at once delays
	// only its own commands.
	maxPendingCommands = 32
	// maxPendingBytes limits the total size of the pending commands of one connection; the reader waits while it is
	// exceeded.
	maxPendingBytes = 2 * MaxCommandBytes
)

// enqueue appends a command to the pending commands once there is capacity for it. It returns false if the client has
// disconnected or the input is closed.
func (c *connection) enqueue(p *pendingCommand) bool {
	c.lockForEnqueue(p)
	defer c.mu.Unlock()
	if c.peer.isGone() || c.isInputClosed() {
		c.server.memoryBudget.Release(p.takePipelineBytes())
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
// client that sends commands faster than they are answered from exhausting the memory. mu itself may be held for as
// long as an earlier response is written.
func (c *connection) lockForEnqueue(p *pendingCommand) {
	mayNotEnqueue := func() bool { return c.isPendingFull() || !c.acquirePipelineBytes(p) }
	if c.mu.TryLock() {
		if !mayNotEnqueue() {
			return
		}
		c.mu.Unlock() // waitWhile acquires it
	}
	start := time.Now()
	c.waitWhile(readerAwaitsPendingCapacity, mayNotEnqueue)
	c.mu.Lock()
	c.reader.arrivals.recordOrderedWait(time.Since(start))
}

// acquirePipelineBytes acquires the memory that a request holds behind other commands from the budget, and reports
// whether it did. The first pending command of a connection needs none, so that each connection can have one; nor do
// commands that are answered at once, since they hold little. The caller holds mu.
// While the connection is closing, commands are taken without memory, as isPendingFull explains.
func (c *connection) acquirePipelineBytes(p *pendingCommand) bool {
	if !p.isRequest || p.pipelineBytes > 0 || !c.hasPendingCommands() || c.closing.Load() {
		return true
	}
	bytes := int64(pipelinedCommandBytes + len(p.raw))
	if !c.server.memoryBudget.TryAcquire(bytes) {
		return false
	}
	p.pipelineBytes = bytes
	return true
}

// takePipelineBytes returns the bytes acquired by acquirePipelineBytes, which the caller must release.
func (p *pendingCommand) takePipelineBytes() int64 {
	bytes := p.pipelineBytes
	p.pipelineBytes = 0
	return bytes
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
