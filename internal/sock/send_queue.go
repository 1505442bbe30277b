package sock

import "golang.org/x/sys/unix"

// SendQueue is what the system still holds of the bytes that were written to a connection, in bytes.
type SendQueue struct {
	// Unacknowledged counts the bytes that the peer's machine has not acknowledged, including Unsent.
	Unacknowledged int
	// Unsent counts the bytes that were not sent, because the peer's machine has no room for them until its program
	// reads what came before. It equals Unacknowledged on hosts that do not tell the two apart.
	Unsent int
	// Window is for how many bytes beyond those sent the peer's machine has room, or 0 on hosts that do not state it.
	Window int
}

// SendQueue returns the state of the connection's send queue. ok is false if that is not known: the connection is
// closed, or the host rejects the call. It does not wait, and may be called concurrently with any other method.
func (c *Conn) SendQueue() (queue SendQueue, ok bool) {
	controlErr := c.raw.Control(func(fd uintptr) { queue, ok = sendQueue(int(fd)) })
	return queue, ok && controlErr == nil
}

// sendQueue returns the state of a socket's send queue.
func sendQueue(fd int) (queue SendQueue, ok bool) {
	var err error
	queue.Unacknowledged, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	if err != nil {
		return SendQueue{}, false
	}
	queue.Unsent, err = unix.IoctlGetInt(fd, unix.SIOCOUTQNSD)
	if err != nil {
		queue.Unsent = queue.Unacknowledged
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil {
		inFlight := queue.Unacknowledged - queue.Unsent
		queue.Window = max(int(info.Snd_wnd)-inFlight, 0)
	}
	return queue, true
}

// Reset closes the connection at once and drops what the peer's machine has not received. Close, in contrast, lets the
// system send all that was written.
func (c *Conn) Reset() error {
	_ = c.SetLinger(0) // fails only if the connection is already closed
	return c.Close()
}
