package frontend

import "time"

// After an invalid command the server does not read the connection for invalidCommandPauseStep multiplied by the number
// of invalid commands received on the connection so far, but for maxInvalidCommandPause at most.
const (
	invalidCommandPauseStep = 10 * time.Millisecond
	maxInvalidCommandPause  = 500 * time.Millisecond
)

// pauseAfterInvalidCommand delays the next read of a client that sends invalid commands, longer with each of them. It
// keeps a client that repeats an invalid command immediately and endlessly from using processor time that other clients
// need.
func (c *connection) pauseAfterInvalidCommand() {
	if c.closing.Load() {
		return
	}
	pause := min(time.Duration(c.reader.invalidCommandCount)*invalidCommandPauseStep, maxInvalidCommandPause)
	c.waitWatchingHangUp(readerPauses, func() { c.sleep(pause) })
}

// sleep waits for the duration, or until the client has disconnected or the connection is closing.
func (c *connection) sleep(duration time.Duration) {
	hasElapsed := false
	timer := time.AfterFunc(duration, func() {
		c.mu.Lock()
		hasElapsed = true
		c.mu.Unlock()
		c.stateChanged.Broadcast()
	})
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.peer.isGone() && !c.closing.Load() && !hasElapsed {
		c.stateChanged.Wait()
	}
}
