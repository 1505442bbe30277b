package frontend

import "time"

// After an invalid command the server stops reading the connection for a while: invalidCommandPauseStep for each
// invalid command that the connection has sent so far, but maxInvalidCommandPause at most.
const (
	invalidCommandPauseStep = 10 * time.Millisecond
	maxInvalidCommandPause  = 500 * time.Millisecond
)

// pauseAfterInvalidCommand makes a client that sends invalid commands wait, longer with each of them. It guards
// against a client that repeats the same command at once, without end, and takes the processor from others.
func (c *connection) pauseAfterInvalidCommand() {
	if c.ending.Load() {
		return
	}
	pause := min(time.Duration(c.reader.invalidCommands)*invalidCommandPauseStep, maxInvalidCommandPause)
	began := time.Now()
	c.waitWatched(readerPauses, func() { c.sleep(pause) })
	c.reader.paused += time.Since(began)
}

// sleep waits for the duration, or until the client has gone or the connection is to end.
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
	for !c.peer.isGone() && !c.ending.Load() && !hasElapsed {
		c.stateChanged.Wait()
	}
}
