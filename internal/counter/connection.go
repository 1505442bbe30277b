package counter

import (
	"errors"
	"net"
	"runtime/debug"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/sock"
)

// unansweredCallsField is the log field with how many calls were unanswered on a connection that ended.
const unansweredCallsField = "calls"

// readBufferBytes is the size of the read buffer. It holds many answers at once, since a single answer has at
// most maxAnswerBytes.
const readBufferBytes = 4096

// Reasons for closing a connection. The log states them in the field "error" of "connection ended".
var (
	errAddressChanged  = errors.New("counter address changed")
	errSilent          = errors.New("calls unanswered for too long")
	errMalformedAnswer = errors.New("malformed answer")
	// errNotReusable covers three cases: an answer without an outstanding call, a meaningless answer, and the last
	// answer at an earlier address, which is the normal end of an old connection.
	errNotReusable  = errors.New("not to be used any more")
	errClientClosed = errors.New("client closed")
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
	writing        bool       // a goroutine is writing in flush
	addressChanged bool       // connected to an earlier address: it gets no further calls
	closed         bool
	// pendingReply is the first reply of a RESP answer whose second reply has not arrived yet. Only run uses it.
	pendingReply respReply
}

// addCall appends a call to the outstanding ones. The caller holds the client's lock.
func (conn *connection) addCall(added *call, addition increment) {
	conn.unwritten = conn.client.format.appendCall(conn.unwritten, addition)
	conn.unwrittenCalls++
	conn.calls = append(conn.calls, added)
}

// flush writes the calls that are not written yet. If another goroutine is already writing, or the connection
// is not established yet, it leaves the calls to the goroutine that is writing or connecting.
func (conn *connection) flush() {
	if err := conn.writeAll(); err != nil {
		conn.close(err)
	}
}

// writeAll writes calls until none is left, and returns why a write failed. The lock is released during each
// write.
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
		c.unlocked(func() { _, err = conn.socket.Write(buf) })
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

// run connects, and reads answers until the connection ends.
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

// connect establishes the connection, unless it is closed meanwhile.
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

// readAnswers reads answers, and returns why the connection is to be closed.
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

// handleAnswers handles the complete answers in data and returns the remaining bytes.
func (conn *connection) handleAnswers(data []byte) (rest []byte, err error) {
	for {
		answer := conn.client.format.parseAnswer(data, &conn.pendingReply)
		switch answer.status {
		case answerIncomplete:
			return data, nil
		case answerMalformed: // do not wait for more of it: other calls wait behind it
			conn.handleAnswer(0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal})
			return nil, errMalformedAnswer
		case answerPart: // its second reply completes it
		case answerComplete:
			if !conn.handleAnswer(answer.total, answer.err) {
				return nil, errNotReusable
			}
		}
		data = data[answer.size:]
	}
}

// handleAnswer ends the oldest call, and reports whether the connection may still be used. It may not if no
// call was outstanding, if the answer was meaningless, or if the last call at an earlier address is answered:
// after the first two, answers and calls may not belong together any more.
func (conn *connection) handleAnswer(total float64, err error) bool {
	answered, isLast := conn.popCall()
	if answered == nil {
		return false
	}
	conn.client.endCall(answered, total, err)
	isMeaningful := err == nil || errors.Is(err, dispatch.ErrRejected)
	return isMeaningful && !isLast
}

// popCall removes and returns the oldest outstanding call, or nil if there is none or the connection is closed.
// isLast reports whether no further call will follow.
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
// those of unwritten calls have not. No call is sent again: the caller decides by what the errors say.
//
// Calls that were written end as ErrTimeout, also if the connection was reset: the outcome ConnectionLost stands
// for a malformed answer. Unwritten calls have the progress Writing, also if the dial failed: Dialing would mean
// the same outcome.
func (conn *connection) close(reason error) {
	written, unwritten := conn.closeAndForget()
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

// closeAndForget closes the connection's socket and removes the connection from the client. The first call
// returns the outstanding calls: those that may have been written, and those that have not.
func (conn *connection) closeAndForget() (written, unwritten []*call) {
	c := conn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return nil, nil
	}
	conn.closed = true
	if conn.socket != nil {
		defer func() {
			_ = conn.socket.Close() // its calls are ended in any case
		}()
	}
	return c.forget(conn)
}
