package main

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
)

var httpDate = regexp.MustCompile(`\r\nDate: [^\r]+\r\n`)

// wireAdmin calls the management address and compares the answers.
type wireAdmin struct {
	file   *golden
	g      *wireGateway
	client net.Conn
}

// call makes a call on a connection of its own, and returns its answer with any date hidden.
func (a *wireAdmin) call(t *testing.T, text string) (got, state string) {
	t.Helper()
	c := dialWire(t, a.g.mgmt)
	send(c, text)
	got, state = readUntil(t, c, "")
	return httpDate.ReplaceAllString(got, "\r\nDate: <date>\r\n"), state
}

func (a *wireAdmin) compare(t *testing.T, name, text string) {
	t.Helper()
	got, state := a.call(t, text)
	a.file.compare(name, transcriptLine(">", text), transcriptLine("<", got), state)
}

// ping compares the answer to a PING of a client that stays connected.
func (a *wireAdmin) ping(t *testing.T, name string) {
	t.Helper()
	send(a.client, wirePing)
	got, state := readUntil(t, a.client, "\r\n")
	a.file.compare(name, transcriptLine(">", wirePing), transcriptLine("<", got), state)
}

func httpHead(line string) string { return line + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// The management address: whole answers, of each call in each state, and faults.
func TestAdmin_AnswersOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireGood })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	a := &wireAdmin{file: openGolden(t, "admin_answers"), g: g, client: dialWire(t, g.clients)}
	for _, x := range []struct{ name, text string }{
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
		if strings.HasPrefix(x.name, "PING ") {
			a.ping(t, x.name)
		} else {
			a.compare(t, x.name, x.text)
		}
	}
	a.compareStats(t)
}

// compareStats compares the stats, in the order of their lines: the help texts and names, and the values that
// no time changes.
func (a *wireAdmin) compareStats(t *testing.T) {
	t.Helper()
	send(a.client, wireQuery("1", wireField))
	readUntil(t, a.client, "ok\r\n")
	send(a.client, wireQuery("1", "c=lookup,t=team"))
	readUntil(t, a.client, "\r\n")
	send(a.client, wireQuery("1", "c=lookup,t=roof,d=9,units=8"))
	readUntil(t, a.client, "\r\n")
	got, _ := a.call(t, httpHead("GET /admin/stats"))
	head, body, _ := strings.Cut(got, "\r\n\r\n")
	head = bodyLength.ReplaceAllString(head, "<length>")
	out := []string{transcriptLine("<", head)}
	for _, line := range strings.Split(unchunk(t, body), "\n") {
		out = append(out, transcriptLine("<", line))
	}
	a.file.compare("stats", out...)
}

var bodyLength = regexp.MustCompile(`Content-Length: \d+|Transfer-Encoding: chunked`)

// unchunk removes the lengths of an answer in chunks, where there are any.
func unchunk(t *testing.T, body string) string {
	t.Helper()
	if !chunkLength.MatchString(body) {
		return body
	}
	whole := ""
	for {
		length, rest, _ := strings.Cut(body, "\r\n")
		var n int
		if _, err := fmt.Sscanf(length, "%x", &n); err != nil {
			t.Fatalf("%q: %v", length, err)
		}
		if n == 0 || len(rest) < n+2 {
			return whole
		}
		whole, body = whole+rest[:n], rest[n+2:]
	}
}

var chunkLength = regexp.MustCompile(`^[0-9a-f]+\r\n`)
