package frontend

// Before implements sock.ReadGuard: sock.Conn calls it before each attempt to read. It returns true with inputMu held,
// which After unlocks, so that the read and the resulting change of the input state are one atomic step for other
// goroutines. If the input is closed, it returns false with inputMu unlocked, which ends the read.
func (c *connection) Before() bool {
	c.inputMu.Lock()
	if c.input == inputClosed {
		c.inputMu.Unlock()
		return false
	}
	return true
}

// After implements sock.ReadGuard: sock.Conn calls it after each attempt to read that Before allowed. It
// unlocks inputMu, which Before has locked.
func (c *connection) After(bytesRead int) {
	if bytesRead > 0 {
		c.input = inputUnhandled
	}
	c.inputMu.Unlock()
}

// inputHandled records that all complete commands read so far have been handled.
func (c *connection) inputHandled() {
	c.inputMu.Lock()
	if c.input == inputUnhandled {
		c.input = inputIdle
	}
	c.inputMu.Unlock()
	c.server.signalConnectionCapacity()
}

func (c *connection) isInputClosed() bool {
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	return c.input == inputClosed
}

// closeInput closes the input, so that nothing more is read, unless a command is pending or bytes that were read are
// not handled yet. It reports whether the input is closed. The caller holds mu.
func (c *connection) closeInput() bool {
	if len(c.pending) > 0 {
		return false
	}
	c.inputMu.Lock()
	defer c.inputMu.Unlock()
	if c.input == inputIdle {
		c.input = inputClosed
	}
	return c.input == inputClosed
}
