package emulator

import (
	"net"
	"sync"
	"time"

	"fawnplank/internal/lab/counterqueue"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/monotime"
)

const (
	// breakerPeriod is how often the instances that make no calls are counted. It is the resolution of the run's
	// record.
	breakerPeriod = time.Second

	// maxLifetimeMillis bounds an entry's lifetime in the line protocol: 60 s by the platform's protocol.
	maxLifetimeMillis = 60000
)

// counter stands in for the counter. Each instance has its own address there, so that it can be cut off
// alone; all instances share the keys.
type counter struct {
	emulator  *Emulator
	listeners []*listener // of each instance
	started   time.Time   // zero of the queue's instants

	mu         sync.Mutex // guards what follows
	entries    map[string]*counterEntry
	queue      counterqueue.Queue
	refusing   int // how many faults of the kind are active; likewise below
	hanging    int
	cutOff     map[int]int   // by instance
	extraDelay time.Duration // of the faults that are active
	calls      []int         // of each instance, since the last count of breakers
	unblocked  chan struct{} // closed at the end of a hang
}

// counterEntry is the number under a key.
type counterEntry struct {
	total     float64
	expiresAt time.Time // zero: never
}

// counterCall is an addition that an instance asks for.
type counterCall struct {
	key            string
	units          float64
	lifetimeMillis int64 // of an entry that the call creates; 0: without an end
}

func newCounter(e *Emulator) (*counter, error) {
	settings := &e.scenario.Counter
	c := &counter{
		emulator:  e,
		started:   time.Now(),
		entries:   map[string]*counterEntry{},
		queue:     counterqueue.New(settings.MaxRate, time.Duration(settings.Timeout)),
		cutOff:    map[int]int{},
		calls:     make([]int, e.scenario.Instances.Count),
		unblocked: make(chan struct{}),
	}
	for instance := range e.scenario.Instances.Count {
		l, err := newListener(func(conn net.Conn) { c.serve(conn, instance) })
		if err != nil {
			return nil, err
		}
		c.listeners = append(c.listeners, l)
	}
	return c, nil
}

func (c *counter) address(instance int) string { return c.listeners[instance].address }

func (c *counter) close() {
	for _, l := range c.listeners {
		l.close()
	}
}

// watchBreakers records each second how many instances make no calls: those with an open breaker.
func (c *counter) watchBreakers() {
	if c.emulator.scenario.Counter.Off {
		return
	}
	c.emulator.after(breakerPeriod, func() {
		c.emulator.log.SetOpenBreakers(c.resetCalls())
		c.watchBreakers()
	})
}

// resetCalls returns how many instances have made no call since it was last called.
func (c *counter) resetCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for instance, calls := range c.calls {
		if calls == 0 {
			count++
		}
		c.calls[instance] = 0
	}
	return count
}

// schedule returns when a call that arrives now is answered, by the counter's rate and delay. It returns
// false if the queue is too long. The caller holds the lock.
func (c *counter) schedule(now time.Time) (answerAt time.Time, ok bool) {
	begin, ok := c.queue.Push(monotime.FromNanos(int64(now.Sub(c.started))))
	if !ok {
		return time.Time{}, false
	}
	delay := time.Duration(c.emulator.scenario.Counter.Delay) + c.extraDelay
	return c.started.Add(begin.Sub(monotime.Instant{}) + delay), true
}

// add adds units to a key and returns the total. It creates the entry if there is none or it has expired.
func (c *counter) add(call counterCall) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	entry := c.entries[call.key]
	if entry == nil || !entry.expiresAt.IsZero() && now.After(entry.expiresAt) {
		entry = &counterEntry{}
		if call.lifetimeMillis > 0 {
			lifetime := time.Duration(min(call.lifetimeMillis, maxLifetimeMillis)) * time.Millisecond
			entry.expiresAt = now.Add(lifetime)
		}
		c.entries[call.key] = entry
	}
	entry.total += call.units
	return entry.total
}

// expire sets the end of an entry that has none yet, and reports whether it did. The caller holds the lock.
func (c *counter) expire(key string, lifetime time.Duration) bool {
	entry := c.entries[key]
	if entry == nil || !entry.expiresAt.IsZero() {
		return false
	}
	entry.expiresAt = time.Now().Add(lifetime)
	return true
}

// CounterTotal returns the sum of all keys of the counter.
func (e *Emulator) CounterTotal() float64 {
	c := e.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, entry := range c.entries {
		total += entry.total
	}
	return total
}

// CounterAddress returns the address of the counter for an instance.
func (e *Emulator) CounterAddress(instance int) string { return e.counter.address(instance) }

// setFault begins or ends a fault.
func (c *counter) setFault(fault scenario.Fault, instance int, change faultChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch fault.Kind {
	case scenario.CounterRefuse:
		c.setRefusing(change)
	case scenario.CounterHang:
		c.setHanging(change)
	case scenario.CounterSlow:
		c.extraDelay += time.Duration(change) * time.Duration(fault.Delay)
	case scenario.CounterCut:
		c.cutOff[instance] += int(change)
	case scenario.CounterEmpty:
		clear(c.entries)
	}
}

// setRefusing closes all listeners or opens them again. The caller holds the lock.
func (c *counter) setRefusing(change faultChange) {
	switch change.count(&c.refusing) {
	case firstEdge:
		c.close()
	case lastEdge:
		for _, l := range c.listeners {
			_ = l.reopen() // a listener that stays closed shows in the run
		}
	}
}

// setHanging makes calls wait, or lets waiting calls go on. The caller holds the lock.
func (c *counter) setHanging(change faultChange) {
	if change.count(&c.hanging) == lastEdge {
		close(c.unblocked)
		c.unblocked = make(chan struct{})
	}
}
