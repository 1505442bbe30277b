package frontend

import "time"

// maxSkippedUnread bounds how many idle connections with unread bytes are skipped in the search for one
// without unread bytes.
const maxSkippedUnread = 8

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

// includes reports whether the connection may be evicted.
func (e evictionScope) includes(c *connection) bool {
	return e == allConnections || c.validated.Load()
}

// evictIdle closes the connection in the scope that eviction ranks first. It returns false if none is idle.
// True does not mean that a connection was closed: if the chosen one has become busy meanwhile, the caller
// must look for another. The caller holds mu.
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

// evictionCandidate returns the idle connection that eviction ranks first, or nil if none is idle. It skips
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

// evictionCandidateExcept returns the idle connection that eviction ranks first of those that are not skipped, or nil
// if there is none.
func (s *Server) evictionCandidateExcept(skipped map[*connection]bool, scope evictionScope) *connection {
	var first idleConnection
	now := time.Now()
	for c := range s.connections {
		candidate, isIdle := c.idleState(now)
		if !isIdle || skipped[c] || !scope.includes(c) {
			continue
		}
		if first.connection == nil || candidate.before(first) {
			first = candidate
		}
	}
	return first.connection
}

// closeIfIdle closes the connection at once if nothing is open on it, because its descriptor is needed. It
// reports whether it closed the connection.
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
