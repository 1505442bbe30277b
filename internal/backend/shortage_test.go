package backend

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// TestConnectError_LocalShortageIsNotBackendFailure guards against the ejection of healthy backends: a failure for lack
// of a connection or for another local reason was reported as a backend that cannot be reached.
func TestConnectError_LocalShortageIsNotBackendFailure(t *testing.T) {
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	refused := dialError(syscall.ECONNREFUSED)
	for err, isShortage := range map[error]bool{
		errConnectionLimit:               true,
		dialError(syscall.EMFILE):        true,
		dialError(syscall.ENFILE):        true,
		dialError(syscall.ENOBUFS):       true,
		dialError(syscall.ENOMEM):        true,
		dialError(syscall.EADDRNOTAVAIL): true,
		dialError(syscall.ENETUNREACH):   true,
		errors.Join(dialError(syscall.ENETUNREACH), dialError(syscall.EADDRNOTAVAIL)): true,
		errors.Join(dialError(syscall.ENETUNREACH), refused):                          false,
		refused:                         false,
		dialError(syscall.ETIMEDOUT):    false,
		dialError(syscall.EHOSTUNREACH): false,
		errNoAddress:                    false,
		net.ErrClosed:                   false,
	} {
		if got := errors.Is(connectError(err), dispatch.ErrLocalFailure); got != isShortage {
			t.Errorf("%v: reported as a local failure: %t, want %t", err, got, isShortage)
		}
	}
}

// TestPool_ConnectionLimitIsNotBackendFailure checks that an attempt and a health check in a pool without a free
// connection end as local failures.
func TestPool_ConnectionLimitIsNotBackendFailure(t *testing.T) {
	address, _ := startBackend(t, "")
	outcome := make(chan error, 1)
	p := New(Options{MaxConnections: 0, ConnectTimeout: 200 * time.Millisecond, IdleTimeout: time.Second,
		HandleHealthCheck: func(_ policy.BackendID, err error) { outcome <- err }})
	p.SetAddress(1, address)
	p.CheckHealth(1)
	if err := <-outcome; !errors.Is(err, dispatch.ErrLocalFailure) || !errors.Is(err, errConnectionLimit) {
		t.Errorf("health check: %v, want ErrLocalFailure and errConnectionLimit", err)
	}
	request := submitRequest(t)
	p.Send(request.NextStep().Attempt, nil)
	if step := request.NextStep(); step.Action != dispatch.Reject {
		t.Errorf("%+v", step)
	}
}

// TestValueFailure_LackOfMemoryIsNotBackendFailure guards against the ejection of healthy backends: a response for
// which this instance had no memory counted as an error of the backend. A malformed response still does.
func TestValueFailure_LackOfMemoryIsNotBackendFailure(t *testing.T) {
	for err, want := range map[error]error{
		errNoMemory:        dispatch.ErrTimeout,
		errValueTerminator: dispatch.ErrBackendFailed,
		io.EOF:             nil, // reported with the end of the connection
	} {
		if got := valueFailure(err); !errors.Is(got, want) {
			t.Errorf("%v: %v, want %v", err, got, want)
		}
	}
}
