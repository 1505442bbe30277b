package frontend

import (
	"errors"
	"os"
	"time"
)

// Limits on the input that the server reads and discards after an error that closes a connection. Discarding more is
// not worth the work.
const (
	errorLinger       = 300 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// discardInterval is the interval at which the reader checks for the last response while it discards input.
const discardInterval = 10 * time.Millisecond

// closeWithError responds with an error after all responses that are due, and closes the connection.
func (c *connection) closeWithError(text string) {
	c.shrinkBuffer() // nothing more is parsed
	c.respondLine("-ERR " + text)
	discarded, ended := c.discardUntilAnswered()
	if ended {
		return
	}
	c.awaitResponses()
	c.mu.Lock()
	c.peer = c.peer.afterError()
	c.mu.Unlock()
	c.closeWrite()
	c.discardInput(discarded)
}

// discardUntilAnswered reads and discards input while responses are due, so that the client's end is detected behind
// unread bytes: no attempts are made for a client that has left. It returns the number of bytes discarded, and whether
// the client has disconnected.
func (c *connection) discardUntilAnswered() (discarded int, ended bool) {
	defer c.activity.enter(readerDiscards)()
	for discarded < maxDiscardedBytes && c.isBusy() {
		c.setReadDeadline(time.Now().Add(discardInterval))
		count, err := c.conn.Read(c.reader.buffer)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.handleClientGone()
			return discarded, true
		}
		discarded += count
	}
	return discarded, false
}

// discardInput reads and discards what the client still sends, if less than the given number of bytes was discarded
// before. Without it the error could be lost: a close with unread bytes resets the connection, and a client that is
// still sending would not receive what it has not read yet.
func (c *connection) discardInput(discarded int) {
	defer c.activity.enter(readerDiscards)()
	c.setReadDeadline(time.Now().Add(errorLinger))
	for discarded < maxDiscardedBytes {
		count, err := c.conn.Read(c.reader.buffer)
		if err != nil {
			return
		}
		discarded += count
	}
}
