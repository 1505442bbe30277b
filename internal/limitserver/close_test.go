package limitserver

import (
	"net"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// closeDeadline bounds the time that Serve may take to return after Close.
const closeDeadline = 5 * time.Second

// TestServer_CloseBeforeServeStopsServer guards against a server that never stops: if Close was called before Serve had
// begun, Serve accepted connections forever, and callers that waited for it hung.
func TestServer_CloseBeforeServeStopsServer(t *testing.T) {
	server := New(Options{MaxConnections: 1})
	if err := server.Close(); err != nil {
		t.Errorf("closing: %v", err)
	}
	listener := testutil.Listen(t)
	checkServeEnds(t, server, listener)
	if conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("the listener of a closed server accepts connections")
	}
}

// TestServer_CloseDuringServeStartStopsServer calls Close concurrently with the start of Serve.
func TestServer_CloseDuringServeStartStopsServer(t *testing.T) {
	for range 200 {
		server, listener := New(Options{MaxConnections: 1}), testutil.Listen(t)
		closing := make(chan struct{})
		go func() {
			defer close(closing)
			_ = server.Close() // TestServer_CloseBeforeServeStopsServer checks the error
		}()
		checkServeEnds(t, server, listener)
		<-closing
	}
}

func checkServeEnds(t *testing.T, server *Server, listener net.Listener) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("serving: %v", err)
		}
	case <-time.After(closeDeadline):
		t.Fatal("Serve did not return after Close")
	}
}
