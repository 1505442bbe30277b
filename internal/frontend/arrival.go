package frontend

import "time"

// arrivalMarkInterval is the least time between two queries for the number of bytes that wait to be read. The arrival
// of bytes that a client sends continuously is therefore known to about this interval.
const arrivalMarkInterval = 10 * time.Millisecond

// arrivalMark states that the bytes of a connection from an offset on arrived at a time or later.
type arrivalMark struct {
	offset       int64         // in the stream of bytes that the client sends
	at           time.Time     // the earliest time at which the byte at the offset can have arrived
	orderedWaits time.Duration // arrivalClock.orderedWaits at that time
}

// arrivalClock bounds from below when the bytes of a connection arrived at this machine. The time of a request counts
// from the arrival of its last byte, which may precede the read by as long as the reader did something else: it waits
// for memory, pauses after invalid commands, and the connection itself may have waited to be accepted. The kernel does
// not record the arrival of each byte, but the bytes that are not there yet when the socket is examined arrive later.
//
// Only the reader of the connection uses it.
type arrivalClock struct {
	readBytes    int64         // bytes read so far
	handledBytes int64         // end of the last command that was parsed, as an offset
	orderedWaits time.Duration // waits for the responses to earlier commands, which do not count for a request
	marks        []arrivalMark // in ascending order of offset and time; the first applies to the next command
}

// newArrivalClock returns the clock of a connection whose bytes arrived at the given time or later.
func newArrivalClock(earliest time.Time) arrivalClock {
	return arrivalClock{marks: []arrivalMark{{at: earliest}}}
}

// mark records that the bytes after the next unreadBytes bytes have not arrived before the given time.
func (a *arrivalClock) mark(unreadBytes int, at time.Time) {
	added := arrivalMark{offset: a.readBytes + int64(unreadBytes), at: at, orderedWaits: a.orderedWaits}
	last := len(a.marks) - 1
	if a.marks[last].offset == added.offset {
		a.marks[last] = added
		return
	}
	a.marks = append(a.marks, added)
}

// isMarkDue reports whether the last mark is older than arrivalMarkInterval.
func (a *arrivalClock) isMarkDue(now time.Time) bool {
	return now.Sub(a.marks[len(a.marks)-1].at) > arrivalMarkInterval
}

// recordRead records bytes that were read. waited means that the read found nothing at first.
func (a *arrivalClock) recordRead(count int, waited bool, now time.Time) {
	if waited {
		a.mark(0, now)
	}
	a.readBytes += int64(count)
}

// recordHandled records that the next size bytes form a command.
func (a *arrivalClock) recordHandled(size int) {
	a.handledBytes += int64(size)
	for len(a.marks) > 1 && a.marks[1].offset < a.handledBytes {
		a.marks = a.marks[1:]
	}
}

// recordOrderedWait records a wait for the responses to earlier commands of the connection.
func (a *arrivalClock) recordOrderedWait(wait time.Duration) { a.orderedWaits += wait }

// waitSince returns for how long the last command that was recorded as handled may have waited since its arrival. Waits
// for the responses to earlier commands count only if the connection is closing: a graceful close has to end by the
// deadlines that the clients of the open requests expect.
func (a *arrivalClock) waitSince(now time.Time, closing bool) time.Duration {
	arrival := a.marks[0]
	wait := now.Sub(arrival.at)
	if !closing {
		wait -= a.orderedWaits - arrival.orderedWaits
	}
	return max(wait, 0)
}

// unreadWait returns for how long the next byte that is not read yet may have waited since its arrival.
func (a *arrivalClock) unreadWait(now time.Time) time.Duration {
	for i := len(a.marks) - 1; i > 0; i-- {
		if a.marks[i].offset <= a.readBytes {
			return now.Sub(a.marks[i].at)
		}
	}
	return now.Sub(a.marks[0].at)
}

// markArrivals examines the socket, unless it was examined shortly before. The reader calls it before each read and
// each wait.
func (c *connection) markArrivals() {
	now := time.Now()
	if !c.reader.arrivals.isMarkDue(now) {
		return
	}
	if unread, ok := c.conn.UnreadBytes(); ok {
		c.reader.arrivals.mark(unread, now)
	}
}
