package frontend

import (
	"bytes"
	"time"

	"fawnplank/internal/resp"
)

const (
	// MaxCommandBytes is the size of the largest command: the largest value, and 64 KiB for the head.
	MaxCommandBytes = resp.MaxValueBytes + maxHeadBytes
	// maxHeadBytes is the size of the largest head: everything up to the body of a request. The protocol limits a value
	// to 64 KiB; only bodies are longer.
	maxHeadBytes = 64 << 10
	// minBufferBytes is the size of a reader's buffer unless a command needs more. It is larger than the head of any
	// usual request. What a buffer needs beyond it comes from the budget for large values.
	minBufferBytes = 4096
	// bufferGrowthFactor bounds what a client can make the server reserve to a multiple of what it has sent, and the
	// memory that copies take to a part of the command's.
	bufferGrowthFactor = 4
)

// keepPartialCommand moves the received part of an incomplete command to the front of the buffer, and grows or shrinks
// the buffer to fit it. It returns false if the connection has to end.
func (c *connection) keepPartialCommand(rest []byte) bool {
	r := &c.reader
	if r.bufferTransferred {
		r.bufferTransferred = false
		r.buffer = nil // no garbage: the pending command holds it
		c.replaceBuffer(make([]byte, max(minBufferBytes, len(rest))))
		if len(rest) > minBufferBytes && !c.acquireBudget(len(rest)-minBufferBytes) {
			return false
		}
	}
	r.bufferedBytes = copy(r.buffer, rest)
	c.hasPartialCommand.Store(r.bufferedBytes > 0 || r.refused.isActive())
	switch {
	case r.bufferedBytes == len(r.buffer):
		return c.growBuffer()
	case r.bufferedBytes == 0 && len(r.buffer) > minBufferBytes:
		c.shrinkBuffer()
	}
	return true
}

// shrinkBuffer replaces an empty buffer by one of the least size, and returns its memory to the budget.
func (c *connection) shrinkBuffer() {
	c.replaceBuffer(make([]byte, minBufferBytes))
	c.reader.bufferedBytes = 0
	c.releaseBudget()
}

// replaceBuffer replaces the buffer, whose bytes are no longer used.
func (c *connection) replaceBuffer(buffer []byte) {
	r := &c.reader
	if len(r.buffer) > minBufferBytes {
		c.server.memoryBudget.AddGarbage(int64(len(r.buffer)))
	}
	r.buffer = buffer
	clear(r.args[:cap(r.args)]) // they would keep the former buffer in memory
}

// growBuffer grows a full buffer to bufferGrowthFactor times its size, or to the size of the command if that is less.
// It returns false if the connection has to end.
func (c *connection) growBuffer() bool {
	r := &c.reader
	incomplete, err := resp.ParseIncompleteCommand(r.buffer[:r.bufferedBytes], r.args)
	r.args = incomplete.Args
	if err != nil { // handleCommands has parsed the same bytes
		c.closeWithError(protocolErrorText(err))
		return false
	}
	if !incomplete.OnlyLastMissing && incomplete.LeastSize > maxHeadBytes || incomplete.LeastSize > MaxCommandBytes {
		c.closeWithError("Protocol error: command too long")
		return false
	}
	size := len(r.buffer)
	grown := max(min(bufferGrowthFactor*size, incomplete.LeastSize), size+1)
	acquired, ok := c.acquireForGrowth(&incomplete, grown-size)
	if !acquired {
		return ok
	}
	buffer := make([]byte, grown)
	copy(buffer, r.buffer)
	c.replaceBuffer(buffer)
	return true
}

// acquireForGrowth acquires bytes from the memory budget for the rest of a command. If they are not available in time,
// acquired is false: a request is then being refused, and for any other command the connection has to end, which ok
// states.
func (c *connection) acquireForGrowth(incomplete *resp.IncompleteCommand, bytes int) (acquired, ok bool) {
	request, isRequest := c.parseIncompleteRequest(incomplete)
	if !isRequest {
		acquired = c.acquireBudget(bytes)
		return acquired, acquired
	}
	if c.tryAcquireBudget(bytes, c.requestMemoryWait(&request)) {
		return true, true
	}
	c.startRefusal(&request)
	return false, true
}

// detachFromBuffer makes a command independent of the reader's buffer, which the reader reuses for the next command.
// The bytes of a small command are copied. A large command takes over the buffer, and the reader allocates a new one.
func (c *connection) detachFromBuffer(p *pendingCommand) {
	if len(p.raw) <= minBufferBytes {
		p.raw = bytes.Clone(p.raw)
		return
	}
	p.budgetedBytes = c.reader.budgetedBytes
	c.reader.budgetedBytes = 0
	c.reader.bufferTransferred = true
}

// acquireBudget acquires bytes from the memory budget for a larger buffer. It waits for commandMemoryWait at most. If
// the bytes are not available in time, it closes the connection with an error and returns false.
func (c *connection) acquireBudget(bytes int) bool {
	if c.tryAcquireBudget(bytes, c.commandMemoryWait()) {
		return true
	}
	c.closeWithError("busy: no room for a large value")
	return false
}

// tryAcquireBudget acquires bytes from the memory budget for a larger buffer, so that large commands together do not
// exceed the memory of the process. It returns false if the bytes are not available within the given time.
func (c *connection) tryAcquireBudget(bytes int, timeout time.Duration) bool {
	defer c.activity.enter(readerAwaitsMemory)()
	c.markArrivals() // what arrives during the wait has not arrived before it
	// The client's end is not watched for: no request of the connection is open during a wait (commandMemoryWait).
	acquired, ok := c.server.memoryBudget.Acquire(int64(bytes), time.Now().Add(timeout))
	c.reader.budgetedBytes += acquired
	return ok
}

// releaseBudget returns the bytes acquired for the reader's buffer to the memory budget.
func (c *connection) releaseBudget() {
	c.server.memoryBudget.Release(c.reader.budgetedBytes)
	c.reader.budgetedBytes = 0
}
