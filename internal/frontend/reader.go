package frontend

import (
	"errors"
	"os"
	"runtime/debug"
	"time"

	"fawnplank/internal/logging"
	"fawnplank/internal/resp"
)

// reader is the state of the goroutine that reads a connection. No other goroutine accesses it.
type reader struct {
	buffer              []byte
	bufferedBytes       int          // number of bytes of an incomplete command at the start of buffer
	args                [][]byte     // the arguments of the last command, pointing into buffer
	invalidCommandCount int          // commands answered by respondInvalid, which excludes rejections during a drain
	arrivals            arrivalClock // when the bytes of the next command arrived
	budgetedBytes       int64        // bytes acquired from the memory budget for buffer
	bufferTransferred   bool         // a large pending command has taken over buffer
	refused             refusedCommand
}

// readLoop reads and handles commands until the connection ends.
func (c *connection) readLoop() {
	defer c.cleanUp()
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(logComponent, cause, debug.Stack())
		}
	}()
	r := &c.reader
	r.buffer = make([]byte, minBufferBytes)
	for c.fill() {
		rest, ok := c.handleCommands(c.skipRefused(r.buffer[:r.bufferedBytes]))
		if !ok {
			return
		}
		c.recordCommandProgress(rest)
		if !c.keepPartialCommand(rest) {
			return
		}
	}
}

// fill waits for more bytes and appends them to the buffer. It returns false if the connection has to end.
func (c *connection) fill() bool {
	r := &c.reader
	for {
		c.inputHandled()
		c.shutDownIfClosing()
		c.markArrivals()
		count, err := c.conn.Read(r.buffer[r.bufferedBytes:])
		switch {
		case c.isInputClosed():
			c.lingerAfterLastResponse()
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			if c.closeIfOverdue() {
				return false
			}
		case err != nil || c.mayHaveHungUpBeforeRead():
			return false
		default:
			r.bufferedBytes += count
			r.arrivals.recordRead(count, c.conn.LastReadWaited(), time.Now())
			return true
		}
	}
}

// handleCommands handles the complete commands at the beginning of input and returns the bytes after them. It
// returns false if the connection has to end.
func (c *connection) handleCommands(input []byte) (rest []byte, ok bool) {
	defer c.activity.enter(readerHandles)()
	r := &c.reader
	for rest = input; len(rest) > 0; {
		size, args, err := resp.ParseCommand(rest, r.args)
		r.args = args
		if err != nil {
			c.closeWithError(protocolErrorText(err))
			return nil, false
		}
		if size == 0 {
			return rest, true
		}
		r.arrivals.recordHandled(size)
		valid := c.handleCommand(rest[:size], args)
		if c.isClientGone() {
			return nil, false
		}
		rest = rest[size:]
		if valid {
			c.recordValidCommand()
		} else {
			c.pauseAfterInvalidCommand()
		}
	}
	return rest, true
}

// protocolErrorText returns the text of a protocol error that is sent to the client.
func protocolErrorText(err error) string {
	var malformed *resp.ProtocolError
	if errors.As(err, &malformed) {
		return "Protocol error: " + malformed.Reason
	}
	return err.Error()
}

// waitSinceArrival returns the time to subtract from the remaining time that the last command states.
func (c *connection) waitSinceArrival() time.Duration {
	return c.reader.arrivals.waitSince(time.Now(), c.closing.Load())
}
