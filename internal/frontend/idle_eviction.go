package frontend

import (
	"fmt"
	"time"
)

// maxSkippedUnread bounds how many idle connections with unread bytes are skipped in the search for one
// without unread bytes.
const maxSkippedUnread = 8

// evictionRank orders idle connections by how much they would be missed, with the least missed first.
type evictionRank uint8

const (
	rankRejected evictionRank = iota // rejected with an error that ends the connection
	rankSilent                       // the client has sent no valid command, and the connection is no longer new
	rankIdle                         // idle for at least commandTimeout
	rankNew                          // the client has sent no valid command yet, and the connection is new
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
	validatedConnections               // those whose client has sent a valid command
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

// before reports whether the connection would be missed less than another: it compares the ranks, then how
// long each has been idle.
func (i idleConnection) before(other idleConnection) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.since.Before(other.since)
}

// countValidated returns on how many connections the client has sent a valid command. The caller holds mu.
func (s *Server) countValidated() int {
	count := 0
	for c := range s.connections {
		if c.validated.Load() {
			count++
		}
	}
	return count
}

// evictIdle closes the connection in the scope that would be missed least. It returns false if none is idle.
// True does not mean that a connection was closed: if the chosen one has become busy meanwhile, the caller
// must look for another. The caller holds mu.
func (s *Server) evictIdle(scope evictionScope) bool {
	least := s.evictionCandidate(scope)
	if least == nil {
		return false
	}
	if least.closeIfIdle() {
		delete(s.connections, least)
	}
	return true
}

// evictionCandidate returns the idle connection that would be missed least, or nil if none is idle. It skips
// connections with unread bytes as long as it finds another. If all connections that it examined have unread
// bytes, it returns the first of them.
func (s *Server) evictionCandidate(scope evictionScope) *connection {
	var first *connection
	skipped := map[*connection]bool{}
	for {
		found := s.evictionCandidateExcept(skipped, scope)
		if found == nil {
			return first
		}
		if first == nil {
			first = found
		}
		if len(skipped) == maxSkippedUnread {
			return first
		}
		if !found.conn.HasPendingBytes() {
			return found
		}
		skipped[found] = true
	}
}

func (s *Server) evictionCandidateExcept(skipped map[*connection]bool, scope evictionScope) *connection {
	var least idleConnection
	now := time.Now()
	for c := range s.connections {
		candidate, idle := c.idleState(now)
		if !idle || skipped[c] || scope == validatedConnections && !c.validated.Load() {
			continue
		}
		if least.connection == nil || candidate.before(least) {
			least = candidate
		}
	}
	return least.connection
}

// idleState ranks the connection for eviction. It returns false if the connection is busy. A connection that
// is being written to counts as busy without further checks.
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

// rank returns how much the connection would be missed. The caller holds mu.
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
