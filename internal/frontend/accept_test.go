package frontend

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// failingListener fails to accept while failing is set, as when the system has no free descriptors.
type failingListener struct {
	*net.TCPListener
	failing atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failing.Load() { // the connection remains in the backlog
		return nil, &net.OpError{Op: "accept", Err: syscall.ENFILE}
	}
	return l.TCPListener.Accept()
}

// A connection in the listener's backlog is served even if accepts fail for a while during AcceptBacklog. Closing the
// listener earlier would reset the connection.
func TestServer_AcceptBacklogRetriesFailedAccepts(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	listener := &failingListener{TCPListener: testutil.Listen(t).(*net.TCPListener)}
	listener.failing.Store(true)
	h.waitUntil("the server of the harness serves", h.server.serving.Load)
	served := make(chan error, 1)
	go func() { served <- h.server.Serve(listener) }()
	h.waitUntil("an accept fails", h.server.acceptFailing)
	h.listener = listener
	client := h.dial()
	client.send(queryCommand("1", lookupFields))
	time.AfterFunc(80*time.Millisecond, func() { listener.failing.Store(false) })
	h.server.AcceptBacklog(listener)
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("Serve: %v", err)
	}
	h.server.beginShutdown()
	h.nextAttempt().respond(okBackendResponse)
	client.expect(okClientResponse)
	client.expectClosed("after the response")
}
