package frontend

import "time"

// evictionRank orders idle connections for eviction: connections of a lower rank are evicted first.
type evictionRank uint8

const (
	rankErrorSent evictionRank = iota // the connection is being closed with an error
	rankSilent                        // the client has sent no valid command, and the connection is no longer new
	rankIdle                          // idle for at least commandTimeout
	rankNew                           // the client has sent no valid command yet, and the connection is new
	rankActive                        // idle for less than commandTimeout
)

func (r evictionRank) String() string {
	names := []string{
		rankErrorSent: "error sent",
		rankSilent:    "silent",
		rankIdle:      "idle",
		rankNew:       "new",
		rankActive:    "active",
	}
	return enumName(names, "evictionRank", r)
}

// idleConnection is a connection without pending commands, with its rank for eviction.
type idleConnection struct {
	connection *connection
	rank       evictionRank
	since      time.Time
}

// isEvictedBefore reports whether the connection is evicted before another. Connections of the same rank are evicted in
// the order in which they became idle.
func (i idleConnection) isEvictedBefore(other idleConnection) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.since.Before(other.since)
}

// idleState returns the connection with its rank for eviction, or false if the connection is busy. A connection counts
// as busy while its lock is held, as during the write of a response.
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

// rank returns the connection's rank for eviction. The caller holds mu.
func (c *connection) rank(now time.Time) evictionRank {
	idleFor := now.Sub(c.idleSince)
	validated := c.validated.Load()
	switch {
	case c.peer.hasError():
		return rankErrorSent
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
