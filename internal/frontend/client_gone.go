package frontend

import (
	"slices"
	"sync/atomic"
	"time"
)

// isClientGone reports whether the client is known to have gone.
func (c *connection) isClientGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer.isGone()
}

// clientGone records that the client has gone and cancels all requests open on the connection, since nobody
// waits for their responses.
func (c *connection) clientGone() {
	c.mu.Lock()
	c.peer = c.peer.afterGone()
	open := slices.Clone(c.pending)
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	for _, p := range open {
		if p.request != nil {
			p.request.HandleClientGone()
		}
	}
}

// mayBeLongGone reports whether the client has hung up and the last read found its bytes already there. It guards
// against forwarding a request whose client gave up long ago, while its connection waited to be accepted.
func (c *connection) mayBeLongGone() bool {
	return !c.conn.LastReadWaited() && c.conn.HungUp()
}

// waitWatched calls wait, which blocks the reader, while another goroutine watches for the client's hang-up. It
// guards against attempts for clients that sent more than is read at once and then left: while nobody reads, a
// hang-up behind unread bytes would go unnoticed. It returns when the other goroutine has ended.
func (c *connection) waitWatched(activity readerActivity, wait func()) {
	defer c.activity.enter(activity)()
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

// watchHangUp waits for the client's hang-up until waitEnded is set, which it checks each time a read deadline has
// passed.
func (c *connection) watchHangUp(waitEnded *atomic.Bool) {
	for !waitEnded.Load() {
		if c.conn.AwaitHangUp() {
			c.clientGone()
			return
		}
		// This resets the sweep's deadline. waitWatched's is not lost: waitEnded is set before it, and read after this.
		c.setReadDeadline(time.Time{})
	}
}
