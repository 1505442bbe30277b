package frontend

import "time"

// evictionRank orders idle connections for eviction, with the first to be evicted first.
type evictionRank uint8

const (
	rankErrorSent evictionRank = iota // ended with an error
	rankSilent                        // the client has sent no valid command, and the connection is no longer new
	rankIdle                          // idle for at least commandTimeout
	rankNew                           // the client has sent no valid command yet, and the connection is new
	rankActive                        // used a moment ago
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

// idleConnection is a connection with nothing pending, as eviction ranks it.
type idleConnection struct {
	connection *connection
	rank       evictionRank
	since      time.Time
}

// before reports whether the connection is evicted before another: the one of the lower rank, or of two of the same
// rank the one that has been idle longer.
func (i idleConnection) before(other idleConnection) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.since.Before(other.since)
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
