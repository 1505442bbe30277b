// Package retryaccept keeps servers accepting while the system refuses a descriptor or memory for a while
// (ENFILE, ENOBUFS, ECONNABORTED and others). The servers of other packages end, or pause for up to a second,
// at an error of Accept.
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

// RetryDelay is the pause after a failed accept. If the process is out of descriptors, some are freed soon.
const RetryDelay = 10 * time.Millisecond

// Listener is a listener whose Accept fails only once the listener is closed or its deadline has passed.
type Listener struct {
	net.Listener
	component string      // of the owner, for the log
	failing   atomic.Bool // the last accept failed
}

// New wraps a listener. The component names its owner in the log.
func New(listener net.Listener, component string) *Listener {
	return &Listener{Listener: listener, component: component}
}

// Accept waits for a connection. After a failure it pauses for Delay and tries again, which guards against a server
// that stops accepting for good over an outage of descriptors or memory. It returns an error once the listener is
// closed (net.ErrClosed) or its deadline has passed (os.ErrDeadlineExceeded). While accepts fail, the deadline does not
// end it: connections may be waiting that could not be accepted so far.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.recovered()
			return conn, nil
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !l.failing.Load() {
				return nil, err
			}
		default:
			l.failed(err)
		}
		time.Sleep(RetryDelay)
	}
}

// Failing reports whether the last accept failed, so that connections may be waiting to be accepted.
func (l *Listener) Failing() bool { return l.failing.Load() }

// failed logs the first failure of an outage.
func (l *Listener) failed(err error) {
	if !l.failing.Swap(true) {
		logging.For(l.component).WithError(err).Warn("accept failed")
	}
}

// recovered logs the end of an outage.
func (l *Listener) recovered() {
	if l.failing.Swap(false) {
		logging.For(l.component).Info("accept works again")
	}
}
