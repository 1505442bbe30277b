// Package retryaccept retries failed accepts, so that servers continue after temporary failures, such as a shortage
// of file descriptors or memory (ENFILE, ENOBUFS, ECONNABORTED and others). The servers of other packages stop, or
// pause for up to a second, when Accept returns an error.
//
// A Listener owns the listener that it wraps. Its methods are safe for concurrent use.
package retryaccept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"fawnplank/internal/logging"
)

// RetryDelay is the delay after a failed accept. It may be short, since file descriptors are soon released even if the
// process has used up all of them.
const RetryDelay = 10 * time.Millisecond

// Listener is a listener whose Accept fails only once the listener is closed or its deadline has passed.
type Listener struct {
	net.Listener
	component string      // component of the owner in the log
	failing   atomic.Bool // the last accept failed
}

// New wraps a listener. The component names its owner in the log.
func New(listener net.Listener, component string) *Listener {
	return &Listener{Listener: listener, component: component}
}

// Accept waits for a connection. After a failure it waits for RetryDelay and retries, so that a temporary shortage of
// file descriptors or memory does not stop a server permanently. It returns an error once the listener is closed
// (net.ErrClosed) or its deadline has passed (os.ErrDeadlineExceeded). While accepts fail, the deadline has no effect,
// since connections that could not be accepted may still be waiting.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
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
