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
	// breakerSampleInterval is how often the instances without calls are counted. It equals the resolution of the
	// run's results.
	breakerSampleInterval = time.Second

	// maxLifetimeMillis is the longest lifetime of an entry that the line protocol allows.
	maxLifetimeMillis = 60000
)

// counter emulates the counter. Each instance has its own address, so that a CounterCut fault can cut off a single
// instance; all instances share the keys.
type counter struct {
	emulator  *Emulator
	listeners []*listener // by instance
	startTime time.Time   // origin of the queue's instants

	mu         sync.Mutex // guards the fields below
	entries    map[string]*counterEntry
	queue      counterqueue.Queue
	refusing   int           // number of active CounterRefuse faults
	hanging    int           // number of active CounterHang faults
	cutOff     map[int]int   // number of active CounterCut faults by instance
	extraDelay time.Duration // sum of the delays of the active CounterSlow faults
	calls      []int         // by instance, since the last sample of the breakers
	hangEnded  chan struct{} // closed when the last CounterHang fault ends
}

// counterEntry is the value of a key.
type counterEntry struct {
	total     float64
	expiresAt time.Time // zero: never
}

// counterCall is the call of an instance that adds units to a key.
type counterCall struct {
	key            string
	units          float64
	lifetimeMillis int64 // lifetime of an entry that the call creates; 0: unlimited
}

func newCounter(e *Emulator) (*counter, error) {
	settings := &e.scenario.Counter
	c := &counter{
		emulator:  e,
		startTime: time.Now(),
		entries:   map[string]*counterEntry{},
		queue:     counterqueue.New(settings.MaxRate, time.Duration(settings.Timeout)),
		cutOff:    map[int]int{},
		calls:     make([]int, e.scenario.Instances.Count),
		hangEnded: make(chan struct{}),
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

// sampleBreakers records every second how many instances made no calls, which are taken to have an open circuit
// breaker.
func (c *counter) sampleBreakers() {
	if c.emulator.scenario.Counter.Off {
		return
	}
	c.emulator.after(breakerSampleInterval, func() {
		c.emulator.log.SetOpenBreakers(c.countInstancesWithoutCalls())
		c.sampleBreakers()
	})
}

// countInstancesWithoutCalls returns how many instances have made no call since it was last called, and resets the
// counts of calls.
func (c *counter) countInstancesWithoutCalls() int {
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

// schedule queues a call and returns when to answer it, according to the counter's rate and delay. It returns false
// if the queue is too long. The caller holds the lock.
func (c *counter) schedule(now time.Time) (answerAt time.Time, ok bool) {
	begin, ok := c.queue.Push(monotime.FromNanos(int64(now.Sub(c.startTime))))
	if !ok {
		return time.Time{}, false
	}
	delay := time.Duration(c.emulator.scenario.Counter.Delay) + c.extraDelay
	return c.startTime.Add(begin.Sub(monotime.Instant{}) + delay), true
}

// add adds the units of a call to its key and returns the total. It creates the entry if there is none or the entry
// has expired.
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

// setExpiry sets when an entry expires if that is not set yet, and reports whether it did. The caller holds the lock.
func (c *counter) setExpiry(key string, lifetime time.Duration) bool {
	entry := c.entries[key]
	if entry == nil || !entry.expiresAt.IsZero() {
		return false
	}
	entry.expiresAt = time.Now().Add(lifetime)
	return true
}

// CounterTotal returns the sum of the totals of all keys of the counter.
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

// CounterAddress returns the address at which an instance reaches the counter.
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
	switch change.addTo(&c.refusing) {
	case becameActive:
		c.close()
	case becameInactive:
		for _, l := range c.listeners {
			_ = l.reopen() // if this fails, the results of the run show the refused calls
		}
	}
}

// setHanging makes calls wait for the end of the fault, or releases the waiting calls. The caller holds the lock.
func (c *counter) setHanging(change faultChange) {
	if change.addTo(&c.hanging) == becameInactive {
		close(c.hangEnded)
		c.hangEnded = make(chan struct{})
	}
}
