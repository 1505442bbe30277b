package frontend

import (
	"bytes"
	"time"

	"fawnplank/internal/resp"
)

const (
	// maxCommandBytes is the size of the largest command: the largest value, and 64 KiB for the head.
	maxCommandBytes = resp.MaxValueBytes + 64<<10
	// minBufferBytes is the size of a reader's buffer unless a command needs more. It is larger than the head of any
	// request.
	minBufferBytes = 4096
	// maxUnbudgetedBytes is the size up to which a connection's buffer takes no memory from the budget for large
	// values. It is sufficient for the protocol's value of 64 KiB and a head.
	maxUnbudgetedBytes = 68 << 10
)

// keepPartialCommand moves the received part of an incomplete command to the front of the buffer, and grows or shrinks
// the buffer to fit it. It returns false if the connection has to end.
func (c *connection) keepPartialCommand(rest []byte) bool {
	r := &c.reader
	if r.bufferTransferred {
		r.bufferTransferred = false
		r.buffer = make([]byte, max(minBufferBytes, len(rest)))
		if len(rest) > maxUnbudgetedBytes && !c.acquireBudget(len(r.buffer)-maxUnbudgetedBytes) {
			return false
		}
	}
	r.bufferedBytes = copy(r.buffer, rest)
	c.hasPartialCommand.Store(r.bufferedBytes > 0 || r.refused.isActive())
	switch {
	case r.bufferedBytes == len(r.buffer):
		return c.growBuffer()
	case r.bufferedBytes == 0 && len(r.buffer) > minBufferBytes:
		r.buffer = make([]byte, minBufferBytes)
		c.releaseBudget()
	}
	return true
}

// growBuffer doubles a full buffer, up to maxCommandBytes. It returns false if the connection has to end.
func (c *connection) growBuffer() bool {
	r := &c.reader
	if r.bufferedBytes >= maxCommandBytes {
		c.closeWithError("Protocol error: command too long")
		return false
	}
	size := len(r.buffer)
	grown := min(2*size, maxCommandBytes)
	if grown > maxUnbudgetedBytes {
		if acquired, ok := c.acquireForGrowth(grown - max(size, maxUnbudgetedBytes)); !acquired {
			return ok
		}
	}
	r.buffer = append(r.buffer, make([]byte, grown-size)...)
	return true
}

// acquireForGrowth acquires bytes from the memory budget for the rest of a command. If they are not available in time,
// acquired is false: a request is then being refused, and for any other command the connection has to end, which ok
// states.
func (c *connection) acquireForGrowth(bytes int) (acquired, ok bool) {
	request, isRequest := c.parseIncompleteRequest()
	if !isRequest {
		acquired = c.acquireBudget(bytes)
		return acquired, acquired
	}
	if c.tryAcquireBudget(bytes, c.memoryWaitLimit(&request)) {
		return true, true
	}
	c.startRefusal(&request)
	return false, true
}

// detachFromBuffer makes a command independent of the reader's buffer, which the reader reuses for the next command.
// The bytes of a small command are copied. A large command takes over the buffer, and the reader allocates a new one.
func (c *connection) detachFromBuffer(p *pendingCommand) {
	if len(p.raw) <= maxUnbudgetedBytes {
		p.raw = bytes.Clone(p.raw)
		return
	}
	p.budgetedBytes = c.reader.budgetedBytes
	c.reader.budgetedBytes = 0
	c.reader.bufferTransferred = true
}

// acquireBudget acquires bytes from the memory budget for a larger buffer. It waits for commandTimeout at most, as long
// as a command may take to arrive. If the bytes are not available in time, it closes the connection with an error and
// returns false.
func (c *connection) acquireBudget(bytes int) bool {
	if c.tryAcquireBudget(bytes, commandTimeout) {
		return true
	}
	c.closeWithError("busy: no room for a large value")
	return false
}

// tryAcquireBudget acquires bytes from the memory budget for a larger buffer, so that large commands together do not
// exceed the memory of the process. It returns false if the bytes are not available within the given time.
func (c *connection) tryAcquireBudget(bytes int, timeout time.Duration) (ok bool) {
	var acquired int64
	c.waitWatchingHangUp(readerAwaitsMemory, func() {
		acquired, ok = c.server.memoryBudget.Acquire(int64(bytes), time.Now().Add(timeout))
	})
	c.reader.budgetedBytes += acquired
	return ok
}

// releaseBudget returns the bytes acquired for the reader's buffer to the memory budget.
func (c *connection) releaseBudget() {
	c.server.memoryBudget.Release(c.reader.budgetedBytes)
	c.reader.budgetedBytes = 0
}
