package frontend

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

const (
	// heldAfter is how long a drain has lasted when the connections that are still open are logged: later than
	// any idle connection ends, and before the load balancer counts them as lost.
	heldAfter = 2500 * time.Millisecond
	// maxHeldLogged bounds how many connections one look logs, so that a crowd does not flood the log.
	maxHeldLogged = 8
)

// readerActivity is what the reader of a connection is doing. It is kept for the log only.
type readerActivity uint32

const (
	readerReads           readerActivity = iota // reads, or waits for bytes
	readerHandles                               // handles the commands that were read
	readerPauses                                // pauses after an invalid command
	readerAwaitsCapacity                        // waits for capacity among the pending commands
	readerAwaitsMemory                          // waits for memory for a large command
	readerAwaitsResponses                       // waits until all pending commands are answered
	readerRejects                               // discards input after an error that ends the connection
	readerLingers                               // gives the client time to take its last response
)

func (a readerActivity) String() string {
	names := [...]string{
		readerReads: "reads", readerHandles: "handles commands", readerPauses: "pauses after an invalid command",
		readerAwaitsCapacity: "awaits capacity", readerAwaitsMemory: "awaits memory",
		readerAwaitsResponses: "awaits responses", readerRejects: "discards after an error", readerLingers: "lingers",
	}
	if int(a) < len(names) {
		return names[a]
	}
	return fmt.Sprintf("readerActivity(%d)", uint32(a))
}

// activityTracker holds a readerActivity that one goroutine sets and others read.
type activityTracker struct{ current atomic.Uint32 }

func (t *activityTracker) load() readerActivity { return readerActivity(t.current.Load()) }

// enter sets the activity and returns a function that restores the one before.
func (t *activityTracker) enter(activity readerActivity) (restore func()) {
	previous := t.current.Swap(uint32(activity))
	return func() { t.current.Store(previous) }
}

// logHeldConnections logs, once each, connections that are open though a drain has lasted for long: those that
// have not ended, and those that clients have opened since.
func (s *Server) logHeldConnections(drainAge time.Duration) {
	if drainAge < heldAfter {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	logged := 0
	for c := range s.connections {
		if logged == maxHeldLogged {
			return
		}
		if now.Sub(c.acceptedAt) < newConnectionGrace || c.heldLogged.Swap(true) {
			continue
		}
		logged++
		entry := logging.For(logComponent).WithFields(c.logFields(now)).WithField("drain_age", drainAge.String())
		if now.Sub(c.acceptedAt) > drainAge {
			entry.Warn("connection outlasts drain")
		} else {
			entry.Warn("connection opened during drain stays open")
		}
	}
}

// logFields describes the connection for the log. It does not wait for mu, which a writer may hold for long.
func (c *connection) logFields(now time.Time) logrus.Fields {
	fields := logrus.Fields{
		"client":   c.conn.RemoteAddr().String(),
		"open_for": now.Sub(c.acceptedAt).String(),
		"reader":   c.activity.load().String(),
		"received": c.received.Load(),
	}
	if !c.mu.TryLock() {
		fields["writing"] = true
		return fields
	}
	defer c.mu.Unlock()
	fields["peer"] = c.peer.String()
	fields["pending"] = len(c.pending)
	fields["requests"] = c.openRequests()
	return fields
}

// openRequests returns how many of the pending commands are requests. The caller holds mu.
func (c *connection) openRequests() int {
	count := 0
	for _, p := range c.pending {
		if p.isRequest {
			count++
		}
	}
	return count
}
