package main

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
)

var httpDate = regexp.MustCompile(`\r\nDate: [^\r]+\r\n`)

// wireAdmin calls the management address and compares the answers with a golden file.
type wireAdmin struct {
	golden  *goldenFile
	gateway *wireGateway
	client  net.Conn
}

// call sends an HTTP request on a new connection, and returns the answer with any date replaced.
func (a *wireAdmin) call(t *testing.T, text string) (got, state string) {
	t.Helper()
	conn := dialWire(t, a.gateway.managementAddress)
	send(conn, text)
	got, state = readUntil(t, conn, "")
	return httpDate.ReplaceAllString(got, "\r\nDate: <date>\r\n"), state
}

func (a *wireAdmin) compare(t *testing.T, name, text string) {
	t.Helper()
	got, state := a.call(t, text)
	a.golden.compare(name, transcriptLine(">", text), transcriptLine("<", got), state)
}

// ping compares the answer to a PING of the connected client.
func (a *wireAdmin) ping(t *testing.T, name string) {
	t.Helper()
	send(a.client, wirePing)
	got, state := readUntil(t, a.client, "\r\n")
	a.golden.compare(name, transcriptLine(">", wirePing), transcriptLine("<", got), state)
}

func httpHead(line string) string { return line + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// TestAdmin_AnswersOnWire compares complete answers of the management address: of each call before, during and after a
// drain, and of invalid calls.
func TestAdmin_AnswersOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	gateway := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	a := &wireAdmin{golden: openGolden(t, "admin_answers"), gateway: gateway, client: dialWire(t, gateway.clientAddress)}
	for _, test := range []struct{ name, text string }{
		{"health", httpHead("GET /admin/health")},
		{"health, HEAD", httpHead("HEAD /admin/health")},
		{"PING before quiesce", ""},
		{"quiesce", httpHead("POST /admin/quiesce")},
		{"quiesce again", httpHead("POST /admin/quiesce")},
		{"health after quiesce", httpHead("GET /admin/health")},
		{"PING after quiesce", ""},
		{"resume", httpHead("POST /admin/resume")},
		{"resume again", httpHead("POST /admin/resume")},
		{"health after resume", httpHead("GET /admin/health")},
		{"PING after resume", ""},
		{"unknown path", httpHead("GET /admin/nothing")},
		{"health by POST", httpHead("POST /admin/health")},
		{"stats by POST", httpHead("POST /admin/stats")},
		{"quiesce by GET", httpHead("GET /admin/quiesce")},
		{"resume by GET", httpHead("GET /admin/resume")},
		{"HTTP/1.0", "GET /admin/health HTTP/1.0\r\n\r\n"},
		{"no Host", "GET /admin/health HTTP/1.1\r\n\r\n"},
		{"no HTTP", "health\r\n\r\n"},
		{"half a head", "GET /admin/health HTTP/1.1\r\nHost: x\r\n"},
		{"nothing", ""},
	} {
		if strings.HasPrefix(test.name, "PING ") {
			a.ping(t, test.name)
		} else {
			a.compare(t, test.name, test.text)
		}
	}
	a.compareStats(t)
}

// compareStats compares the metrics line by line, after requests that set some of them.
func (a *wireAdmin) compareStats(t *testing.T) {
	t.Helper()
	send(a.client, wireQuery("1", wireFields))
	readUntil(t, a.client, "ok\r\n")
	send(a.client, wireQuery("1", "c=lookup,t=team"))
	readUntil(t, a.client, "\r\n")
	send(a.client, wireQuery("1", "c=lookup,t=roof,d=9,units=8"))
	readUntil(t, a.client, "\r\n")
	got, _ := a.call(t, httpHead("GET /admin/stats"))
	head, body, _ := strings.Cut(got, "\r\n\r\n")
	head = bodyLength.ReplaceAllString(head, "<length>")
	out := []string{transcriptLine("<", head)}
	for _, line := range strings.Split(decodeChunked(t, body), "\n") {
		out = append(out, transcriptLine("<", line))
	}
	a.golden.compare("stats", out...)
}

var bodyLength = regexp.MustCompile(`Content-Length: \d+|Transfer-Encoding: chunked`)

// decodeChunked decodes a chunked body. It returns any other body unchanged.
func decodeChunked(t *testing.T, body string) string {
	t.Helper()
	if !chunkLength.MatchString(body) {
		return body
	}
	decoded := ""
	for {
		length, rest, _ := strings.Cut(body, "\r\n")
		var n int
		if _, err := fmt.Sscanf(length, "%x", &n); err != nil {
			t.Fatalf("%q: %v", length, err)
		}
		if n == 0 || len(rest) < n+2 {
			return decoded
		}
		decoded, body = decoded+rest[:n], rest[n+2:]
	}
}

var chunkLength = regexp.MustCompile(`^[0-9a-f]+\r\n`)
