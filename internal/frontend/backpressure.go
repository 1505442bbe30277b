package frontend

import (
	"sync/atomic"
	"time"
)

const (
	// maxPendingCommands is how many commands of one connection may be pending at once; beyond that the reader
	// waits. Typical clients keep one command pending on each connection, so a client that sends hundreds at
	// once waits only for itself.
	maxPendingCommands = 32
	// maxPendingBytes is how many bytes of one connection's pending commands are held; beyond that the reader
	// waits.
	maxPendingBytes = 2 * maxCommandBytes
)

// enqueue appends a command to the pending ones once there is capacity for it. It returns false if the client
// has gone or the input is closed.
func (c *connection) enqueue(p *pendingCommand) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFull() {
		c.mu.Unlock() // awaitWatched takes it
		began := time.Now()
		c.awaitWatched(readerAwaitsCapacity, c.isFull)
		c.reader.awaitedCapacity += time.Since(began)
		c.mu.Lock()
	}
	if c.peer.gone() || c.isInputClosed() {
		return false
	}
	c.pending = append(c.pending, p)
	if p.isRequest {
		c.requestsOpen.Add(1)
	}
	c.pendingBytes += len(p.raw)
	return true
}

// isFull reports whether no further command may become pending. The caller holds mu. Once the connection is to
// end nothing more is read, and what has been read is submitted at once: it has to be answered before the end.
func (c *connection) isFull() bool {
	if c.draining.Load() {
		return false
	}
	return len(c.pending) >= maxPendingCommands || c.pendingBytes > maxPendingBytes
}

// hasPending reports whether commands are pending. The caller holds mu.
func (c *connection) hasPending() bool { return len(c.pending) > 0 }

// awaitResponses waits until nothing is pending on the connection or the client has gone. The caller must not
// hold mu.
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
		for !c.peer.gone() && condition() {
			c.pendingFewer.Wait()
		}
	})
}

// waitWatched calls wait, which blocks the reader, while another goroutine watches for the client's hang-up.
// While nobody reads, a hang-up behind unread bytes would go unnoticed, and open requests would be sent on
// for nobody. This prevents attempts from being started for clients that sent more than is read at once and
// then left.
func (c *connection) waitWatched(activity readerActivity, wait func()) {
	defer c.activity.enter(activity)()
	var over atomic.Bool
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		c.watchHangUp(&over)
	}()
	wait()
	over.Store(true)
	c.setReadDeadline(time.Now())
	<-watchEnded
	c.setReadDeadline(time.Time{})
}

// watchHangUp waits for the client's hang-up until over is set. It checks over each time a read deadline has
// passed.
func (c *connection) watchHangUp(over *atomic.Bool) {
	for !over.Load() {
		if c.conn.AwaitHangUp() {
			c.clientGone()
			return
		}
		c.setReadDeadline(time.Time{}) // the sweep's; over is set before waitWatched's deadline and read after this
	}
}

// sleep waits for the duration, or until the client has gone or the connection is to end.
func (c *connection) sleep(duration time.Duration) {
	over := false
	timer := time.AfterFunc(duration, func() {
		c.mu.Lock()
		over = true
		c.mu.Unlock()
		c.pendingFewer.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.peer.gone() && !c.draining.Load() && !over {
		c.pendingFewer.Wait()
	}
}

// acquireBudget acquires bytes from the budget for a larger buffer. It waits for as long as a command may take to
// arrive completely. It returns false if the bytes did not come free; the client has then been rejected.
func (c *connection) acquireBudget(bytes int) bool {
	var acquired int64
	var ok bool
	c.waitWatched(readerAwaitsMemory, func() {
		acquired, ok = c.server.budget.Acquire(int64(bytes), time.Now().Add(commandTimeout))
	})
	if !ok {
		c.rejectClient("busy: no room for a large value")
		return false
	}
	c.reader.budgetedBytes += acquired
	return true
}

// releaseBudget returns the bytes acquired for the reader's buffer to the budget.
func (c *connection) releaseBudget() {
	c.server.budget.Release(c.reader.budgetedBytes)
	c.reader.budgetedBytes = 0
}
