package frontend

import (
	"bytes"
	"time"

	"fawnplank/internal/resp"
)

const (
	// maxCommandBytes is the size of the largest command: a value with its head, and space for the rest of
	// its fields.
	maxCommandBytes = resp.MaxValue + 64<<10
	// minBufferBytes is the size of a reader's buffer while it holds no larger command. It is larger than any
	// head of a request.
	minBufferBytes = 4096
	// maxUnbudgetedBytes is how large a connection's buffer may be without taking memory from the budget for large
	// values: a value of the protocol's 64 KiB with its head.
	maxUnbudgetedBytes = 68 << 10
)

// keepRest moves the received part of an incomplete command to the front of the buffer, and grows or shrinks
// the buffer to fit it. It returns false if the connection ends.
func (c *connection) keepRest(rest []byte) bool {
	r := &c.reader
	if r.bufferHandedOver {
		r.bufferHandedOver = false
		r.buffer = make([]byte, max(minBufferBytes, len(rest)))
		if len(rest) > maxUnbudgetedBytes && !c.acquireBudget(len(r.buffer)-maxUnbudgetedBytes) {
			return false
		}
	}
	r.buffered = copy(r.buffer, rest)
	c.hasPartialCommand.Store(r.buffered > 0)
	switch {
	case r.buffered == len(r.buffer):
		return c.growBuffer()
	case r.buffered == 0 && len(r.buffer) > minBufferBytes:
		r.buffer = make([]byte, minBufferBytes)
		c.releaseBudget()
	}
	return true
}

// growBuffer doubles a full buffer. It returns false if the connection ends.
func (c *connection) growBuffer() bool {
	r := &c.reader
	if r.buffered >= maxCommandBytes {
		c.endWithError("Protocol error: command too long")
		return false
	}
	size := len(r.buffer)
	grown := min(2*size, maxCommandBytes)
	if grown > maxUnbudgetedBytes && !c.acquireBudget(grown-max(size, maxUnbudgetedBytes)) {
		return false
	}
	r.buffer = append(r.buffer, make([]byte, grown-size)...)
	return true
}

// handOver gives the command its own bytes, since the reader reuses the buffer for the next command. A small
// command gets a copy. A large command takes over the buffer itself, and the reader starts a new one.
func (c *connection) handOver(p *pendingCommand) {
	if len(p.raw) <= maxUnbudgetedBytes {
		p.raw = bytes.Clone(p.raw)
		return
	}
	p.budgetedBytes = c.reader.budgetedBytes
	c.reader.budgetedBytes = 0
	c.reader.bufferHandedOver = true
}

// acquireBudget acquires bytes from the budget for a larger buffer. It guards against large commands that together
// exceed the memory of the process. It waits for commandTimeout at most, as long as a command may take to arrive. It
// returns false if the bytes did not come free; the connection has then ended with an error.
func (c *connection) acquireBudget(bytes int) bool {
	var acquired int64
	var ok bool
	c.waitWatched(readerAwaitsMemory, func() {
		acquired, ok = c.server.budget.Acquire(int64(bytes), time.Now().Add(commandTimeout))
	})
	if !ok {
		c.endWithError("busy: no room for a large value")
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
