package results

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/lab/invariants"
)

// Log is a recorder on the wall clock, for many goroutines: it stamps each event as it comes in, so that all of
// them stand in one order. It notes which door a try went to, since a backend does not see that.
type Log struct {
	mu    sync.Mutex
	start atomic.Pointer[time.Time] // nil: the run has not begun, and all that is seen counts as at its start
	rec   *Recorder
	doors map[invariants.SubmissionID]int
	calls uint64
	lives map[int]int
	done  bool
}

// NewLog makes a log.
func NewLog(rec *Recorder) *Log {
	return &Log{rec: rec, doors: map[invariants.SubmissionID]int{}, lives: map[int]int{}}
}

// Begin lets the run's time begin now.
func (l *Log) Begin() {
	now := time.Now()
	l.start.Store(&now)
}

// Now is the time since the run's start, in nanoseconds.
func (l *Log) Now() int64 {
	if start := l.start.Load(); start != nil {
		return int64(time.Since(*start))
	}
	return 0
}

// Start is when the run began.
func (l *Log) Start() time.Time { return *l.start.Load() }

// Observe stamps an event and takes it in. The time that it gives is the event's.
func (l *Log) Observe(e invariants.Event) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.AtNanos = l.Now()
	if l.done {
		return e.AtNanos
	}
	l.calls++
	switch e.Kind {
	case invariants.Submitted:
		l.doors[e.Submission] = e.Instance
		e.DeadlineNanos += e.AtNanos // told as the time left
	case invariants.AttemptArrived, invariants.AttemptRefused:
		e.Instance = l.doors[e.Submission]
	case invariants.InstanceDied:
		l.lives[e.Instance]++
	}
	l.rec.Observe(e)
	return e.AtNanos
}

// Incarnation is how often the door died.
func (l *Log) Incarnation(door int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lives[door]
}

// CountNotSent counts a transaction that no door took.
func (l *Log) CountNotSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.CountNotSent(l.Now())
}

// CountCounterCall counts a call of the counter.
func (l *Log) CountCounterCall(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.CountCounterCall(l.Now(), failed)
}

// CountDNSUpdate counts an update that a front door answered.
func (l *Log) CountDNSUpdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.CountDNSUpdate()
}

// SetOpenBreakers notes how many doors call nothing.
func (l *Log) SetOpenBreakers(doors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.SetOpenBreakers(l.Now(), doors)
}

// Finish ends the run; later events are dropped.
func (l *Log) Finish() *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	return l.rec.Finish(l.Now(), l.calls)
}
