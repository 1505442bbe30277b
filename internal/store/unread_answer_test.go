package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/store/kv"
)

// writeManyKeys commits keys of about 200 bytes, so that a list of them exceeds the buffers of a connection.
func writeManyKeys(c *cluster, count int) {
	c.t.Helper()
	for first := 0; first < count; first += kv.MaxEdits {
		var edits []kv.Edit
		for n := first; n < min(first+kv.MaxEdits, count); n++ {
			key := fmt.Sprintf("many/%0194d", n)
			edits = append(edits, kv.Edit{Key: key, Value: json.RawMessage("1")})
		}
		c.eventually("a write of many keys", func() bool { return c.running[c.leader()].Edit(edits) == nil })
	}
	c.awaitConvergence()
}

// TestAPI_UnreadKeyListDoesNotBlockWrites guards against a blocked store. While clients did not read a long list of
// keys, the state stayed locked, and no write of the cluster was committed until they disconnected.
func TestAPI_UnreadKeyListDoesNotBlockWrites(t *testing.T) {
	const (
		keys              = 36_000
		clientsPerReplica = 4
		writeDeadline     = 3 * time.Second
	)
	c := newCluster(t, nil)
	writeManyKeys(c, keys)
	for _, peer := range c.peers {
		for range clientsPerReplica {
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", peer.API)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				_ = conn.Close() // nothing is read from the connection
			}()
			if _, err := fmt.Fprintf(conn, "GET /v1/kv?prefix= HTTP/1.1\r\nHost: %s\r\n\r\n", peer.API); err != nil {
				t.Fatal(err)
			}
		}
	}
	time.Sleep(500 * time.Millisecond) // until the answers have filled the buffers
	leader := c.leader()               // not timed: the fingerprints of all replicas take seconds under the race detector
	start := time.Now()
	status, text := c.callAPI(leader, http.MethodPut, "/v1/kv/k", "1")
	if elapsed := time.Since(start); status != http.StatusOK || elapsed > writeDeadline {
		t.Errorf("write while clients do not read their answers: status %d, body %s after %v",
			status, strings.TrimSpace(text), elapsed)
	}
}

// TestAPI_ClosesIdleConnections guards against file descriptors that are never released. A connection stayed
// open without limit after its first request, and so did a connection whose client never read the answer.
func TestAPI_ClosesIdleConnections(t *testing.T) {
	c := newCluster(t, nil)
	server := c.running["a"].server
	if server.IdleTimeout <= 0 || server.WriteTimeout <= quorumTimeout || server.ReadTimeout <= 0 {
		t.Errorf("idle timeout %v, write timeout %v, read timeout %v",
			server.IdleTimeout, server.WriteTimeout, server.ReadTimeout)
	}
	server = &http.Server{Handler: server.Handler, IdleTimeout: 100 * time.Millisecond}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprint(conn, "GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the idle connection was not closed: %v", err)
	}
}
