package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// Guards against a final answer after the client's time: a backend answers without having read a large request, and
// does not read the rest. The answer came once all of the request was written.
func TestBackendConnections_EarlyAnswerToUnreadRequest(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	address := testutil.ServeConnections(t, func(conn net.Conn) {
		beginning := make([]byte, 1000)
		for {
			n, err := conn.Read(beginning)
			if err != nil {
				return
			}
			if strings.Contains(string(beginning[:n]), "large") {
				_, _ = io.WriteString(conn, "-ERR failed\r\n") // the client's answer shows whether it arrived
				time.Sleep(2 * time.Second)
				return
			}
			_, _ = io.WriteString(conn, okBackendResponse)
		}
	})
	h.pool.SetAddress(1, address)
	h.pool.SetAddress(2, address)
	c := h.dial()
	c.send(queryCommand("1", fieldsWithClass("pay")))
	c.expect(okClientResponse)
	time.Sleep(50 * time.Millisecond) // the connection to the backend is used again
	start := time.Now()
	body := strings.Repeat("large", 800_000)
	c.sendInBackground(respCommand("SVC.SUBMIT", testTenant, "2", fieldsWithClass("pay"), body))
	c.expectLine("-ERR .*")
	if elapsed := time.Since(start); elapsed > 700*time.Millisecond {
		t.Errorf("answered after %v", elapsed)
	}
}
