package backend

import (
	"bytes"
	"time"

	"fawnplank/internal/resp"
)

const (
	// defaultBufferBytes is the size of the buffer that each reader keeps. For a larger response, the reader uses a
	// larger buffer temporarily.
	defaultBufferBytes = 4 << 10
	// maxUnbudgetedBytes is how large a buffer may grow without memory from the budget. It holds a response with a
	// value of the protocol's 64 KiB.
	maxUnbudgetedBytes = 68 << 10
	// bufferMemoryTimeout is how long a reader waits for memory for a large response.
	bufferMemoryTimeout = longestDeadline
)

// growBuffer returns a buffer that contains the bytes in buffer and is as large as the response will be according to
// those bytes. It returns buffer itself if the response would be too large or if no memory became available for it
// in time.
func (c *conn) growBuffer(buffer []byte) []byte {
	size := grownSize(buffer)
	if size <= len(buffer) || !c.acquireBudget(size) {
		return buffer
	}
	return append(make([]byte, 0, size), buffer...)[:size]
}

// grownSize returns the size in bytes of the buffer for the response that begins with the bytes in the full buffer:
// the size according to the lengths in the response, at least twice the buffer and at most maxResponseBytes.
func grownSize(buffer []byte) int {
	// Both lengths are valid: parseResponse rejects an invalid length before the buffer is full.
	count, _ := resp.ParseLength(buffer, '*', maxParts)
	value, _ := resp.ParseLength(buffer[count.Size:], '$', resp.MaxValueBytes)
	expectedBytes := count.Size + value.Size + value.Value + maxLineBytes
	return min(max(2*len(buffer), expectedBytes), maxResponseBytes)
}

// acquireBudget waits until the memory budget provides what a buffer of the given size needs beyond
// maxUnbudgetedBytes. The budget keeps the total of all large responses from exceeding the memory of the process.
// bufferMemoryTimeout keeps the wait from outlasting the request, if its deadline is at most longestDeadline. The
// connection is not read during the wait. acquireBudget returns false if the memory did not become available in time.
func (c *conn) acquireBudget(bufferBytes int) bool {
	missingBytes := int64(max(bufferBytes-maxUnbudgetedBytes, 0)) - c.budgetedBytes
	if missingBytes <= 0 {
		return true
	}
	acquired, ok := c.pool.budget.Acquire(missingBytes, time.Now().Add(bufferMemoryTimeout))
	c.budgetedBytes += acquired // acquired is 0 after a failure
	return ok
}

// detachValue separates a value from the reader's buffer: a value in a large buffer keeps that buffer, and any other
// value is copied. It returns the buffer that the reader uses from now on, and the value.
func (c *conn) detachValue(buffer, value []byte) (next, detached []byte) {
	if len(buffer) > defaultBufferBytes {
		c.releaseBudget()
		return make([]byte, defaultBufferBytes), value
	}
	return buffer, bytes.Clone(value)
}

// releaseBudget returns the buffer's share of the memory budget.
func (c *conn) releaseBudget() {
	c.pool.budget.Release(c.budgetedBytes)
	c.budgetedBytes = 0
}
