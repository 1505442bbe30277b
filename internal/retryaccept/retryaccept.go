// Package retryaccept retries failed accepts, so that servers continue after temporary failures, such as a shortage
// of file descriptors or memory (ENFILE, ENOBUFS, ECONNABORTED and others). The servers of other packages stop, or
// pause for up to a second, when Accept returns an error.
//
// A Listener owns the listener that it wraps. Accept has one caller at a time; the other methods are safe for
// concurrent use, except where they say otherwise.
package retryaccept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fawnplank/internal/logging"
)

// RetryDelay is the delay after a failed accept. It may be short, since file descriptors are soon released even if the
// process has used up all of them.
const RetryDelay = 10 * time.Millisecond

// backlogAcceptTime bounds the time that it takes to accept a connection that is already waiting. An accept that takes
// longer has waited for its connection.
const backlogAcceptTime = 10 * time.Millisecond

// Listener is a listener whose Accept fails only once the listener is closed or its deadline has passed.
type Listener struct {
	net.Listener
	component string          // component of the owner in the log
	failing   atomic.Bool     // the last accept failed
	raw       syscall.RawConn // nil if the listener has no descriptor
	// earliestArrival is the time before which no connection that waits to be accepted has arrived.
	earliestArrival time.Time
}

// New wraps a listener. The component names its owner in the log.
func New(listener net.Listener, component string) *Listener {
	l := &Listener{Listener: listener, component: component, earliestArrival: time.Now()}
	if withDescriptor, ok := listener.(syscall.Conn); ok {
		if raw, err := withDescriptor.SyscallConn(); err == nil { // fails only on a closed listener
			l.raw = raw
		}
	}
	return l
}

// EarliestArrival returns the earliest time at which the last accepted connection can have arrived at this machine. It
// may have waited to be accepted since then, together with the bytes that its client has sent. Only the goroutine that
// calls Accept may call it.
func (l *Listener) EarliestArrival() time.Time { return l.earliestArrival }

// Accept waits for a connection. After a failure it waits for RetryDelay and retries, so that a temporary shortage of
// file descriptors or memory does not stop a server permanently. It returns an error once the listener is closed
// (net.ErrClosed) or its deadline has passed (os.ErrDeadlineExceeded). While accepts fail, the deadline has no effect,
// since connections that could not be accepted may still be waiting.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptOnce()
		switch {
		case err == nil:
			l.recordSuccess()
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !l.failing.Load() {
				return nil, err
			}
		default:
			l.recordFailure(err)
		}
		time.Sleep(RetryDelay)
	}
}

// acceptOnce makes one attempt to accept a connection. If none was waiting at its beginning, the connections that are
// accepted from then on have not arrived before its end.
func (l *Listener) acceptOnce() (net.Conn, error) {
	wasWaiting := l.isConnectionWaiting()
	start := time.Now()
	conn, err := l.Listener.Accept()
	if now := time.Now(); !wasWaiting || now.Sub(start) > backlogAcceptTime {
		l.earliestArrival = now
	}
	return conn, err
}

// isConnectionWaiting reports whether a connection waits to be accepted. It returns false if that is not known.
func (l *Listener) isConnectionWaiting() (waiting bool) {
	if l.raw == nil {
		return false
	}
	err := l.raw.Control(func(fd uintptr) {
		pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(pollFDs, 0)
		waiting = err == nil && n > 0 && pollFDs[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

// Failing reports whether the last accept failed, so that connections may be waiting to be accepted.
func (l *Listener) Failing() bool { return l.failing.Load() }

// recordFailure records a failed accept, and logs the first failure of an outage.
func (l *Listener) recordFailure(err error) {
	if !l.failing.Swap(true) {
		logging.For(l.component).WithError(err).Warn("accept failed")
	}
}

// recordSuccess records a successful accept, and logs the end of an outage.
func (l *Listener) recordSuccess() {
	if l.failing.Swap(false) {
		logging.For(l.component).Info("accept works again")
	}
}
