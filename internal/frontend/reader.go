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
	// commandTimeout is how long a connection may be silent at first, and how long one command may take to
	// come whole: the protocol wants such a client rejected within 3 s.
	commandTimeout = 2 * time.Second
	// maxCommandBytes is the size of the largest command: a value with its head, and capacity for the rest of
	// its fields.
	maxCommandBytes = resp.MaxValue + 64<<10
	// minBufferBytes is the size of a reader's buffer while it holds no larger command; beyond any head of a
	// request.
	minBufferBytes = 4096
	// maxUnreservedBytes is what a connection's buffer may hold without a reservation in the process's budget
	// for large values: a value of the protocol's 64 KiB with its head.
	maxUnreservedBytes = 68 << 10
	// faultPauseStep is the pause for each invalid command that a connection has sent so far, and
	// maxFaultPause the longest for which a connection that sends invalid commands is not read on.
	faultPauseStep = 10 * time.Millisecond
	maxFaultPause  = 500 * time.Millisecond
	// rejectLinger is how long, and maxDiscardedBytes how much, is read and discarded after an error that
	// ends a connection, so that the error is not lost to a reset. More is not worth the work.
	rejectLinger      = 300 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// reader is what the goroutine that reads a connection works with. No other goroutine uses it.
type reader struct {
	buffer           []byte
	buffered         int      // bytes of buffer that belong to a command that is not whole yet
	words            [][]byte // of the last command, in place
	invalidCommands  int      // that were answered with an error
	reservedBytes    int64    // of the budget, for buffer
	bufferHandedOver bool     // to a large command that is pending
}

// readLoop reads and handles commands until the connection ends.
func (c *connection) readLoop() {
	defer c.end()
	defer func() {
		if x := recover(); x != nil {
			logging.Panicked(logComponent, x, debug.Stack())
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

// fill waits for further bytes and appends them to the buffer; false says that the connection ends.
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
			// Either the command came whole in that moment, or the connection is to end.
			if c.awaitingSinceNanos.Load() != 0 && !c.draining.Load() {
				c.rejectClient("Protocol error: no whole command in time")
				return false
			}
			c.setReadDeadline(time.Time{})
		case err != nil || !c.conn.LastReadWaited() && c.conn.HungUp():
			return false // what waited to be read may be of a client who went long ago
		default:
			r.buffered += count
			return true
		}
	}
}

// shutDownIfDraining ends a connection that is to end, but may be new: nothing more is read before all that
// was handled is answered, and nothing after.
func (c *connection) shutDownIfDraining() {
	if !c.draining.Load() || c.isNew(time.Now()) {
		return
	}
	c.awaitResponses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining.Load() { // the drain may have been called off meanwhile
		c.shutDown()
	}
}

// handleCommands handles the whole commands that input begins with, and returns what lies behind them; false
// says that the connection ends.
func (c *connection) handleCommands(input []byte) (rest []byte, ok bool) {
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
		} else if c.awaitingSinceNanos.Load() != 0 {
			c.awaitingSinceNanos.Store(0)
			c.validated.Store(true)
		}
	}
	return rest, true
}

// protocolErrorText is the text of a protocol error on the wire.
func protocolErrorText(err error) string {
	var malformed *resp.ProtocolError
	if errors.As(err, &malformed) {
		return "Protocol error: " + malformed.Reason
	}
	return err.Error()
}

// pauseAfterFault keeps a client that sends invalid commands waiting, the longer the more of them: the same
// again at once gains it nothing.
func (c *connection) pauseAfterFault() {
	pause := min(time.Duration(c.reader.invalidCommands)*faultPauseStep, maxFaultPause)
	c.waitWatched(func() { c.sleep(pause) })
}

// noteProgress notes since when the rest of a command is awaited. One that is larger than any head is timed
// from its last progress.
func (c *connection) noteProgress(rest []byte) {
	begins := c.awaitingSinceNanos.Load() == 0 && len(rest) > 0
	if begins || len(rest) > minBufferBytes {
		c.awaitingSinceNanos.Store(int64(time.Since(c.acceptedAt)))
	}
}

// keepRest moves the beginning of a command that is not whole yet to the front of the buffer, which grows and
// shrinks with it; false says that the connection ends.
func (c *connection) keepRest(rest []byte) bool {
	r := &c.reader
	if r.bufferHandedOver {
		r.bufferHandedOver = false
		r.buffer = make([]byte, max(minBufferBytes, len(rest)))
		if len(rest) > maxUnreservedBytes && !c.reserve(len(r.buffer)-maxUnreservedBytes) {
			return false
		}
	}
	r.buffered = copy(r.buffer, rest)
	switch {
	case r.buffered == len(r.buffer):
		return c.growBuffer()
	case r.buffered == 0 && len(r.buffer) > minBufferBytes:
		r.buffer = make([]byte, minBufferBytes)
		c.releaseReservation()
	}
	return true
}

// growBuffer doubles a buffer that is full; false says that the connection ends.
func (c *connection) growBuffer() bool {
	r := &c.reader
	if r.buffered >= maxCommandBytes {
		c.rejectClient("Protocol error: command too long")
		return false
	}
	size := len(r.buffer)
	grown := min(2*size, maxCommandBytes)
	if grown > maxUnreservedBytes && !c.reserve(grown-max(size, maxUnreservedBytes)) {
		return false
	}
	r.buffer = append(r.buffer, make([]byte, grown-size)...)
	return true
}

// rejectClient ends the connection with an error, behind all responses that are due on it.
func (c *connection) rejectClient(text string) {
	c.respondLine("-ERR " + text)
	c.awaitResponses()
	c.mu.Lock()
	c.peer = c.peer.reject()
	c.mu.Unlock()
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
