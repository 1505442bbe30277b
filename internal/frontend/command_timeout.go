package frontend

import "time"

const (
	// commandTimeout is how long a new connection may be silent, and how long one command may take to arrive
	// completely: the protocol requires that the server ends such a connection with an error within 3 s. Only a valid
	// command ends the wait. So a connection ends with the same error if a command that arrived in parts is complete
	// but invalid and no valid one follows in time, or if a new client sends nothing but invalid commands.
	commandTimeout = 2 * time.Second
	// newConnectionGrace is how long a new connection's first command may be in transit before the connection
	// counts as silent; it is many times the transit time.
	newConnectionGrace = 200 * time.Millisecond
	// awaitingFromAcceptNanos is the awaitingFromAgeNanos of a connection that has just been accepted: the smallest
	// age, since 0 means that no command is awaited.
	awaitingFromAcceptNanos = 1
)

// isNew reports whether the connection's first command is probably still in transit.
func (c *connection) isNew(now time.Time) bool {
	return !c.validated.Load() && now.Sub(c.acceptedAt) < newConnectionGrace
}

// isCommandOverdue reports whether the wait for a valid command has lasted longer than commandTimeout. It guards
// against clients that say nothing, or send half a command, and keep their connection open for good.
func (c *connection) isCommandOverdue(now time.Time) bool {
	fromAge := c.awaitingFromAgeNanos.Load()
	return fromAge != 0 && now.Sub(c.acceptedAt) > time.Duration(fromAge)+commandTimeout
}

// endIfOverdue ends the connection with an error if a command is overdue, after a read deadline has passed. It
// returns whether it did. If it did not, a valid command has just arrived, or the connection is, or was, to end, and
// the read goes on without a deadline.
func (c *connection) endIfOverdue() (ended bool) {
	if c.isCommandOverdue(time.Now()) && !c.ending.Load() {
		c.endWithError("Protocol error: no whole command in time")
		return true
	}
	c.setReadDeadline(time.Time{})
	return false
}

// noteProgress records since when the rest of a command is awaited. A command that is larger than any head is
// timed from its last progress.
func (c *connection) noteProgress(rest []byte) {
	begins := c.awaitingFromAgeNanos.Load() == 0 && len(rest) > 0
	if begins || len(rest) > minBufferBytes {
		c.awaitingFromAgeNanos.Store(int64(time.Since(c.acceptedAt)))
	}
}

// noteValidCommand records that a valid command has arrived, so that none is awaited until a part of another arrives.
// Only a valid command ends the wait: an invalid one leaves commandTimeout running.
func (c *connection) noteValidCommand() {
	if c.awaitingFromAgeNanos.Load() == 0 {
		return
	}
	c.awaitingFromAgeNanos.Store(0)
	c.validated.Store(true)
}
