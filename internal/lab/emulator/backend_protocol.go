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

// backendSession is a connection from an instance.
type backendSession struct {
	net.Conn

	mu    sync.Mutex // guards what follows
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

// serve reads a connection's commands. Each command runs as soon as its last byte has arrived; the answers
// keep the order of the commands.
func (b *backend) serve(conn net.Conn) {
	session := &backendSession{Conn: conn}
	previous := make(chan struct{})
	close(previous)
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			session.markEnded()
			return
		}
		done := make(chan struct{})
		go b.respond(session, command.Args, previous, done)
		previous = done
	}
}

// respond runs a command, and writes its answer once the previous answer is written.
func (b *backend) respond(
	session *backendSession, args [][]byte, previous <-chan struct{}, done chan<- struct{},
) {
	defer close(done)
	answer := b.handle(session, args)
	<-previous
	if answer.text == "" {
		return
	}
	// Both fail if the instance has ended the connection: then it misses its answer by its own choice.
	_ = session.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = session.Write([]byte(answer.text))
	if answer.resets {
		reset(session.Conn)
	}
}

// backendAnswer is what a backend writes. The zero value is the answer of a backend that hangs: nothing is
// written.
type backendAnswer struct {
	text   string
	resets bool // the connection is reset after the text
}

// handle runs a command to its end.
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

var errTooFewArguments = errors.New("emulator: too few arguments of an attempt")

// parseJob reads an attempt: the verb, the tenant, the submission's ID and the header, of which only the
// units are used here.
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

// answer returns the answer to a job whose work is done, under the faults that are active now. The caller
// holds the lock.
func (b *backend) answer(j *job) backendAnswer {
	switch {
	case b.hangs():
		return backendAnswer{}
	case b.active[scenario.BackendReset] > 0:
		return backendAnswer{text: "*3\r\n$20\r\nhalf", resets: true}
	case b.active[scenario.BackendGarble] > 0:
		return backendAnswer{text: b.garbage()}
	case b.active[scenario.BackendError] > 0:
		return backendAnswer{text: "-ERR failed\r\n"}
	}
	value := fmt.Sprintf("try %x at %d", uint64(j.submission), b.index)
	return backendAnswer{text: fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)}
}

// garbage returns a line of random bytes. Its first byte begins no RESP answer, so that it is never a valid
// answer by chance. The caller holds the lock.
func (b *backend) garbage() string {
	noise := make([]byte, 64)
	for n := range noise {
		noise[n] = byte(b.random.UintN(256))
	}
	noise[0] = '?'
	return string(noise) + "\r\n"
}
