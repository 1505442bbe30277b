package results

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/lab/invariants"
)

// Log connects a recorder to the wall clock for many goroutines: it stamps each event when it comes in, so
// that all events are in one order. It remembers which instance a submission went to, since a backend does
// not see that.
type Log struct {
	start atomic.Pointer[time.Time] // nil: the run has not begun, and events get the time of its start

	mu           sync.Mutex // of the fields below
	recorder     *Recorder
	instances    map[invariants.SubmissionID]int
	incarnations map[int]int // by instance
	events       uint64
	finished     bool
}

// NewLog returns a log that writes to a recorder.
func NewLog(recorder *Recorder) *Log {
	return &Log{recorder: recorder, instances: map[invariants.SubmissionID]int{}, incarnations: map[int]int{}}
}

// Begin starts the run's time.
func (l *Log) Begin() {
	now := time.Now()
	l.start.Store(&now)
}

// Now returns the time since the run's start, in nanoseconds.
func (l *Log) Now() int64 {
	if start := l.start.Load(); start != nil {
		return int64(time.Since(*start))
	}
	return 0
}

// Start returns when the run began.
func (l *Log) Start() time.Time { return *l.start.Load() }

// Observe stamps an event, records it, and returns its time. Submitted events carry the remaining time
// instead of the deadline.
func (l *Log) Observe(event invariants.Event) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.AtNanos = l.Now()
	if l.finished {
		return event.AtNanos
	}
	l.events++
	switch event.Kind {
	case invariants.Submitted:
		l.instances[event.Submission] = event.Instance
		event.DeadlineNanos += event.AtNanos
	case invariants.AttemptArrived, invariants.AttemptRefused:
		event.Instance = l.instances[event.Submission]
	case invariants.InstanceDied:
		l.incarnations[event.Instance]++
	}
	l.recorder.Observe(event)
	return event.AtNanos
}

// Incarnation returns how often an instance died.
func (l *Log) Incarnation(instance int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnations[instance]
}

// CountNotSent counts a request that no instance accepted.
func (l *Log) CountNotSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountNotSent(l.Now())
}

// CountCounterCall counts a call of the counter.
func (l *Log) CountCounterCall(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountCounterCall(l.Now(), failed)
}

// CountDNSUpdate counts an update that a gateway answered.
func (l *Log) CountDNSUpdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountDNSUpdate()
}

// SetOpenBreakers records how many instances make no calls.
func (l *Log) SetOpenBreakers(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.SetOpenBreakers(l.Now(), instances)
}

// Finish ends the run and returns its results; later events are dropped.
func (l *Log) Finish() *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	return l.recorder.Finish(l.Now(), l.events)
}
