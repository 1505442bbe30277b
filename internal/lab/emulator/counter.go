package emulator

import (
	"net"
	"sync"
	"time"

	"fawnplank/internal/lab/scenario"
)

const (
	// breakerPeriod is how often the instances that make no calls are counted. It is the resolution of the run's
	// record.
	breakerPeriod = time.Second

	// maxKeyLifeMillis bounds a key's lifetime in the line protocol: 60 s by the platform's protocol.
	maxKeyLifeMillis = 60000

	// overloadTimeouts is how many of the gateway's timeouts a call may wait. The counter refuses calls that
	// would wait longer, like one whose queue is full.
	overloadTimeouts = 4
)

// counter stands in for the counter. Each instance has its own address there, so that it can be cut off
// alone; all instances share the keys.
type counter struct {
	emulator  *Emulator
	listeners []*listener // of each instance

	mu        sync.Mutex // guards what follows
	keys      map[string]*counterKey
	freeAt    time.Time // when it can begin the next call
	refusing  int       // how many faults of the kind are active; likewise below
	hanging   int
	cut       map[int]int // of each instance
	slowness  time.Duration
	calls     []int         // of each instance, since the last count of breakers
	unblocked chan struct{} // closed at the end of a hang
}

// counterKey is the number under a key.
type counterKey struct {
	total     float64
	expiresAt time.Time // zero: never
}

// counterCall is an addition that an instance asks for.
type counterCall struct {
	key        string
	units      float64
	lifeMillis int64 // lifetime of a key that the call creates; 0: without an end
}

func newCounter(e *Emulator) (*counter, error) {
	c := &counter{
		emulator:  e,
		keys:      map[string]*counterKey{},
		cut:       map[int]int{},
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
	silent := 0
	for instance, calls := range c.calls {
		if calls == 0 {
			silent++
		}
		c.calls[instance] = 0
	}
	return silent
}

// schedule returns when a call that arrives now is answered, by the counter's rate and delay. It returns
// false if the queue is too long. The caller holds the lock.
func (c *counter) schedule(now time.Time) (time.Time, bool) {
	settings := c.emulator.scenario.Counter
	startAt := now
	if c.freeAt.After(now) {
		startAt = c.freeAt
	}
	if settings.Rate > 0 {
		if startAt.Sub(now) > overloadTimeouts*time.Duration(settings.Timeout) {
			return time.Time{}, false
		}
		c.freeAt = startAt.Add(time.Duration(1e9 / settings.Rate))
	}
	return startAt.Add(time.Duration(settings.Delay) + c.slowness), true
}

// add adds units to a key and returns the total. It creates the key if it does not exist or has expired.
func (c *counter) add(call counterCall) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	key := c.keys[call.key]
	if key == nil || !key.expiresAt.IsZero() && now.After(key.expiresAt) {
		key = &counterKey{}
		if call.lifeMillis > 0 {
			key.expiresAt = now.Add(time.Duration(min(call.lifeMillis, maxKeyLifeMillis)) * time.Millisecond)
		}
		c.keys[call.key] = key
	}
	key.total += call.units
	return key.total
}

// expire sets the end of a key that has none yet, and reports whether it did. The caller holds the lock.
func (c *counter) expire(name string, lifetime time.Duration) bool {
	key := c.keys[name]
	if key == nil || !key.expiresAt.IsZero() {
		return false
	}
	key.expiresAt = time.Now().Add(lifetime)
	return true
}

// CounterTotal returns the sum of all keys of the counter.
func (e *Emulator) CounterTotal() float64 {
	c := e.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, key := range c.keys {
		total += key.total
	}
	return total
}

// CounterAddress returns the address of the counter for an instance.
func (e *Emulator) CounterAddress(instance int) string { return e.counter.address(instance) }

// setFault begins or ends a fault.
func (c *counter) setFault(fault scenario.Fault, instance int, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch fault.Kind {
	case scenario.CounterRefuse:
		c.setRefusing(active)
	case scenario.CounterHang:
		c.setHanging(active)
	case scenario.CounterSlow:
		c.slowness += time.Duration(step(active)) * time.Duration(fault.Delay)
	case scenario.CounterCut:
		c.cut[instance] += step(active)
	case scenario.CounterEmpty:
		clear(c.keys)
	}
}

// setRefusing closes all listeners or opens them again. The caller holds the lock.
func (c *counter) setRefusing(active bool) {
	c.refusing += step(active)
	switch {
	case active && c.refusing == 1:
		c.close()
	case !active && c.refusing == 0:
		for _, l := range c.listeners {
			_ = l.reopen() // a listener that stays closed shows in the run
		}
	}
}

// setHanging makes calls wait, or lets waiting calls go on. The caller holds the lock.
func (c *counter) setHanging(active bool) {
	c.hanging += step(active)
	if !active && c.hanging == 0 {
		close(c.unblocked)
		c.unblocked = make(chan struct{})
	}
}
