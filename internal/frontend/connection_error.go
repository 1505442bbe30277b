package frontend

import "time"

// After an error that ends a connection, the server reads and discards input for up to errorLinger and up to
// maxDiscardedBytes. Reading more is not worth the work.
const (
	errorLinger       = 300 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// endWithError ends the connection with an error, which follows all responses that are due on it.
func (c *connection) endWithError(text string) {
	c.respondLine("-ERR " + text)
	c.awaitResponses()
	c.mu.Lock()
	c.peer = c.peer.afterError()
	c.mu.Unlock()
	c.closeWrite()
	c.discardInput()
}

// discardInput reads and discards what the client still sends. It guards against the loss of the error: a close over
// unread bytes resets the connection, and a client that is still sending would not get what it has not read yet.
func (c *connection) discardInput() {
	defer c.activity.enter(readerDiscards)()
	c.setReadDeadline(time.Now().Add(errorLinger))
	buffer := make([]byte, minBufferBytes)
	for discarded := 0; discarded < maxDiscardedBytes; {
		count, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += count
	}
}
