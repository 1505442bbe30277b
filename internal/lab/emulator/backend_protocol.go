package emulator

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
)

// backendSession is a connection from an instance to a backend.
type backendSession struct {
	net.Conn

	mu    sync.Mutex // guards the fields below
	ended bool
}

func (s *backendSession) markEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

func (s *backendSession) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// serve reads the commands of a connection. Each command runs concurrently as soon as it has arrived completely; the
// answers are written in the order of the commands.
func (b *backend) serve(conn net.Conn) {
	session := &backendSession{Conn: conn}
	previousWritten := make(chan struct{})
	close(previousWritten)
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			session.markEnded()
			return
		}
		written := make(chan struct{})
		go b.respond(session, command.Args, previousWritten, written)
		previousWritten = written
	}
}

// respond runs a command, and writes its answer after the previous answer.
func (b *backend) respond(
	session *backendSession, args [][]byte, previousWritten <-chan struct{}, written chan<- struct{},
) {
	defer close(written)
	answer := b.handle(session, args)
	<-previousWritten
	if answer.text == "" {
		return
	}
	// Both calls fail if the instance has closed the connection and does not read its answer.
	_ = session.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = session.Write([]byte(answer.text))
	if answer.resetsConnection {
		reset(session.Conn)
	}
}

// backendAnswer is an answer of a backend. The zero value, used while the backend hangs, writes nothing.
type backendAnswer struct {
	text             string
	resetsConnection bool // the connection is reset after the text is written
}

// handle runs a command and returns its answer.
func (b *backend) handle(session *backendSession, args [][]byte) backendAnswer {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		return b.ping()
	case "CLIENT", "SELECT":
		return backendAnswer{text: "+OK\r\n"}
	case "SVC.QUERY", "SVC.SUBMIT":
		j, err := parseJob(args)
		if err != nil {
			return backendAnswer{text: "-SYNTAX\r\n"}
		}
		j.session = session
		return b.run(j)
	}
	return backendAnswer{text: "-ERR unknown command\r\n"}
}

func (b *backend) ping() backendAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hangs() {
		return backendAnswer{}
	}
	return backendAnswer{text: "+PONG\r\n"}
}

var errTooFewArguments = errors.New("emulator: attempt has fewer than four arguments")

// parseJob parses the arguments of an attempt: the verb, the tenant, the submission's ID and the header, of which it
// uses only the units.
func parseJob(args [][]byte) (*job, error) {
	if len(args) < 4 {
		return nil, errTooFewArguments
	}
	id, err := strconv.ParseUint(string(args[2]), 16, 64)
	if err != nil {
		return nil, err
	}
	units := 1.0
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		value, ok := strings.CutPrefix(pair, "units=")
		if !ok {
			continue
		}
		if units, err = strconv.ParseFloat(value, 64); err != nil {
			return nil, err
		}
	}
	return &job{submission: invariants.SubmissionID(id), units: units, started: make(chan struct{})}, nil
}

// answer returns the answer to a job whose work is done, subject to the active faults. The caller holds the lock.
func (b *backend) answer(j *job) backendAnswer {
	switch {
	case b.hangs():
		return backendAnswer{}
	case b.activeFaults[scenario.BackendReset] > 0:
		return backendAnswer{text: "*3\r\n$20\r\nhalf", resetsConnection: true}
	case b.activeFaults[scenario.BackendGarble] > 0:
		return backendAnswer{text: b.garbledAnswer()}
	case b.activeFaults[scenario.BackendError] > 0:
		return backendAnswer{text: "-ERR failed\r\n"}
	}
	value := fmt.Sprintf("try %x at %d", uint64(j.submission), b.index)
	return backendAnswer{text: fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)}
}

// garbledAnswer returns a line of random bytes. Its first byte is not a RESP type, so that the line is never a valid
// answer by chance. The caller holds the lock.
func (b *backend) garbledAnswer() string {
	line := make([]byte, 64)
	for n := range line {
		line[n] = byte(b.random.UintN(256))
	}
	line[0] = '?'
	return string(line) + "\r\n"
}
