package frontend

import "time"

// maxSkippedUnread limits how many idle connections with unread bytes are skipped in the search for one without unread
// bytes.
const maxSkippedUnread = 8

// evictionScope is the set of connections that may be evicted.
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

// includes reports whether the connection is in the scope.
func (e evictionScope) includes(c *connection) bool {
	return e == allConnections || c.validated.Load()
}

// evictIdle evicts the first idle connection of the scope in the order of eviction. It returns false if none is idle.
// True does not imply that a connection was closed: if the chosen connection has become busy meanwhile, the caller must
// call evictIdle again. The caller holds mu.
func (s *Server) evictIdle(scope evictionScope) bool {
	candidate := s.evictionCandidate(scope)
	if candidate == nil {
		return false
	}
	if candidate.closeIfIdle() {
		delete(s.connections, candidate)
	}
	return true
}

// evictionCandidate returns the first idle connection of the scope in the order of eviction, or nil if none is idle. It
// skips up to maxSkippedUnread connections with unread bytes. If all connections that it examined have unread bytes, it
// returns the first of them.
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

// evictionCandidateExcept returns the first idle connection of the scope in the order of eviction that is not in
// skipped, or nil if there is none.
func (s *Server) evictionCandidateExcept(skipped map[*connection]bool, scope evictionScope) *connection {
	var first idleConnection
	now := time.Now()
	for c := range s.connections {
		candidate, isIdle := c.idleState(now)
		if !isIdle || skipped[c] || !scope.includes(c) {
			continue
		}
		if first.connection == nil || candidate.isEvictedBefore(first) {
			first = candidate
		}
	}
	return first.connection
}

// closeIfIdle closes the connection at once if no command is pending and all input is handled, and reports whether it
// closed the connection. It does not wait for the client, because the descriptor of the connection is needed.
func (c *connection) closeIfIdle() bool {
	if !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if !c.closeInput() {
		return false
	}
	c.close()
	return true
}
