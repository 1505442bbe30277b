package results

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
)

// EventLog connects a recorder to the wall clock for many goroutines: it stamps each event when it comes in, so
// that all events are in one order. It remembers which instance a submission went to, since a backend does
// not see that.
type EventLog struct {
	start atomic.Pointer[time.Time] // nil: the run has not begun, and events get the time of its start

	mu        sync.Mutex // of the fields below
	recorder  *Recorder
	instances map[invariants.SubmissionID]int
	kills     map[int]kills // by instance
	events    uint64
	finished  bool
}

// kills counts how often an instance was killed. Between the signal and the end of its process it may still
// accept a connection and read a request, so the two are counted apart.
type kills struct {
	begun int // the signal is about to be sent
	ended int // the process has ended
}

// NewEventLog returns a log that writes to a recorder.
func NewEventLog(recorder *Recorder) *EventLog {
	return &EventLog{recorder: recorder, instances: map[invariants.SubmissionID]int{}, kills: map[int]kills{}}
}

// Begin starts the run's time.
func (l *EventLog) Begin() {
	now := time.Now()
	l.start.Store(&now)
}

// Now returns the present time on the run's clock, which starts from 0. It is 0 until the run begins.
func (l *EventLog) Now() monotime.Instant {
	if start := l.start.Load(); start != nil {
		return monotime.FromNanos(int64(time.Since(*start)))
	}
	return monotime.Instant{}
}

// Start returns when the run began.
func (l *EventLog) Start() time.Time { return *l.start.Load() }

// ObserveSubmitted observes a submission whose client waits for the remaining time from now on.
func (l *EventLog) ObserveSubmitted(event invariants.Event, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Kind = invariants.Submitted
	event.At = l.Now()
	event.Deadline = event.At.Add(remaining)
	l.record(event)
}

// Observe stamps an event, which is no submission, and records it. InstanceDied is observed before the
// instance is killed; ObserveInstanceExit must follow once its process has ended.
func (l *EventLog) Observe(event invariants.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = l.Now()
	l.record(event)
}

// record passes an event to the recorder unless the run is over. The caller holds the lock.
func (l *EventLog) record(event invariants.Event) {
	if l.finished {
		return
	}
	l.events++
	switch event.Kind {
	case invariants.Submitted:
		l.instances[event.Submission] = event.Instance
	case invariants.AttemptArrived, invariants.AttemptRefused:
		event.Instance = l.instances[event.Submission]
	case invariants.InstanceDied:
		l.countKill(event.Instance, kills{begun: 1})
	}
	l.recorder.Observe(event)
}

// ObserveInstanceExit records that the process of an instance that was killed has ended.
func (l *EventLog) ObserveInstanceExit(instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countKill(instance, kills{ended: 1})
}

// countKill adds to the counts of an instance. The caller holds the lock.
func (l *EventLog) countKill(instance int, added kills) {
	k := l.kills[instance]
	l.kills[instance] = kills{begun: k.begun + added.begun, ended: k.ended + added.ended}
}

// Incarnation numbers the processes of an instance: it returns how many of them were killed and have ended.
func (l *EventLog) Incarnation(instance int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kills[instance].ended
}

// WasKilled reports whether an incarnation of an instance has been killed, or is being killed now.
func (l *EventLog) WasKilled(instance, incarnation int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kills[instance].begun > incarnation
}

// CountNotSent counts a request that no instance accepted.
func (l *EventLog) CountNotSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountNotSent(l.Now())
}

// CountCounterCall counts a call of the counter.
func (l *EventLog) CountCounterCall(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountCounterCall(l.Now(), failed)
}

// CountDNSUpdate counts an update that a gateway answered.
func (l *EventLog) CountDNSUpdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountDNSUpdate()
}

// SetOpenBreakers records how many instances make no calls.
func (l *EventLog) SetOpenBreakers(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.SetOpenBreakers(l.Now(), instances)
}

// Finish ends the run and returns its results; later events are dropped.
func (l *EventLog) Finish() *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	return l.recorder.Finish(l.Now(), l.events)
}
