package counter

import (
	"errors"
	"net"
	"runtime/debug"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/sock"
)

// unansweredCallsField is the log field for the number of calls that were unanswered when their connection ended.
const unansweredCallsField = "calls"

// readBufferBytes is the size of the read buffer. The buffer holds many answers, since a single answer has at most
// maxAnswerBytes.
const readBufferBytes = 4096

// Reasons for closing a connection. The log entry "connection ended" has them in the field "error".
var (
	errAddressChanged  = errors.New("address of the counter service changed")
	errAnswerTimeout   = errors.New("oldest call unanswered for longer than the answer timeout")
	errMalformedAnswer = errors.New("malformed answer from the counter service")
	// errNotReusable covers three cases: an answer without an outstanding call, an answer without a valid total,
	// and the last answer at an earlier address, which is the normal end of an old connection.
	errNotReusable  = errors.New("connection must not be reused")
	errClientClosed = errors.New("counter client closed")
	errPanic        = errors.New("panic")
)

// connection is one connection to the service. The client's lock guards its fields.
type connection struct {
	client         *Client
	address        string
	socket         *sock.Conn // nil until connected
	unwritten      []byte     // encoded calls that are not written yet
	unwrittenCalls int        // number of calls in unwritten
	calls          []*call    // outstanding calls, in the order of their answers
	writing        bool       // a goroutine is writing to the socket
	addressChanged bool       // the connection is to an earlier address and gets no further calls
	closed         bool
	// pendingReply is the first reply of a RESP answer whose second reply has not arrived yet. Only run uses it.
	pendingReply respReply
}

// addCall encodes a call and appends it to the outstanding ones. The caller holds the client's lock.
func (conn *connection) addCall(added *call, addition increment) {
	conn.unwritten = conn.client.format.appendCall(conn.unwritten, addition)
	conn.unwrittenCalls++
	conn.calls = append(conn.calls, added)
}

// flush writes the unwritten calls. If another goroutine is already writing, or the connection is not
// established yet, flush leaves the calls to the goroutine that is writing or connecting.
func (conn *connection) flush() {
	if err := conn.writeAll(); err != nil {
		conn.close(err)
	}
}

// writeAll writes calls until no unwritten call is left, and returns the error of a failed write. The client's
// lock is released during each write.
func (conn *connection) writeAll() error {
	c := conn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(conn.unwritten) > 0 && conn.socket != nil && !conn.writing && !conn.closed {
		buf := conn.unwritten
		conn.unwritten = nil
		conn.unwrittenCalls = 0
		conn.writing = true
		var err error
		c.runUnlocked(func() { _, err = conn.socket.Write(buf) })
		conn.writing = false
		if err != nil {
			return err
		}
		if len(conn.unwritten) == 0 {
			conn.unwritten = buf[:0]
		}
	}
	return nil
}

// run connects and reads answers until the connection ends.
func (conn *connection) run() {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(logComponent, cause, debug.Stack())
			conn.close(errPanic)
		}
	}()
	if err := conn.connect(); err != nil {
		conn.close(err)
		return
	}
	conn.flush()
	conn.close(conn.readAnswers())
}

// connect establishes the connection. It returns net.ErrClosed if the connection has been closed meanwhile.
func (conn *connection) connect() error {
	c := conn.client
	socket, err := sock.Dial(c.ctx, conn.address, c.connectTimeout)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		_ = socket.Close() // nothing was written to it
		return net.ErrClosed
	}
	conn.socket = socket
	return nil
}

// readAnswers reads answers until the connection has to be closed, and returns the reason.
func (conn *connection) readAnswers() error {
	buf := make([]byte, readBufferBytes)
	buffered := 0
	for {
		count, err := conn.socket.Read(buf[buffered:])
		if err != nil {
			return err
		}
		rest, err := conn.handleAnswers(buf[:buffered+count])
		if err != nil {
			return err
		}
		buffered = copy(buf, rest)
	}
}

// handleAnswers handles the complete answers in data and returns the remaining bytes, or the reason for closing.
func (conn *connection) handleAnswers(data []byte) (rest []byte, err error) {
	for {
		answer := conn.client.format.parseAnswer(data, &conn.pendingReply)
		switch answer.status {
		case answerIncomplete:
			return data, nil
		case answerMalformed: // further bytes cannot complete it, and other calls wait behind it
			conn.handleAnswer(0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal})
			return nil, errMalformedAnswer
		case answerFirstReply: // the second reply completes the answer
		case answerComplete:
			if !conn.handleAnswer(answer.total, answer.err) {
				return nil, errNotReusable
			}
		}
		data = data[answer.size:]
	}
}

// handleAnswer ends the oldest call with the given result, and reports whether the connection may still be used.
// It may not if no call was outstanding or the answer was invalid, because answers may then be matched to the
// wrong calls, or if the answer was the last one expected from an earlier address.
func (conn *connection) handleAnswer(total float64, err error) bool {
	answered, isLast := conn.popCall()
	if answered == nil {
		return false
	}
	conn.client.endCall(answered, total, err)
	isValid := err == nil || errors.Is(err, dispatch.ErrRejected)
	return isValid && !isLast
}

// popCall removes and returns the oldest outstanding call, or nil if there is none or the connection is closed.
// isLast reports whether the connection will have no further calls.
func (conn *connection) popCall() (oldest *call, isLast bool) {
	conn.client.mu.Lock()
	defer conn.client.mu.Unlock()
	if len(conn.calls) == 0 || conn.closed {
		return nil, true
	}
	oldest = conn.calls[0]
	conn.calls = conn.calls[1:]
	if len(conn.calls) == 0 {
		conn.calls = nil
	}
	return oldest, conn.addressChanged && len(conn.calls) == 0
}

// close closes the connection and ends its calls. The units of calls that were written may have been added;
// those of unwritten calls have not. No call is sent again: the caller decides that based on the errors.
//
// Written calls end with ErrTimeout, even if the connection was reset, because the outcome ConnectionLost is
// reserved for malformed answers. Unwritten calls end with a NetworkError with the progress Writing, even if the
// dial failed, because Dialing would lead to the same outcome.
func (conn *connection) close(reason error) {
	written, unwritten := conn.closeAndRemove()
	if count := len(written) + len(unwritten); count > 0 {
		logging.For(logComponent).WithError(reason).WithField(unansweredCallsField, count).Debug("connection ended")
	}
	for _, outstanding := range written {
		conn.client.endCall(outstanding, 0, dispatch.ErrTimeout)
	}
	for _, outstanding := range unwritten {
		err := &dispatch.NetworkError{Progress: dispatch.Writing, Err: reason}
		conn.client.endCall(outstanding, 0, err)
	}
}

// closeAndRemove closes the connection's socket and removes the connection from the client. On the first call it
// returns the outstanding calls: those that may have been written, and those that have not.
func (conn *connection) closeAndRemove() (written, unwritten []*call) {
	c := conn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return nil, nil
	}
	conn.closed = true
	if conn.socket != nil {
		defer func() {
			_ = conn.socket.Close() // the calls end whether or not this fails
		}()
	}
	return c.removeConnection(conn)
}
