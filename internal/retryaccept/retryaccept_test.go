package retryaccept

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"fawnplank/internal/testutil"
)

// scriptedListener returns the given results, one for each call of Accept, and then net.ErrClosed.
type scriptedListener struct {
	net.Listener
	results []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.results) == 0 {
		return nil, net.ErrClosed
	}
	result := l.results[0]
	l.results = l.results[1:]
	if result == nil {
		return &net.TCPConn{}, nil
	}
	return nil, &net.OpError{Op: "accept", Err: result}
}

func TestListener_RetriesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := New(&scriptedListener{results: []error{
			syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, nil, nil,
		}}, "test")
		start := time.Now()
		if _, err := listener.Accept(); err != nil || time.Since(start) != 3*RetryDelay {
			t.Errorf("accept returned error %v after %v", err, time.Since(start))
		}
		if _, err := listener.Accept(); err != nil || listener.Failing() {
			t.Errorf("%v, failing %t", err, listener.Failing())
		}
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept on the closed listener: %v", err)
		}
	})
}

// TestListener_IgnoresDeadlineWhileFailing checks that connections that wait while accepts fail are accepted
// afterwards, even if the deadline has passed meanwhile.
func TestListener_IgnoresDeadlineWhileFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := New(&scriptedListener{results: []error{
			syscall.ENFILE, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded, nil, os.ErrDeadlineExceeded,
		}}, "test")
		if _, err := listener.Accept(); err != nil {
			t.Errorf("accept after the outage: %v", err)
		}
		if _, err := listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("accept at the deadline: %v", err)
		}
	})
}

// A connection that waits to be accepted has arrived after the last accept that found none waiting.
func TestListener_EarliestArrivalOfWaitingConnections(t *testing.T) {
	listener := New(testutil.Listen(t), "test")
	var dials sync.WaitGroup
	dial := func() {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	dialLater := func() {
		dials.Go(func() {
			time.Sleep(2 * backlogAcceptTime)
			dial()
		})
	}
	defer dials.Wait()
	accept := func() time.Time {
		t.Helper()
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		return listener.EarliestArrival()
	}
	dialLater()
	first := accept()
	dial()
	time.Sleep(10 * backlogAcceptTime)
	if second := accept(); second != first {
		t.Errorf("a connection that was waiting arrived %v after the last accept that waited, want 0", second.Sub(first))
	}
	start := time.Now()
	dialLater()
	if third := accept(); third.Before(start) {
		t.Error("a connection for which the accept waited seems to have arrived before it")
	}
}
