package frontend

import (
	"slices"
	"sync/atomic"
	"time"
)

// isClientGone reports whether the client is known to have disconnected.
func (c *connection) isClientGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer.isGone()
}

// handleClientGone records that the client has disconnected and cancels all open requests of the connection, since
// their responses can no longer be delivered.
func (c *connection) handleClientGone() {
	c.mu.Lock()
	c.peer = c.peer.afterGone()
	openCommands := slices.Clone(c.pending)
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	for _, p := range openCommands {
		if p.request != nil {
			p.request.HandleClientGone()
		}
	}
}

// mayHaveHungUpBeforeRead reports whether the client has hung up and the last read returned bytes without waiting. Such
// a client may have given up long ago, while its connection waited to be accepted, so its requests are not forwarded.
func (c *connection) mayHaveHungUpBeforeRead() bool {
	return !c.conn.LastReadWaited() && c.conn.HungUp()
}

// waitWatchingHangUp calls wait, which blocks the reader, while another goroutine watches for the client's hang-up. The
// reader itself does not detect a hang-up that follows unread bytes while it waits, so attempts would be made for
// clients that sent more than one read returns and then disconnected. waitWatchingHangUp returns when the other
// goroutine has ended.
func (c *connection) waitWatchingHangUp(activity readerActivity, wait func()) {
	defer c.activity.enter(activity)()
	c.markArrivals() // what arrives during the wait has not arrived before it
	var waitEnded atomic.Bool
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		c.watchHangUp(&waitEnded)
	}()
	wait()
	waitEnded.Store(true)
	c.setReadDeadline(time.Now())
	<-watchEnded
	c.setReadDeadline(time.Time{})
}

// watchHangUp waits for the client's hang-up until waitEnded is set. It checks waitEnded each time a read deadline has
// passed.
func (c *connection) watchHangUp(waitEnded *atomic.Bool) {
	for !waitEnded.Load() {
		if c.conn.AwaitHangUp() {
			c.handleClientGone()
			return
		}
		// This removes a read deadline that the sweep has set. If it removes the one of waitWatchingHangUp, the next
		// check ends the loop: waitWatchingHangUp sets waitEnded before that deadline.
		c.setReadDeadline(time.Time{})
	}
}
