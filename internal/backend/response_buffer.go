package backend

import (
	"bytes"
	"time"

	"fawnplank/internal/resp"
)

const (
	// plainBufferBytes is the size of the buffer that each reader keeps. For a larger response the reader uses a
	// larger buffer temporarily.
	plainBufferBytes = 4 << 10
	// maxUnbudgetedBytes is how large a buffer may grow without taking memory from the budget: a response with a
	// value of the protocol's 64 KiB.
	maxUnbudgetedBytes = 68 << 10
	// bufferMemoryTimeout is how long a reader waits for memory for a large response.
	bufferMemoryTimeout = longestDeadline
)

// growBuffer returns a buffer that contains the bytes in buffer and has the size that the response will have
// according to those bytes. It returns buffer itself if the response would be too large or if no memory came
// free for it in time.
func (c *conn) growBuffer(buffer []byte) []byte {
	size := grownSize(buffer)
	if size <= len(buffer) || !c.acquireBudget(size) {
		return buffer
	}
	return append(make([]byte, 0, size), buffer...)[:size]
}

// grownSize returns the size in bytes of the buffer for the response that begins with the bytes in the full
// buffer: what its lengths say, at least twice the buffer, and at most maxResponseBytes.
func grownSize(buffer []byte) int {
	// Both are valid: parseResponse refuses a length that is not, before the buffer is full.
	count, _ := resp.ParseLength(buffer, '*', maxParts)
	value, _ := resp.ParseLength(buffer[count.Size:], '$', resp.MaxValue)
	expectedBytes := count.Size + value.Size + value.Value + maxLineBytes
	return min(max(2*len(buffer), expectedBytes), maxResponseBytes)
}

// acquireBudget waits until the memory budget has what a buffer of the given size needs beyond
// maxUnbudgetedBytes. It guards against large responses that together exceed the memory of the process, and, by
// bufferMemoryTimeout, against waiting for longer than a request does whose deadline is at most longestDeadline. While
// it waits, the connection is not read. It returns false if the memory did not come free.
func (c *conn) acquireBudget(bufferBytes int) bool {
	missingBytes := int64(max(bufferBytes-maxUnbudgetedBytes, 0)) - c.budgetedBytes
	if missingBytes <= 0 {
		return true
	}
	acquired, ok := c.pool.budget.Acquire(missingBytes, time.Now().Add(bufferMemoryTimeout))
	c.budgetedBytes += acquired // 0 if it failed
	return ok
}

// detachValue separates a value from the reader's buffer: a value in a large buffer keeps that buffer, and
// any other value is copied. It returns the buffer to continue with, and the value.
func (c *conn) detachValue(buffer, value []byte) (next, detached []byte) {
	if len(buffer) > plainBufferBytes {
		c.releaseBudget()
		return make([]byte, plainBufferBytes), value
	}
	return buffer, bytes.Clone(value)
}

// releaseBudget returns the buffer's share to the memory budget.
func (c *conn) releaseBudget() {
	c.pool.budget.Release(c.budgetedBytes)
	c.budgetedBytes = 0
}
