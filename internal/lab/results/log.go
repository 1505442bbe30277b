package results

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/monotime"
)

// EventLog passes events from many goroutines to a recorder. It sets each event's time when it receives the event,
// so that the events are in one order. It also keeps the instance of each submission, because a backend cannot
// tell which instance sent an attempt.
type EventLog struct {
	start atomic.Pointer[time.Time] // nil before the run begins; events then get the time 0

	mu         sync.Mutex // guards the fields below
	recorder   *Recorder
	instances  map[invariants.SubmissionID]int
	kills      map[int]kills // by instance index
	events     uint64
	isFinished bool
}

// kills counts how often an instance was killed. Between the signal and the end of its process, an instance may
// still accept a connection and read a request, so signals and exits are counted separately.
type kills struct {
	begun int // signals that were sent or are about to be
	ended int // processes that have exited
}

// NewEventLog returns an event log that passes its events to a recorder.
func NewEventLog(recorder *Recorder) *EventLog {
	return &EventLog{recorder: recorder, instances: map[invariants.SubmissionID]int{}, kills: map[int]kills{}}
}

// Begin starts the run's clock.
func (l *EventLog) Begin() {
	now := time.Now()
	l.start.Store(&now)
}

// Now returns the time since the run began, or 0 before that.
func (l *EventLog) Now() monotime.Instant {
	if start := l.start.Load(); start != nil {
		return monotime.FromNanos(int64(time.Since(*start)))
	}
	return monotime.Instant{}
}

// Start returns the wall-clock time at which the run began. It must not be called before Begin.
func (l *EventLog) Start() time.Time { return *l.start.Load() }

// ObserveSubmitted records a submission with the current time. Its deadline is the remaining time from now.
func (l *EventLog) ObserveSubmitted(event invariants.Event, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Kind = invariants.Submitted
	event.At = l.Now()
	event.Deadline = event.At.Add(remaining)
	l.record(event)
}

// Observe records an event other than a submission with the current time. InstanceDied must be observed before the
// instance is killed, and ObserveInstanceExit called after its process has exited.
func (l *EventLog) Observe(event invariants.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = l.Now()
	l.record(event)
}

// record passes an event to the recorder unless the run is over. The caller must hold the lock.
func (l *EventLog) record(event invariants.Event) {
	if l.isFinished {
		return
	}
	l.events++
	switch event.Kind {
	case invariants.Submitted:
		l.instances[event.Submission] = event.Instance
	case invariants.AttemptArrived, invariants.AttemptRefused:
		event.Instance = l.instances[event.Submission]
	case invariants.InstanceDied:
		l.addKills(event.Instance, kills{begun: 1})
	}
	l.recorder.Observe(event)
}

// ObserveInstanceExit records that the process of a killed instance has exited.
func (l *EventLog) ObserveInstanceExit(instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addKills(instance, kills{ended: 1})
}

// addKills adds to the kill counts of an instance. The caller must hold the lock.
func (l *EventLog) addKills(instance int, added kills) {
	previous := l.kills[instance]
	l.kills[instance] = kills{begun: previous.begun + added.begun, ended: previous.ended + added.ended}
}

// Incarnation returns the number of an instance's current process, which is how many of its processes were killed
// and have exited.
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

// CountCounterCall counts a call to the counter, and its failure if it failed.
func (l *EventLog) CountCounterCall(failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountCounterCall(l.Now(), failed)
}

// CountDNSUpdate counts a DNS update that a gateway answered.
func (l *EventLog) CountDNSUpdate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.CountDNSUpdate()
}

// SetOpenBreakers records how many instances make no calls to the counter.
func (l *EventLog) SetOpenBreakers(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recorder.SetOpenBreakers(l.Now(), instances)
}

// Finish ends the run and returns its results. Later events are dropped.
func (l *EventLog) Finish() *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFinished = true
	return l.recorder.Finish(l.Now(), l.events)
}
