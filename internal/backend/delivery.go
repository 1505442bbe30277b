package backend

import (
	"errors"
	"net"
	"os"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/sock"
)

const (
	// heldBackBytes is the size of the end of a large command that is written last. It is more than the line end that a
	// lenient backend may not wait for.
	heldBackBytes = 64
	// minDeliveryPoll and maxDeliveryPoll bound the time between two looks at a command on its way, which doubles.
	minDeliveryPoll = 500 * time.Microsecond
	maxDeliveryPoll = 10 * time.Millisecond
	// maxWindowWait is how long the end of a command waits for a backend's machine that has received all before it and
	// whose window stays small. A window that has become smaller for good would hold the command back forever.
	maxWindowWait = 300 * time.Millisecond
)

// delivery writes a large command, whose bytes may be on their way for long after they were written: in the send buffer
// of this machine, and then in the receive buffer of the backend's, while the backend's program reads slowly. A backend
// begins a command once its last byte has arrived, so the end of the command is held back until the rest has been sent
// and the backend's machine has shown by its window that most of it was read. An attempt that is given up before that
// has certainly not run.
type delivery struct {
	conn    *conn
	attempt *dispatch.Attempt
	size    int64
	written int64
	window  int // of the backend's machine before the command

	arrived    int64 // bytes that the backend's machine has acknowledged
	progressAt time.Time
}

// deliver writes a large command. progress is dispatch.Written once the end of the command may have been written.
func (c *conn) deliver(attempt *dispatch.Attempt, parts [][]byte) (progress dispatch.Progress, err error) {
	queue, _ := c.socket.SendQueue()
	d := &delivery{
		conn:       c,
		attempt:    attempt,
		size:       commandBytes(parts),
		window:     queue.Window,
		progressAt: time.Now(),
	}
	attempt.BeginDelivery()
	beginning, end := splitCommand(parts)
	if err := d.writeBeginning(beginning); err != nil {
		return dispatch.Writing, err
	}
	if err := d.awaitArrival(); err != nil {
		return dispatch.Writing, err
	}
	if !attempt.CompleteDelivery() {
		return dispatch.Writing, net.ErrClosed
	}
	return d.writeEnd(end)
}

// splitCommand returns the parts of a command without its last heldBackBytes, and these. The last part of a command is
// its body or ends with it.
func splitCommand(parts [][]byte) (beginning [][]byte, end []byte) {
	last := parts[len(parts)-1]
	cut := max(len(last)-heldBackBytes, 0)
	beginning = append([][]byte{}, parts[:len(parts)-1]...)
	return append(beginning, last[:cut]), last[cut:]
}

// writeBeginning writes all but the end of the command, as fast as the send buffer takes it.
func (d *delivery) writeBeginning(parts [][]byte) error {
	for len(parts) > 0 {
		if d.isAnswered() {
			return d.writeRest(parts)
		}
		// Fails only on a closed connection, on which the write fails too.
		_ = d.conn.socket.SetWriteDeadline(time.Now().Add(maxDeliveryPoll))
		count, err := d.conn.socket.WriteBuffers(parts...)
		d.written += count
		parts = skipBytes(parts, count)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil {
			d.look()
		}
	}
	return nil
}

// skipBytes returns what follows the first count bytes of the parts.
func skipBytes(parts [][]byte, count int64) [][]byte {
	for len(parts) > 0 && count >= int64(len(parts[0])) {
		count -= int64(len(parts[0]))
		parts = parts[1:]
	}
	if len(parts) > 0 {
		parts = append([][]byte{parts[0][count:]}, parts[1:]...)
	}
	return parts
}

// writeRest writes the rest of a command whose response has arrived, for earlyResponseGrace.
func (d *delivery) writeRest(parts [][]byte) error {
	_ = d.conn.socket.SetWriteDeadline(time.Now().Add(earlyResponseGrace)) // fails only on a closed connection
	_, err := d.conn.socket.WriteBuffers(parts...)
	return err
}

// isAnswered reports whether a response has arrived before the command was written.
func (d *delivery) isAnswered() bool {
	d.conn.pool.mu.Lock()
	defer d.conn.pool.mu.Unlock()
	return d.conn.state == stateRespondedEarly
}

// awaitArrival waits until the end of the command may follow. It returns an error if the connection has ended.
func (d *delivery) awaitArrival() error {
	for interval := minDeliveryPoll; !d.look() && !d.isAnswered(); interval = min(2*interval, maxDeliveryPoll) {
		select {
		case <-d.conn.readerDone:
			return net.ErrClosed
		case <-time.After(interval):
		}
	}
	return nil
}

// look looks at the command on its way and reports progress to the dispatcher. It returns true if all that was written
// has arrived and most of it was read, as far as this host and the backend's machine show that.
func (d *delivery) look() (mostRead bool) {
	queue, ok := d.conn.socket.SendQueue()
	if !ok {
		return true
	}
	arrived := d.written - int64(queue.Unacknowledged)
	hasProgressed := arrived > d.arrived
	if hasProgressed {
		d.arrived = arrived
		d.progressAt = time.Now()
	}
	if queue.Unsent == 0 && (d.hasWindow(queue) || time.Since(d.progressAt) > maxWindowWait) {
		return true
	}
	if hasProgressed {
		d.attempt.ReportDelivery(float64(d.arrived) / float64(d.size))
	}
	return false
}

// hasWindow reports whether the backend's machine has room for half of what it had room for before the command.
func (d *delivery) hasWindow(queue sock.SendQueue) bool { return queue.Window >= d.window/2 }

// writeEnd writes the end of the command. From then on the attempt may run.
func (d *delivery) writeEnd(end []byte) (progress dispatch.Progress, err error) {
	_ = d.conn.socket.SetWriteDeadline(d.endDeadline()) // fails only on a closed connection
	written, err := d.conn.socket.WriteBuffers(end)
	if written < int64(len(end)) {
		return dispatch.Writing, err
	}
	return dispatch.Written, err
}

// endDeadline returns the write deadline for the end of the command, or zero for none.
func (d *delivery) endDeadline() time.Time {
	if d.isAnswered() {
		return time.Now().Add(earlyResponseGrace)
	}
	return time.Time{}
}
