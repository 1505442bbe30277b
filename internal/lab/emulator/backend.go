package emulator

import (
	"math/rand/v2"
	"sync"
	"time"

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
	case b.active[scenario.BackendDrain] > 0, !coreIsFree && len(b.queue) >= e.scenario.Backends.MaxQueued:
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

// capacity returns the share of its capacity that the backend has at its age. The caller holds the lock.
func (b *backend) capacity() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	return b.emulator.scenario.CapacityShare(b.emulator.log.Now().Sub(b.startedAt))
}
