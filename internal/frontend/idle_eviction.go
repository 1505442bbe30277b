package frontend

import (
	"fmt"
	"time"
)

const (
	// sweepInterval is how often silent connections are looked for: fine enough against commandTimeout.
	sweepInterval = 250 * time.Millisecond
	// maxUnreadPassedOver bounds how many idle connections with unread bytes are passed over in search of one
	// without.
	maxUnreadPassedOver = 8
)

// evictionRank orders idle connections by how much they would be missed, the least missed first.
type evictionRank uint8

const (
	rankRejected evictionRank = iota // rejected with an error that ends the connection
	rankSilent                       // has sent no valid command, and is no longer new
	rankIdle                         // idle for commandTimeout at least
	rankNew                          // has sent no valid command yet, and is new
	rankActive                       // used a moment ago
)

func (r evictionRank) String() string {
	names := [...]string{
		rankRejected: "rejected", rankSilent: "silent", rankIdle: "idle",
		rankNew: "new", rankActive: "active",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("evictionRank(%d)", uint8(r))
}

// evictionScope says which connections may be evicted.
type evictionScope uint8

const (
	allConnections       evictionScope = iota
	validatedConnections               // those that have sent a valid command
)

func (e evictionScope) String() string {
	if e == validatedConnections {
		return "validated connections"
	}
	return "all connections"
}

// idleConnection is a connection with nothing pending, as eviction ranks it.
type idleConnection struct {
	connection *connection
	rank       evictionRank
	since      time.Time
}

// before reports whether the connection is missed less than another: by rank, then by how long it has been
// idle.
func (i idleConnection) before(other idleConnection) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.since.Before(other.since)
}

// sweepConnections ends connections that are silent or send too slowly, and closes idle ones once a drain has
// lasted drainDelay. It runs until no more are accepted and all have ended.
func (s *Server) sweepConnections(acceptEnded <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for accepting := true; accepting || s.Connections() > 0; {
		select {
		case <-acceptEnded:
			acceptEnded = nil
			accepting = false
		case now := <-ticker.C:
			s.sweep(now)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	if since := s.drainingSinceNanos.Load(); since != 0 && now.UnixNano()-since > int64(drainDelay) {
		s.closeConnections()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.commandOverdue(now) {
			c.setReadDeadline(now) // its reader rejects it
		}
	}
}

// countValidated returns how many connections have sent a valid command. The caller holds mu.
func (s *Server) countValidated() int {
	count := 0
	for c := range s.connections {
		if c.validated.Load() {
			count++
		}
	}
	return count
}

// evictIdle closes the connection of the scope that is missed the least; false says that none is idle. True
// does not say that one was closed: where it has become busy meanwhile, the caller looks for another. The
// caller holds mu.
func (s *Server) evictIdle(scope evictionScope) bool {
	least := s.leastMissed(scope)
	if least == nil {
		return false
	}
	if least.closeIfIdle() {
		delete(s.connections, least)
	}
	return true
}

// leastMissed returns the idle connection that is missed the least, nil where there is none. One with unread
// bytes is passed over while another will do; where all that were looked at have unread bytes, it is the
// first of them.
func (s *Server) leastMissed(scope evictionScope) *connection {
	var first *connection
	passedOver := map[*connection]bool{}
	for {
		found := s.leastMissedExcept(passedOver, scope)
		if found == nil {
			return first
		}
		if first == nil {
			first = found
		}
		if len(passedOver) == maxUnreadPassedOver {
			return first
		}
		if !found.conn.HasPendingBytes() {
			return found
		}
		passedOver[found] = true
	}
}

func (s *Server) leastMissedExcept(passedOver map[*connection]bool, scope evictionScope) *connection {
	var least idleConnection
	now := time.Now()
	for c := range s.connections {
		candidate, idle := c.idleState(now)
		if !idle || passedOver[c] || scope == validatedConnections && !c.validated.Load() {
			continue
		}
		if least.connection == nil || candidate.before(least) {
			least = candidate
		}
	}
	return least.connection
}

// idleState ranks the connection for eviction; false says that it is busy. One that is just being written to
// is not asked.
func (c *connection) idleState(now time.Time) (idleConnection, bool) {
	if !c.mu.TryLock() {
		return idleConnection{}, false
	}
	defer c.mu.Unlock()
	state := idleConnection{connection: c, rank: c.rank(now), since: c.idleSince}
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	return state, len(c.pending) == 0 && c.input != inputUnhandled
}

// rank tells how much the connection would be missed. The caller holds mu.
func (c *connection) rank(now time.Time) evictionRank {
	idleFor, validated := now.Sub(c.idleSince), c.validated.Load()
	switch {
	case c.peer.rejected():
		return rankRejected
	case !validated && idleFor > newConnectionGrace:
		return rankSilent
	case idleFor >= commandTimeout:
		return rankIdle
	case !validated:
		return rankNew
	default:
		return rankActive
	}
}
