package main

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"
)

const (
	wirePing  = "*1\r\n$4\r\nPING\r\n"
	wireGood  = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	wireField = "c=lookup,t=team,d=1400"
)

// wireCase is a text that a client sends, under the name of its transcript.
type wireCase struct{ name, text string }

// faultyFields are the fields of requests that are not in order.
var faultyFields = []string{
	"", "lookup", ",", wireField + ",", wireField + ",none", "t=team,d=9", "c=lookup,d=9", "c=lookup,t=team",
	"c=none,t=team,d=9", "c=limit.check,t=team,d=9", "c=,t=team,d=9", "c=lookup,t=none,d=9", "c=lookup,t=,d=9",
	"c=lookup,t=team,d=x", "c=lookup,t=team,d=NaN", "c=lookup,t=team,d=-4", "c=lookup,t=team,d=1e3", "c=lookup,t=team,d=",
	"c=lookup,t=team,d=1.2.3", "c=lookup,t=team,d=123456789012345678901",
	wireField + ",c=lookup", wireField + ",t=team", wireField + ",d=9",
	wireField + ",units=1,units=1", wireField + ",spread=1,spread=1", wireField + ",first=0,first=0",
	wireField + ",units=0", wireField + ",units=-2", wireField + ",units=NaN",
	wireField + ",units=Inf", wireField + ",units=0x2", wireField + ",units=",
	wireField + ",units=8.5", wireField + ",spread=0", wireField + ",spread=3",
	wireField + ",spread=-1", wireField + ",spread=1.5", wireField + ",spread=x",
	wireField + ",first=2", wireField + ",first=-1", wireField + ",first=0.5",
	wireField + ",first=99999999999999999999",
	wireField + ",units=\x01\xff" + strings.Repeat("y", 50), strings.Repeat("z", 50),
}

// requestErrors returns commands, most of which are answered with an error, and after which the connection stays
// open.
func requestErrors() []wireCase {
	cases := []wireCase{
		{"PING", wirePing},
		{"ping in small letters", respWords("pInG")},
		{"PING with a word", respWords("PING", "x")},
		{"CLIENT", respWords("CLIENT", "SETNAME", "x")},
		{"SELECT", respWords("SELECT", "0")},
		{"unknown command", respWords("GET", "x")},
		{"empty command", respWords("")},
		{"unknown command in small letters", respWords("get")},
		{"unknown command, binary and long", respWords("\x00\xff\"" + strings.Repeat("AB", 30))},
		{"too few words", respWords("SVC.QUERY", wireTenant, "1")},
		{"too many words", respWords("SVC.QUERY", wireTenant, "1", wireField, "body", "more")},
		{"SUBMIT, too few words", respWords("SVC.SUBMIT", wireTenant)},
		{"tenant no number", respWords("SVC.QUERY", "customer-of-16-x", "1", wireField)},
		{"tenant too short", respWords("SVC.QUERY", "5", "1", wireField)},
		{"tenant too large", respWords("SVC.QUERY", "0000000200000000", "1", wireField)},
		{"tenant empty", respWords("SVC.QUERY", "", "1", wireField)},
		{"id empty", wireQuery("", wireField)},
		{"id with a blank", wireQuery("a b", wireField)},
		{"id with a zero byte", wireQuery("1\x00", wireField)},
		{"id of 65 bytes", wireQuery(strings.Repeat("7", 65), wireField)},
	}
	for _, fields := range faultyFields {
		cases = append(cases, wireCase{fmt.Sprintf("fields %q", fields), wireQuery("1", fields)})
	}
	return cases
}

// Every error line for a request that is not in order; the connection stays open and the next command is
// answered.
func TestFrontend_RequestErrorsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireGood })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_request_errors")
	for _, x := range requestErrors() {
		c := dialWire(t, g.clients)
		send(c, x.text+respWords("SELECT", "1"))
		got, state := readUntil(t, c, "+OK\r\n")
		answersOK := x.name == "CLIENT" || x.name == "SELECT" // as the command behind it does
		for answersOK && strings.Count(got, "+OK\r\n") < 2 {
			var more string
			more, state = readUntil(t, c, "+OK\r\n")
			got += more
		}
		hangUp(c)
		file.compare(x.name, transcriptLine(">", x.text), transcriptLine("<", strings.TrimSuffix(got, "+OK\r\n")), state)
	}
	if lines := backend.received(); len(lines) > 0 {
		t.Errorf("a backend received what was not in order: %s", lines)
	}
}

// protocolErrors are commands whose error ends the connection.
var protocolErrors = []wireCase{
	{"word of negative length", "*1\r\n$-5\r\n"},
	{"word of length -1", "*1\r\n$-1\r\n"},
	{"word of huge length", "*1\r\n$9223372036854775807\r\nx"},
	{"word of a length beyond all integers", "*1\r\n$99999999999999\r\n"},
	{"word just too long", "*1\r\n$4194305\r\n"},
	{"word length with a plus", "*1\r\n$+4\r\nPING\r\n"},
	{"word length no number", "*1\r\n$x\r\n"},
	{"word length missing", "*1\r\n$\r\n"},
	{"word of another type", "*1\r\n:4\r\n"},
	{"word longer than its length", "*1\r\n$4\r\nPINGS\r\n"},
	{"word shorter than its length", "*1\r\n$6\r\nPING\r\n$$$$"},
	{"word length line without return", "*1\r\n$4\nPING\r\n"},
	{"array of no words", "*0\r\n"},
	{"array of -1 words", "*-1\r\n"},
	{"array of -3 words", "*-3\r\n"},
	{"array of 17 words", "*17\r\n"},
	{"array of huge length", "*9999999999999\r\n"},
	{"array length no number", "*x\r\n"},
	{"array length line without end", "*11111111111111111"},
	{"inline command", "PING\r\n"},
	{"inline request", "SVC.QUERY " + wireTenant + " 1 " + wireField + "\r\n"},
	{"HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"simple string", "+PING\r\n"},
	{"bulk string", "$4\r\nPING\r\n"},
	{"zero byte", "\x00"},
	{"empty line", "\r\n"},
	{"error behind a good command", wirePing + "*x\r\n"},
	{"good command behind an error", "*x\r\n" + wirePing},
}

// Every error that ends the connection, and that nothing follows it.
func TestFrontend_ProtocolErrorsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireGood })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_protocol_errors")
	for _, x := range protocolErrors {
		c := dialWire(t, g.clients)
		send(c, x.text)
		got, state := readUntil(t, c, "")
		file.compare(x.name, transcriptLine(">", x.text), transcriptLine("<", got), state)
	}
	// What comes only after a time: all are opened first, then read in turn.
	late := []struct{ name, text string }{
		{"silence", ""},
		{"half a command", "*2\r\n$4\r\nPING\r\n$3\r\nab"},
		{"half a length", "*"},
		{"command, then half of one", wirePing + "*1\r\n$4\r\nPI"},
	}
	var conns []net.Conn
	for _, x := range late {
		c := dialWire(t, g.clients)
		send(c, x.text)
		conns = append(conns, c)
	}
	for n, x := range late {
		got, state := readUntil(t, conns[n], "")
		file.compare(x.name, transcriptLine(">", x.text), transcriptLine("<", got), state)
	}
}

// A command longer than any may be, and large ones for which there is no memory.
func TestFrontend_LargeCommandsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireGood })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_large_commands")
	const word = 4 << 20
	c := dialWire(t, g.clients)
	go send(c, "*5\r\n$4194304\r\n"+strings.Repeat("x", word)+"\r\n$4194304\r\n"+strings.Repeat("x", 200<<10))
	got, state := readUntil(t, c, "")
	file.compare("command too long", transcriptLine("<", got), state)

	ended := make(chan string, 4)
	for range 4 { // each wants over 4 MiB of the 10 that there are, and goes on sending a little
		c := dialWire(t, g.clients)
		go func() {
			send(c, "*1\r\n$4194304\r\n"+strings.Repeat("x", 3<<20))
			for _, err := io.WriteString(c, "x"); err == nil; _, err = io.WriteString(c, "x") {
				time.Sleep(50 * time.Millisecond)
			}
		}()
		go func() {
			b, _ := io.ReadAll(c)
			ended <- string(b)
		}()
	}
	select {
	case got := <-ended:
		file.compare("no room for a large value", transcriptLine("<", got))
	case <-time.After(wireTimeout):
		t.Error("all large values found room")
	}
}

var retryAfter = regexp.MustCompile(`-BUSY [1-9]\d{0,2}\r\n`) // at most the settings' 900

func hideRetryAfter(text string) string { return retryAfter.ReplaceAllString(text, "-BUSY <ms>\r\n") }

// Every kind of final answer, by what the backend says, and the requests that the backend receives for it.
func TestFrontend_AnswersOnWire(t *testing.T) {
	file := openGolden(t, "frontend_answers")
	submit := func(fields, body string) string { return respWords("SVC.SUBMIT", wireTenant, "7", fields, body) }
	pay := "c=pay,t=team,d=1400"
	for _, x := range []struct{ name, text, answer string }{
		{"value", wireQuery("7", wireField), wireGood},
		{"empty value", wireQuery("7", wireField), "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n"},
		{"binary value with usage and report", wireQuery("7", wireField),
			"*3\r\n$4\r\n\r\n\x00\xff\r\n$14\r\nused=86,cost=3\r\n$5\r\nqps=4\r\n"},
		{"value alone", wireQuery("7", wireField), "*1\r\n$2\r\nok\r\n"},
		{"command in small letters", strings.Replace(wireQuery("7", wireField), "SVC.QUERY", "svc.query", 1), wireGood},
		{"all fields and others", wireQuery("7", "r=1,units=2.5,"+wireField+",spread=2,first=1,z=x"), wireGood},
		{"remaining time with a fraction", wireQuery("7", "c=lookup,t=team,d=1400.5"), wireGood},
		{"remaining time beyond the class's", wireQuery("7", "c=lookup,t=team,d=0900000"), wireGood},
		{"query with a body", respWords("SVC.QUERY", wireTenant, "7", wireField, "body"), wireGood},
		{"submit, not idempotent", submit(pay, "a\r\n\x00*1\r\n$4\r\nPING\r\n\xff"), wireGood},
		{"submit with a key", submit("c=order,t=team,d=1400,k=d72e33dc49655fc9,units=1", "body"), wireGood},
		{"submit with an empty body", submit(pay, ""), wireGood},
		{"tenant in capitals", respWords("SVC.QUERY", "00000000ABCDEF01", "7", wireField), wireGood},
		{"backend busy", wireQuery("7", wireField), "-BUSY\r\n"},
		{"backend busy, not idempotent", submit(pay, "x"), "-BUSY inflight=7,queue=2\r\n"},
		{"backend fails", wireQuery("7", wireField), "-ERR failed inflight=7\r\n"},
		{"backend fails, not idempotent", submit(pay, "x"), "-ERR failed\r\n"},
		{"backend fails, with a key", submit("c=order,t=team,d=1400,k=1", "x"), "-ERR failed\r\n"},
		{"backend's answer spoilt", submit(pay, "x"), "+OK\r\n"},
		{"backend closes", wireQuery("7", wireField), "close"},
		{"backend closes, not idempotent", submit(pay, "x"), "close"},
		{"backend silent until the remaining time is over", submit("c=pay,t=team,d=300", "x"), ""},
		{"no remaining time", wireQuery("7", "c=lookup,t=team,d=0"), wireGood},
	} {
		backend := newWireBackend(t, func(string) string { return x.answer })
		g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
		c := dialWire(t, g.clients)
		send(c, x.text+wirePing)
		got, state := readUntil(t, c, "+PONG\r\n")
		lines := append([]string{transcriptLine(">", x.text)}, backend.received()...)
		lines = append(lines, transcriptLine("<", hideRetryAfter(strings.TrimSuffix(got, "+PONG\r\n"))), state)
		file.compare(x.name, lines...)
		kill(g.process)
	}
}

// rejection is a request that is rejected, behind one in flight where there is a first.
type rejection struct {
	name, first, second string
	replace             []string // in the settings
}

func (x rejection) compare(t *testing.T, file *golden) {
	t.Helper()
	answer := make(chan string)
	backend := newWireBackend(t, func(string) string { return <-answer })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address), replace: x.replace})
	defer kill(g.process)
	first, second := dialWire(t, g.clients), dialWire(t, g.clients)
	if x.first != "" {
		send(first, x.first)
		backend.wait(t)
	}
	send(second, x.second)
	got, state := readUntil(t, second, "\r\n")
	if x.first == "" {
		lines := []string{transcriptLine(">", x.second), transcriptLine("<", hideRetryAfter(got)), state}
		file.compare(x.name, append(lines, backend.received()...)...)
		return
	}
	answer <- wireGood
	done, firstState := readUntil(t, first, "ok\r\n")
	lines := []string{
		transcriptLine("first >", x.first),
		transcriptLine("second >", x.second),
		transcriptLine("second <", hideRetryAfter(got)),
		state,
		transcriptLine("first <", done),
		firstState,
	}
	file.compare(x.name, append(lines, backend.received()...)...)
}

// Rejections, ids in flight and the order of answers, with a backend that waits.
func TestFrontend_RejectionsOnWire(t *testing.T) {
	file := openGolden(t, "frontend_rejections")
	const limited, limitedQuota = "c=lookup,t=one,d=1400", "c=lookup,t=roof,d=1400,units=8"
	noRetryAfter := []string{`"retry-after":true`, `"retry-after":false`}
	for _, x := range []rejection{
		{name: "concurrency limit, with Retry-After", first: wireQuery("1", limited), second: wireQuery("2", limited)},
		{name: "concurrency limit, without Retry-After", first: wireQuery("1", limited), second: wireQuery("2", limited),
			replace: noRetryAfter},
		{name: "hard quota, with Retry-After", second: wireQuery("2", limitedQuota)},
		{name: "hard quota, without Retry-After", second: wireQuery("2", limitedQuota), replace: noRetryAfter},
		{name: "id of an open request", first: wireQuery("1", wireField), second: wireQuery("1", wireField)},
	} {
		x.compare(t, file)
	}
	checkNoBackend(t, file)
	checkPipelined(t, file)
}

// checkNoBackend compares the answer where no backend is known.
func checkNoBackend(t *testing.T, file *golden) {
	t.Helper()
	g := serveWire(t, wireGatewayOptions{})
	c := dialWire(t, g.clients)
	text := wireQuery("1", "c=lookup,t=team,d=200") + wirePing
	send(c, text)
	got, state := readUntil(t, c, "+PONG\r\n")
	file.compare("no backend is known", transcriptLine(">", text), transcriptLine("<", hideRetryAfter(got)), state)
	kill(g.process)
}

// checkPipelined compares the answers to commands sent together.
func checkPipelined(t *testing.T, file *golden) {
	t.Helper()
	answer := make(chan string)
	backend := newWireBackend(t, func(string) string { return <-answer })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	c := dialWire(t, g.clients)
	text := wirePing + wireQuery("1", wireField) + wirePing + respWords("NONE") +
		wireQuery("2", wireField+",d=1") + wirePing
	send(c, text)
	backend.wait(t)
	answer <- wireGood
	got, state := readUntil(t, c, "\r\n+PONG\r\n")
	for strings.Count(got, "+PONG") < 3 {
		var more string
		more, state = readUntil(t, c, "\r\n+PONG\r\n")
		got += more
	}
	lines := []string{transcriptLine(">", text), transcriptLine("<", got), state}
	file.compare("pipelined commands are answered in their order", append(lines, backend.received()...)...)
}
