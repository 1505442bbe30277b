package backend

import (
	"errors"
	"slices"
	"time"

	"fawnplank/policy"
)

// minIdle is how long a connection must be idle before it is used again. According to the operators, a backend may
// send a second response to an attempt some milliseconds after the first. If the connection were in use again, that
// response would be taken for the response to the next attempt.
const minIdle = 10 * time.Millisecond

// errConnectionLimit means that MaxConnections connections are open or being opened, and none is idle.
var errConnectionLimit = errors.New("connection limit of this gateway reached and no connection is idle")

// acquire returns an idle connection to a backend. If the connection is nil and there is no error, the caller must
// dial the returned endpoint; the slot of the new connection is already taken.
func (p *Pool) acquire(backend policy.BackendID) (*conn, *endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.endpoints[backend]
	if target == nil {
		return nil, nil, errNoAddress
	}
	if c := p.takeIdle(target); c != nil {
		return c, target, nil
	}
	return nil, target, p.takeSlot()
}

// takeIdle returns the most recently used of an endpoint's usable idle connections, or nil. It closes the connections
// that it finds to be no longer usable. The caller holds the lock.
func (p *Pool) takeIdle(target *endpoint) *conn {
	now := time.Now()
	p.closeLongIdle(target, now)
	for i := len(target.idle) - 1; i >= 0; i-- {
		c := target.idle[i]
		idleFor := now.Sub(c.lastUsed)
		if idleFor < minIdle {
			continue
		}
		if !c.isIntact() {
			c.close()
			continue
		}
		p.idleStats.decay(now)
		if p.idleStats.isStale(idleFor) {
			c.close()
			continue
		}
		target.idle = slices.Delete(target.idle, i, i+1)
		c.state = stateReserved
		c.idleDuration = idleFor
		return c
	}
	return nil
}

// closeLongIdle closes the connections of an endpoint that have been idle for longer than maxIdle. It guards
// against sending an attempt on a connection that its backend is closing. The caller holds the lock.
func (p *Pool) closeLongIdle(target *endpoint, now time.Time) {
	for len(target.idle) > 0 && now.Sub(target.idle[0].lastUsed) > p.maxIdle {
		target.idle[0].close()
	}
}

// isIntact reports whether nothing has arrived on an idle connection. It guards against sending an attempt on a
// connection with something that the reader has not handled yet, such as stray bytes or the connection's end.
func (c *conn) isIntact() bool { return c.socket.IsConsumed() }

// takeSlot counts a connection that is about to be opened, or returns errConnectionLimit. The limit keeps the process
// from opening more connections than it has descriptors for. At the limit, takeSlot closes the connection that has
// been idle longest, to whichever backend, and fails if none is idle. Once a conn is dialed, its close releases the
// slot; otherwise the caller calls releaseSlot. The caller holds the lock.
func (p *Pool) takeSlot() error {
	if p.connections >= p.maxConnections {
		oldest := p.longestIdle()
		if oldest == nil {
			return errConnectionLimit
		}
		oldest.close()
	}
	p.connections++
	return nil
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle. On a tie, it returns any of
// the connections concerned. The caller holds the lock.
func (p *Pool) longestIdle() *conn {
	var oldest *conn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].lastUsed.Before(oldest.lastUsed)) {
			oldest = e.idle[0]
		}
	}
	return oldest
}

// releaseSlot releases a slot that belongs to no conn: that of a failed dial or of a health check.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections--
}
