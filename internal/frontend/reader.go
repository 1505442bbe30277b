package frontend

import (
	"errors"
	"os"
	"runtime/debug"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/resp"
)

// reader is the state of the goroutine that reads a connection. No other goroutine uses it.
type reader struct {
	buffer           []byte
	buffered         int           // bytes in buffer that belong to an incomplete command
	words            [][]byte      // of the last command, pointing into buffer
	invalidCommands  int           // answered by respondInvalid; not PING or a request during a drain
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
		c.shutDownIfEnding()
		count, err := c.conn.Read(r.buffer[r.buffered:])
		switch {
		case c.isInputClosed():
			c.linger()
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.endIfOverdue() {
				return false
			}
		case err != nil || c.mayBeLongGone():
			return false
		default:
			r.buffered += count
			r.paused = 0
			r.awaitedCapacity = 0
			return true
		}
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
			c.endWithError(protocolErrorText(err))
			return nil, false
		}
		if size == 0 {
			return rest, true
		}
		valid := c.handleCommand(rest[:size], words)
		if c.isClientGone() {
			return nil, false
		}
		rest = rest[size:]
		if valid {
			c.noteValidCommand()
		} else {
			c.pauseAfterInvalidCommand()
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

// waited returns the time to subtract from a request's d: that of the pauses since its bytes were read. While the
// connection ends, the wait for capacity counts too, since the client's deadline runs on: the end is bounded by the
// deadline of every request.
func (c *connection) waited() time.Duration {
	if c.ending.Load() {
		return c.reader.paused + c.reader.awaitedCapacity
	}
	return c.reader.paused
}
