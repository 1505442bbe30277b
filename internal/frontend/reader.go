package frontend

import (
	"errors"
	"os"
	"runtime/debug"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/resp"
)

const (
	// commandTimeout is how long a new connection may be silent, and how long one command may take to arrive
	// completely: the protocol requires that such a client is rejected within 3 s.
	commandTimeout = 2 * time.Second
	// maxCommandBytes is the size of the largest command: a value with its head, and room for the rest of its
	// fields.
	maxCommandBytes = resp.MaxValue + 64<<10
	// minBufferBytes is the size of a reader's buffer while it holds no larger command. It is larger than any
	// head of a request.
	minBufferBytes = 4096
	// maxUnbudgetedBytes is how much a connection's buffer may hold without taking memory from the
	// budget for large values: a value of the protocol's 64 KiB with its head.
	maxUnbudgetedBytes = 68 << 10
	// After an invalid command the server stops reading the connection for a while: faultPauseStep for each
	// invalid command that the connection has sent so far, but maxFaultPause at most.
	faultPauseStep = 10 * time.Millisecond
	maxFaultPause  = 500 * time.Millisecond
	// After an error that ends a connection, the server reads and discards input for up to rejectLinger and up
	// to maxDiscardedBytes, so that the error is not lost to a reset. Reading more is not worth the work.
	rejectLinger      = 300 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// reader is the state of the goroutine that reads a connection. No other goroutine uses it.
type reader struct {
	buffer           []byte
	buffered         int           // bytes in buffer that belong to an incomplete command
	words            [][]byte      // of the last command, pointing into buffer
	invalidCommands  int           // number of commands answered with an error
	paused           time.Duration // since the last read, after invalid commands
	awaitedCapacity  time.Duration // since the last read, among the pending commands
	budgetedBytes    int64         // of the budget, for buffer
	bufferHandedOver bool          // buffer now belongs to a large pending command
}

// readLoop reads and handles commands until the connection ends.
func (c *connection) readLoop() {
	defer c.end()
	defer func() {
		if cause := recover(); cause != nil {
			logging.Panicked(logComponent, cause, debug.Stack())
		}
	}()
	r := &c.reader
	r.buffer = make([]byte, minBufferBytes)
	for c.fill() {
		rest, ok := c.handleCommands(r.buffer[:r.buffered])
		if !ok {
			return
		}
		c.noteProgress(rest)
		if !c.keepRest(rest) {
			return
		}
	}
}

// fill waits for more bytes and appends them to the buffer. It returns false if the connection ends.
func (c *connection) fill() bool {
	r := &c.reader
	for {
		c.inputHandled()
		c.shutDownIfDraining()
		count, err := c.conn.Read(r.buffer[r.buffered:])
		switch {
		case c.isInputClosed():
			c.linger()
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			// If no command is overdue, it has just arrived completely, or the connection is, or was, to end.
			if c.commandOverdue(time.Now()) && !c.draining.Load() {
				c.rejectClient("Protocol error: no whole command in time")
				return false
			}
			c.setReadDeadline(time.Time{})
		case err != nil || !c.conn.LastReadWaited() && c.conn.HungUp():
			return false // the unread bytes may be from a client that left long ago
		default:
			r.buffered += count
			r.paused = 0
			r.awaitedCapacity = 0
			return true
		}
	}
}

// shutDownIfDraining ends a draining connection unless it is new or the rest of a command may still arrive. It
// waits until everything handled so far is answered. Nothing is read while it waits, nor afterwards.
func (c *connection) shutDownIfDraining() {
	if !c.draining.Load() || c.isNew(time.Now()) {
		return
	}
	if c.awaitsRestOfCommand() {
		c.setReadDeadline(time.Now().Add(partialCommandGrace))
		return
	}
	c.awaitResponses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining.Load() { // the drain may have been called off meanwhile
		c.shutDown()
	}
}

// handleCommands handles the complete commands at the beginning of input and returns the bytes after them. It
// returns false if the connection ends.
func (c *connection) handleCommands(input []byte) (rest []byte, ok bool) {
	defer c.activity.enter(readerHandles)()
	r := &c.reader
	for rest = input; len(rest) > 0; {
		size, words, err := resp.Command(rest, r.words)
		r.words = words
		if err != nil {
			c.rejectClient(protocolErrorText(err))
			return nil, false
		}
		if size == 0 {
			return rest, true
		}
		invalidBefore := r.invalidCommands
		c.handleCommand(rest[:size], words)
		if c.isClientGone() {
			return nil, false
		}
		rest = rest[size:]
		if r.invalidCommands > invalidBefore {
			c.pauseAfterFault()
		} else if c.awaitingFromAgeNanos.Load() != 0 {
			c.awaitingFromAgeNanos.Store(0)
			c.validated.Store(true)
		}
	}
	return rest, true
}

// protocolErrorText returns the text of a protocol error as sent on the wire.
func protocolErrorText(err error) string {
	var malformed *resp.ProtocolError
	if errors.As(err, &malformed) {
		return "Protocol error: " + malformed.Reason
	}
	return err.Error()
}

// pauseAfterFault makes a client that sends invalid commands wait, longer with each of them, so that the
// client gains nothing by repeating the same command at once.
func (c *connection) pauseAfterFault() {
	if c.draining.Load() {
		return
	}
	pause := min(time.Duration(c.reader.invalidCommands)*faultPauseStep, maxFaultPause)
	began := time.Now()
	c.waitWatched(readerPauses, func() { c.sleep(pause) })
	c.reader.paused += time.Since(began)
}

// waited returns how much of the time of a request that was read last has passed before it is handled. Waiting
// for the responses before it does not count, except at the end of the connection, which the deadline of every
// request bounds.
func (c *connection) waited() time.Duration {
	if c.draining.Load() {
		return c.reader.paused + c.reader.awaitedCapacity
	}
	return c.reader.paused
}

// noteProgress records since when the rest of a command is awaited. A command that is larger than any head is
// timed from its last progress.
func (c *connection) noteProgress(rest []byte) {
	begins := c.awaitingFromAgeNanos.Load() == 0 && len(rest) > 0
	if begins || len(rest) > minBufferBytes {
		c.awaitingFromAgeNanos.Store(int64(time.Since(c.acceptedAt)))
	}
}

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
	c.partialCommand.Store(r.buffered > 0)
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
		c.rejectClient("Protocol error: command too long")
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

// rejectClient ends the connection with an error, which follows all responses that are due on it.
func (c *connection) rejectClient(text string) {
	c.respondLine("-ERR " + text)
	c.awaitResponses()
	c.mu.Lock()
	c.peer = c.peer.reject()
	c.mu.Unlock()
	defer c.activity.enter(readerRejects)()
	c.closeWrite()
	c.setReadDeadline(time.Now().Add(rejectLinger))
	buffer := make([]byte, minBufferBytes)
	for discarded := 0; discarded < maxDiscardedBytes; {
		count, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += count
	}
}
