package frontend

import (
	"strconv"
	"time"
)

const (
	// decimalBase is the base of the integers in responses and forwarded commands.
	decimalBase = 10
	// writeChunkBytes is the size of the chunks in which a response is written. The write deadline may be renewed before
	// each chunk, so that a client that reads a 4 MiB response slowly but steadily is not disconnected, while a client
	// that does not read is disconnected after writeTimeout at most.
	writeChunkBytes = 256 << 10
	// maxWriteDeadlineRenewals limits how often the write deadline is renewed within writeTimeout, since a renewal for
	// every write would be expensive. Each chunk therefore has at least four fifths of writeTimeout.
	maxWriteDeadlineRenewals = 5
)

// respondLine answers a command with a response of one line.
func (c *connection) respondLine(text string) {
	p := &pendingCommand{connection: c}
	if c.enqueue(p) {
		c.complete(p, []byte(text+"\r\n"))
	}
}

// respondInvalid answers an invalid command with an error, and counts it.
func (c *connection) respondInvalid(text string) {
	c.reader.invalidCommandCount++
	c.respondLine("-ERR " + text)
}

// busyResponse returns the response to a rejected request, with its Retry-After in milliseconds, rounded up, if that is
// above 0.
func busyResponse(retryAfter time.Duration) []byte {
	response := []byte("-BUSY")
	if retryAfter > 0 {
		roundedUp := retryAfter + time.Millisecond - 1
		response = strconv.AppendInt(append(response, ' '), roundedUp.Milliseconds(), decimalBase)
	}
	return append(response, "\r\n"...)
}

// complete sets the response of a command, where nil means that the command gets no response, and writes all responses
// that are now next in order.
func (c *connection) complete(p *pendingCommand, response []byte) {
	if p.request != nil {
		c.server.endRequestID(p)
		c.server.metrics.RequestEnded()
		c.server.memoryBudget.AddGarbage(p.budgetedBytes)
		c.server.memoryBudget.Release(p.budgetedBytes)
	}
	defer c.server.signalConnectionCapacity() // runs after mu is unlocked
	c.mu.Lock()
	defer c.mu.Unlock()
	if response == nil {
		response = []byte{} // nil would mean not completed
	}
	p.response = response
	c.writeCompleted()
	if len(c.pending) == 0 {
		c.pending = nil
		c.idleSince = time.Now()
		if c.closing.Load() {
			c.shutDown()
		}
	}
	c.stateChanged.Broadcast()
}

// writeCompleted writes the responses of the pending commands up to the first command without a response. The caller
// holds mu.
func (c *connection) writeCompleted() {
	for len(c.pending) > 0 && c.pending[0].response != nil {
		first := c.pending[0]
		c.pending = c.pending[1:]
		c.pendingBytes -= len(first.raw)
		if !c.peer.isGone() {
			_ = c.write(first.response) // the reader detects the end of the connection
		}
		c.server.memoryBudget.Release(first.takePipelineBytes())
		if first.isRequest {
			c.requestsInFlight.Add(-1)
		}
	}
}

// write writes a response or a piece of one, and closes the connection if that fails. The deadline of writeTimeout
// for each chunk prevents a client that does not read from holding the connection and the memory of the response. The
// caller holds mu.
func (c *connection) write(response []byte) error {
	for len(response) > 0 {
		c.renewWriteDeadline()
		chunk := response[:min(len(response), writeChunkBytes)]
		if _, err := c.conn.Write(chunk); err != nil {
			c.close()
			return err
		}
		response = response[len(chunk):]
	}
	return nil
}

// renewWriteDeadline sets the write deadline, unless it was set less than a fifth of writeTimeout ago.
func (c *connection) renewWriteDeadline() {
	now := time.Now()
	if now.Sub(c.writeDeadlineRenewedAt) <= c.server.writeTimeout()/maxWriteDeadlineRenewals {
		return
	}
	c.writeDeadlineRenewedAt = now
	// SetWriteDeadline fails only on a closed connection, on which the write fails too.
	_ = c.conn.SetWriteDeadline(now.Add(c.server.writeTimeout()))
}
