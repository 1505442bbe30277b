package frontend

import "time"

// Limits on the input that the server reads and discards after an error that closes a connection. Discarding more is
// not worth the work.
const (
	errorLinger       = 300 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// closeWithError responds with an error after all responses that are due, and closes the connection.
func (c *connection) closeWithError(text string) {
	c.respondLine("-ERR " + text)
	c.awaitResponses()
	c.mu.Lock()
	c.peer = c.peer.afterError()
	c.mu.Unlock()
	c.closeWrite()
	c.discardInput()
}

// discardInput reads and discards what the client still sends. Without it the error could be lost: a close with unread
// bytes resets the connection, and a client that is still sending would not receive what it has not read yet.
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
