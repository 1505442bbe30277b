package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// backendSeedBase keeps the backends' random streams apart from those of the workload, which also come from
// the scenario's seed.
const backendSeedBase = 100

// backend stands in for one backend: an attempt occupies one of its cores for a time, or waits in a queue.
type backend struct {
	emulator *Emulator
	index    int
	listener *listener

	mu          sync.Mutex // guards what follows
	random      *rand.Rand
	busyCores   int
	queue       []*job
	startedAt   monotime.Instant // since the run's start; zero: long ago
	state       policy.EndpointState
	incarnation int
	slowdown    float64                    // factor by which faults multiply the work
	active      map[scenario.FaultKind]int // how many faults of a kind are active
}

// job is an attempt that has arrived whole.
type job struct {
	session    *backendSession
	submission invariants.SubmissionID
	units      float64
	started    chan struct{} // closed when a core is free for it

	// Set when it is admitted.
	work        time.Duration
	incarnation int // of the backend
}

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

func newBackend(e *Emulator, index int) (*backend, error) {
	b := &backend{
		emulator: e,
		index:    index,
		random:   rand.New(rand.NewPCG(e.scenario.Seed, backendSeedBase+uint64(index))),
		state:    policy.EndpointReady,
		slowdown: 1,
		active:   map[scenario.FaultKind]int{},
	}
	var err error
	b.listener, err = newListener(b.serve)
	return b, err
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

// admission says what becomes of an attempt that has arrived.
type admission uint8

const (
	attemptAdmitted  admission = iota // it gets a core or a place in the queue
	attemptRefused                    // no core or place is left, or the backend drains
	attemptSwallowed                  // the backend hangs
)

// run runs an attempt, which occupies a core for its work, and returns the answer to write after it.
func (b *backend) run(j *job) backendAnswer {
	switch b.admit(j) {
	case attemptSwallowed:
		return backendAnswer{}
	case attemptRefused:
		b.emulator.log.Observe(invariants.Event{
			Kind: invariants.AttemptRefused, Submission: j.submission, Backend: b.index,
		})
		return backendAnswer{text: "-BUSY\r\n"}
	case attemptAdmitted:
	}
	if !b.work(j) {
		return backendAnswer{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation != j.incarnation { // the backend died during the work
		return backendAnswer{}
	}
	b.releaseCore()
	return b.answer(j)
}

// work waits for a core and then for the end of a job's work. It returns false if the emulator is closed
// first.
func (b *backend) work(j *job) bool {
	select {
	case <-j.started:
	case <-b.emulator.closed:
		return false
	}
	select {
	case <-time.After(j.work):
		return true
	case <-b.emulator.closed:
		return false
	}
}

// admit records an attempt's arrival and its work, and gives it a core or a place in the queue.
func (b *backend) admit(j *job) admission {
	e := b.emulator
	b.mu.Lock()
	defer b.mu.Unlock()
	workNanos := e.workload.WorkNanos(b.random, j.units)
	e.log.Observe(invariants.Event{
		Kind:        invariants.AttemptArrived,
		Submission:  j.submission,
		Backend:     b.index,
		StartedAt:   b.startedAt,
		WorkSeconds: workNanos / 1e9,
	})
	j.work = time.Duration(workNanos * b.slowdown / b.capacity())
	j.incarnation = b.incarnation
	coreIsFree := b.busyCores < e.scenario.Backends.Cores
	switch {
	case b.hangs():
		return attemptSwallowed
	case b.active[scenario.BackendDrain] > 0, !coreIsFree && len(b.queue) >= e.scenario.Backends.Queue:
		return attemptRefused
	case coreIsFree:
		b.busyCores++
		close(j.started)
	default:
		b.queue = append(b.queue, j)
	}
	return attemptAdmitted
}

// releaseCore gives a job's core to the next job in the queue. A job whose instance has left the connection
// never runs, since its answer has no reader. The caller holds the lock.
func (b *backend) releaseCore() {
	b.busyCores--
	for len(b.queue) > 0 && b.busyCores < b.emulator.scenario.Backends.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.session.hasEnded() {
			b.busyCores++
			close(next.started)
		}
	}
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

// capacity returns the share of its capacity that the backend has at its age. The caller holds the lock.
func (b *backend) capacity() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	return b.emulator.scenario.CapacityShare(b.emulator.log.Now().Sub(b.startedAt))
}
