package counter

import (
	"errors"
	"net"
	"runtime/debug"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/sock"
)

// readBufferBytes holds many answers at once; one alone is at most maxAnswerBytes.
const readBufferBytes = 4096

// Why a connection is closed.
var (
	errAddressChanged  = errors.New("counter address changed")
	errSilent          = errors.New("calls unanswered for too long")
	errMalformedAnswer = errors.New("malformed answer")
	errNotReusable     = errors.New("not to be used any more")
	errPanic           = errors.New("panic")
)

// connection is one connection to the service. Its client's lock guards its fields.
type connection struct {
	client         *Client
	address        string
	socket         *sock.Conn // nil: not up yet
	unwritten      []byte     // calls that are not written yet
	unwrittenCalls int        // how many those are
	calls          []*call    // outstanding, in the order of their answers
	writing        bool       // a goroutine is in flush
	old            bool       // to an earlier address: it gets no further calls
	closed         bool
	// pendingReply is the first reply of an answer in RESP, whose second has not come yet. Only run uses it.
	pendingReply respReply
}

// addCall adds a call behind those outstanding. The client's lock is held.
func (conn *connection) addCall(added *call, units float64, lifetime time.Duration) {
	conn.unwritten = conn.client.format.appendCall(conn.unwritten, added.key, units, lifetime)
	conn.unwrittenCalls++
	conn.calls = append(conn.calls, added)
}

// flush writes what is not written yet. Where another goroutine does so already, or the connection is not up,
// that one goes on with it.
func (conn *connection) flush() {
	if err := conn.writeAll(); err != nil {
		conn.close(err)
	}
}

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
		if reason := recover(); reason != nil {
			logging.Panicked("counter", reason, debug.Stack())
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

func (conn *connection) connect() error {
	c := conn.client
	socket, err := sock.Dial(conn.address, c.connectTimeout)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		_ = socket.Close() // nothing was written on it
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
		n, err := conn.socket.Read(buf[buffered:])
		if err != nil {
			return err
		}
		rest, err := conn.handleAnswers(buf[:buffered+n])
		if err != nil {
			return err
		}
		buffered = copy(buf, rest)
	}
}

// handleAnswers handles the whole answers in data and returns what is left.
func (conn *connection) handleAnswers(data []byte) (rest []byte, err error) {
	for {
		answer := conn.client.format.parseAnswer(data, &conn.pendingReply)
		switch answer.status {
		case answerIncomplete:
			return data, nil
		case answerMalformed: // it is not waited for: others wait behind it
			conn.handleAnswer(0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal})
			return nil, errMalformedAnswer
		case answerComplete:
			if !conn.handleAnswer(answer.total, answer.err) {
				return nil, errNotReusable
			}
		}
		data = data[answer.size:]
	}
}

// handleAnswer ends the oldest call, and reports whether the connection may be used on: not where no call was
// outstanding, or after an answer without a meaning, or once an old connection has answered its last call.
func (conn *connection) handleAnswer(total float64, err error) bool {
	answered, isLast := conn.popCall()
	if answered == nil {
		return false
	}
	conn.client.endCall(answered, total, err)
	return (err == nil || errors.Is(err, dispatch.ErrRejected)) && !isLast
}

// popCall takes the oldest call out of those outstanding; nil if there is none. isLast reports that no
// further one will come.
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
	return oldest, conn.old && len(conn.calls) == 0
}

// close closes the connection and ends its calls. Those that were written may have been added; those that
// were not never were.
func (conn *connection) close(reason error) {
	calls, written := conn.shut()
	if len(calls) > 0 {
		logging.For("counter").WithError(reason).WithField("calls", len(calls)).Debug("connection ended")
	}
	for _, outstanding := range calls[:written] {
		conn.client.endCall(outstanding, 0, dispatch.ErrTimeout)
	}
	for _, outstanding := range calls[written:] {
		err := &dispatch.NetworkError{Progress: dispatch.Writing, Err: reason}
		conn.client.endCall(outstanding, 0, err)
	}
}

// shut closes the connection's socket and takes it out of the client. The first time it returns the calls
// that are outstanding, and how many of them may have been written.
func (conn *connection) shut() (calls []*call, written int) {
	c := conn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closed {
		return nil, 0
	}
	conn.closed = true
	if conn.socket != nil {
		defer func() {
			_ = conn.socket.Close() // its calls are ended whatever becomes of it
		}()
	}
	return c.forget(conn)
}
