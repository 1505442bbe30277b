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

// firstBackendStream is the number of the first backend's random stream. The workload, which uses the same seed, has
// the streams with lower numbers.
const firstBackendStream = 100

// backend emulates one backend. Each admitted attempt occupies one of its cores for the duration of its work, and
// waits in a queue while no core is free.
type backend struct {
	emulator *Emulator
	index    int
	listener *listener

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	busyCores    int
	queue        []*job
	startedAt    monotime.Instant // relative to the start of the run; zero: long before it
	state        policy.EndpointState
	incarnation  int
	slowdown     float64                    // product of the factors of the active BackendSlow faults
	activeFaults map[scenario.FaultKind]int // number of active faults by kind
}

// job is an attempt that the backend has read completely.
type job struct {
	session    *backendSession
	submission invariants.SubmissionID
	units      float64
	started    chan struct{} // closed when the job gets a core

	// Set by admit.
	work        time.Duration
	incarnation int // of the backend
}

func newBackend(e *Emulator, index int) (*backend, error) {
	b := &backend{
		emulator:     e,
		index:        index,
		random:       rand.New(rand.NewPCG(e.scenario.Seed, firstBackendStream+uint64(index))),
		state:        policy.EndpointReady,
		slowdown:     1,
		activeFaults: map[scenario.FaultKind]int{},
	}
	var err error
	b.listener, err = newListener(b.serve)
	return b, err
}

// admission is a backend's decision about an attempt that has arrived.
type admission uint8

const (
	attemptAdmitted admission = iota // the attempt gets a core or a place in the queue
	attemptRefused                   // all cores and the queue are full, or the backend is draining
	attemptIgnored                   // the backend hangs, and never answers the attempt
)

// run executes an attempt and returns the answer to it.
func (b *backend) run(j *job) backendAnswer {
	switch b.admit(j) {
	case attemptIgnored:
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
	if b.incarnation != j.incarnation { // the backend lost the job during the work
		return backendAnswer{}
	}
	b.releaseCore()
	return b.answer(j)
}

// work waits until a job has a core and then for the duration of its work. It returns false if the emulator is closed
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

// admit records the arrival of an attempt, draws its work, and assigns it a core or a place in the queue.
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
	j.work = time.Duration(workNanos * b.slowdown / b.capacityShare())
	j.incarnation = b.incarnation
	coreIsFree := b.busyCores < e.scenario.Backends.Cores
	switch {
	case b.hangs():
		return attemptIgnored
	case b.activeFaults[scenario.BackendDrain] > 0, !coreIsFree && len(b.queue) >= e.scenario.Backends.MaxQueued:
		return attemptRefused
	case coreIsFree:
		b.busyCores++
		close(j.started)
	default:
		b.queue = append(b.queue, j)
	}
	return attemptAdmitted
}

// releaseCore frees a core and assigns free cores to the next jobs in the queue. It drops a job whose instance has
// closed the connection, since nobody would read its answer. The caller holds the lock.
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

// capacityShare returns the share of its full capacity that the backend has reached since its start. The caller holds
// the lock.
func (b *backend) capacityShare() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	return b.emulator.scenario.CapacityShare(b.emulator.log.Now().Sub(b.startedAt))
}
