package frontend

import "time"

const (
	// commandTimeout is how long a new connection may stay without a command, and how long one command may take to
	// arrive completely: the protocol requires that the server closes such a connection with an error within 3 s. Only
	// a valid command ends the wait. A connection is therefore closed with the same error if a command that arrived in
	// parts is complete but invalid and no valid one follows in time, or if a new client sends only invalid commands.
	commandTimeout = 2 * time.Second
	// newConnectionGrace is how long the first command of a new connection may be in transit before the connection
	// counts as silent. It is many times the transit time.
	newConnectionGrace = 200 * time.Millisecond
	// commandWaitStartAtAcceptNanos is the value of commandWaitStartAgeNanos for a connection that has just been
	// accepted. It is the smallest possible age, since 0 means that no command is awaited.
	commandWaitStartAtAcceptNanos = 1
)

// isNew reports whether the first command of the connection is probably still in transit.
func (c *connection) isNew(now time.Time) bool {
	return !c.validated.Load() && now.Sub(c.acceptedAt) < newConnectionGrace
}

// isCommandOverdue reports whether the wait for a valid command has lasted longer than commandTimeout. It limits how
// long clients that send nothing, or an incomplete command, can keep their connections open.
func (c *connection) isCommandOverdue(now time.Time) bool {
	waitStartAge := c.commandWaitStartAgeNanos.Load()
	return waitStartAge != 0 && now.Sub(c.acceptedAt) > time.Duration(waitStartAge)+commandTimeout
}

// closeIfOverdue closes the connection with an error if a command is overdue, and reports whether it did. The reader
// calls it after a read deadline has passed. If no command is overdue, because a valid one has just arrived, or if the
// connection is closing or its close was canceled, the read continues without a deadline.
func (c *connection) closeIfOverdue() (closed bool) {
	if c.isCommandOverdue(time.Now()) && !c.closing.Load() {
		c.closeWithError("Protocol error: no whole command in time")
		return true
	}
	c.setReadDeadline(time.Time{})
	return false
}

// recordCommandProgress starts the wait for the rest of an incomplete command. If the command is larger than any head,
// each further part of it restarts the wait.
func (c *connection) recordCommandProgress(rest []byte) {
	startsCommand := c.commandWaitStartAgeNanos.Load() == 0 && len(rest) > 0
	if startsCommand || len(rest) > minBufferBytes {
		c.restartCommandWait()
	}
}

// restartCommandWait starts the wait for the rest of a command anew.
func (c *connection) restartCommandWait() {
	c.commandWaitStartAgeNanos.Store(int64(time.Since(c.acceptedAt)))
}

// recordValidCommand records that a valid command has arrived, so that no command is awaited until a part of the next
// one arrives. An invalid command does not end the wait for a valid one, which stays limited by commandTimeout.
func (c *connection) recordValidCommand() {
	if c.commandWaitStartAgeNanos.Load() == 0 {
		return
	}
	c.commandWaitStartAgeNanos.Store(0)
	c.validated.Store(true)
}
