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
	wirePing    = "*1\r\n$4\r\nPING\r\n"
	wireSuccess = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	wireFields  = "c=lookup,t=team,d=1400"
)

// wireCase is the input of a client, with the name of its transcript.
type wireCase struct{ name, text string }

// invalidFields are the fields of invalid requests.
var invalidFields = []string{
	"", "lookup", ",", wireFields + ",", wireFields + ",none", "t=team,d=9", "c=lookup,d=9", "c=lookup,t=team",
	"c=none,t=team,d=9", "c=limit.check,t=team,d=9", "c=,t=team,d=9", "c=lookup,t=none,d=9", "c=lookup,t=,d=9",
	"c=lookup,t=team,d=x", "c=lookup,t=team,d=NaN", "c=lookup,t=team,d=-4", "c=lookup,t=team,d=1e3", "c=lookup,t=team,d=",
	"c=lookup,t=team,d=1.2.3", "c=lookup,t=team,d=123456789012345678901",
	wireFields + ",c=lookup", wireFields + ",t=team", wireFields + ",d=9",
	wireFields + ",units=1,units=1", wireFields + ",spread=1,spread=1", wireFields + ",first=0,first=0",
	wireFields + ",units=0", wireFields + ",units=-2", wireFields + ",units=NaN",
	wireFields + ",units=Inf", wireFields + ",units=0x2", wireFields + ",units=",
	wireFields + ",units=8.5", wireFields + ",spread=0", wireFields + ",spread=3",
	wireFields + ",spread=-1", wireFields + ",spread=1.5", wireFields + ",spread=x",
	wireFields + ",first=2", wireFields + ",first=-1", wireFields + ",first=0.5",
	wireFields + ",first=99999999999999999999",
	wireFields + ",units=\x01\xff" + strings.Repeat("y", 50), strings.Repeat("z", 50),
}

// requestErrors returns commands after which the connection stays open. Most of them are answered with an error.
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
		{"too many words", respWords("SVC.QUERY", wireTenant, "1", wireFields, "body", "more")},
		{"SUBMIT, too few words", respWords("SVC.SUBMIT", wireTenant)},
		{"tenant no number", respWords("SVC.QUERY", "customer-of-16-x", "1", wireFields)},
		{"tenant too short", respWords("SVC.QUERY", "5", "1", wireFields)},
		{"tenant too large", respWords("SVC.QUERY", "0000000200000000", "1", wireFields)},
		{"tenant empty", respWords("SVC.QUERY", "", "1", wireFields)},
		{"id empty", wireQuery("", wireFields)},
		{"id with a blank", wireQuery("a b", wireFields)},
		{"id with a zero byte", wireQuery("1\x00", wireFields)},
		{"id of 65 bytes", wireQuery(strings.Repeat("7", 65), wireFields)},
	}
	for _, fields := range invalidFields {
		cases = append(cases, wireCase{fmt.Sprintf("fields %q", fields), wireQuery("1", fields)})
	}
	return cases
}

// TestFrontend_RequestErrorsOnWire compares every error answer to an invalid request. The connection stays open, and
// the next command is answered.
func TestFrontend_RequestErrorsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_request_errors")
	for _, test := range requestErrors() {
		conn := dialWire(t, g.clientAddress)
		send(conn, test.text+respWords("SELECT", "1"))
		got, state := readUntil(t, conn, "+OK\r\n")
		answersOK := test.name == "CLIENT" || test.name == "SELECT" // the same answer as that of the following command
		for answersOK && strings.Count(got, "+OK\r\n") < 2 {
			var more string
			more, state = readUntil(t, conn, "+OK\r\n")
			got += more
		}
		closeIgnoringError(conn)
		file.compare(test.name, transcriptLine(">", test.text),
			transcriptLine("<", strings.TrimSuffix(got, "+OK\r\n")), state)
	}
	if lines := backend.received(); len(lines) > 0 {
		t.Errorf("a backend received invalid requests: %s", lines)
	}
}

// protocolErrors are inputs with a protocol error, which ends the connection.
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
	{"inline request", "SVC.QUERY " + wireTenant + " 1 " + wireFields + "\r\n"},
	{"HTTP", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"simple string", "+PING\r\n"},
	{"bulk string", "$4\r\nPING\r\n"},
	{"zero byte", "\x00"},
	{"empty line", "\r\n"},
	{"error behind a good command", wirePing + "*x\r\n"},
	{"good command behind an error", "*x\r\n" + wirePing},
}

// TestFrontend_ProtocolErrorsOnWire compares every error answer that ends the connection, and checks that nothing
// follows it.
func TestFrontend_ProtocolErrorsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_protocol_errors")
	for _, test := range protocolErrors {
		conn := dialWire(t, g.clientAddress)
		send(conn, test.text)
		got, state := readUntil(t, conn, "")
		file.compare(test.name, transcriptLine(">", test.text), transcriptLine("<", got), state)
	}
	// These answers come only after a timeout, so all connections are opened before the first one is read.
	delayed := []struct{ name, text string }{
		{"silence", ""},
		{"half a command", "*2\r\n$4\r\nPING\r\n$3\r\nab"},
		{"half a length", "*"},
		{"command, then half of one", wirePing + "*1\r\n$4\r\nPI"},
	}
	var conns []net.Conn
	for _, test := range delayed {
		conn := dialWire(t, g.clientAddress)
		send(conn, test.text)
		conns = append(conns, conn)
	}
	for n, test := range delayed {
		got, state := readUntil(t, conns[n], "")
		file.compare(test.name, transcriptLine(">", test.text), transcriptLine("<", got), state)
	}
}

// TestFrontend_LargeCommandsOnWire sends a command above the size limit, and large commands that together exceed the
// memory limit.
func TestFrontend_LargeCommandsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	file := openGolden(t, "frontend_large_commands")
	const maxWordBytes = 4 << 20
	conn := dialWire(t, g.clientAddress)
	go send(conn, "*5\r\n$4194304\r\n"+strings.Repeat("x", maxWordBytes)+"\r\n$4194304\r\n"+strings.Repeat("x", 200<<10))
	got, state := readUntil(t, conn, "")
	file.compare("command too long", transcriptLine("<", got), state)

	ended := make(chan string, 4)
	for range 4 { // each needs more than 4 MiB of the 10 MiB available, and keeps sending slowly
		conn := dialWire(t, g.clientAddress)
		go func() {
			send(conn, "*1\r\n$4194304\r\n"+strings.Repeat("x", 3<<20))
			for _, err := io.WriteString(conn, "x"); err == nil; _, err = io.WriteString(conn, "x") {
				time.Sleep(50 * time.Millisecond)
			}
		}()
		go func() {
			b, _ := io.ReadAll(conn)
			ended <- string(b)
		}()
	}
	select {
	case got := <-ended:
		file.compare("no room for a large value", transcriptLine("<", got))
	case <-time.After(wireTimeout):
		t.Error("no large value was refused for lack of memory")
	}
}

var retryAfter = regexp.MustCompile(`-BUSY [1-9]\d{0,2}\r\n`) // up to max-retry-after-ms of wireSettings, 900

func maskRetryAfter(text string) string { return retryAfter.ReplaceAllString(text, "-BUSY <ms>\r\n") }

// TestFrontend_AnswersOnWire compares every kind of final answer, by the backend's answer, and the requests that the
// backend receives.
func TestFrontend_AnswersOnWire(t *testing.T) {
	file := openGolden(t, "frontend_answers")
	submit := func(fields, body string) string { return respWords("SVC.SUBMIT", wireTenant, "7", fields, body) }
	pay := "c=pay,t=team,d=1400"
	for _, test := range []struct{ name, text, answer string }{
		{"value", wireQuery("7", wireFields), wireSuccess},
		{"empty value", wireQuery("7", wireFields), "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n"},
		{"binary value with usage and report", wireQuery("7", wireFields),
			"*3\r\n$4\r\n\r\n\x00\xff\r\n$14\r\nused=86,cost=3\r\n$5\r\nqps=4\r\n"},
		{"value alone", wireQuery("7", wireFields), "*1\r\n$2\r\nok\r\n"},
		{"command in small letters", strings.Replace(wireQuery("7", wireFields), "SVC.QUERY", "svc.query", 1), wireSuccess},
		{"all fields and others", wireQuery("7", "r=1,units=2.5,"+wireFields+",spread=2,first=1,z=x"), wireSuccess},
		{"remaining time with a fraction", wireQuery("7", "c=lookup,t=team,d=1400.5"), wireSuccess},
		{"remaining time beyond the class's", wireQuery("7", "c=lookup,t=team,d=0900000"), wireSuccess},
		{"query with a body", respWords("SVC.QUERY", wireTenant, "7", wireFields, "body"), wireSuccess},
		{"submit, not idempotent", submit(pay, "a\r\n\x00*1\r\n$4\r\nPING\r\n\xff"), wireSuccess},
		{"submit with a key", submit("c=order,t=team,d=1400,k=d72e33dc49655fc9,units=1", "body"), wireSuccess},
		{"submit with an empty body", submit(pay, ""), wireSuccess},
		{"tenant in capitals", respWords("SVC.QUERY", "00000000ABCDEF01", "7", wireFields), wireSuccess},
		{"backend busy", wireQuery("7", wireFields), "-BUSY\r\n"},
		{"backend busy, not idempotent", submit(pay, "x"), "-BUSY inflight=7,queue=2\r\n"},
		{"backend fails", wireQuery("7", wireFields), "-ERR failed inflight=7\r\n"},
		{"backend fails, not idempotent", submit(pay, "x"), "-ERR failed\r\n"},
		{"backend fails, with a key", submit("c=order,t=team,d=1400,k=1", "x"), "-ERR failed\r\n"},
		{"backend's answer spoilt", submit(pay, "x"), "+OK\r\n"},
		{"backend closes", wireQuery("7", wireFields), "close"},
		{"backend closes, not idempotent", submit(pay, "x"), "close"},
		{"backend silent until the remaining time is over", submit("c=pay,t=team,d=300", "x"), ""},
		{"no remaining time", wireQuery("7", "c=lookup,t=team,d=0"), wireSuccess},
	} {
		backend := newWireBackend(t, func(string) string { return test.answer })
		g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
		conn := dialWire(t, g.clientAddress)
		send(conn, test.text+wirePing)
		got, state := readUntil(t, conn, "+PONG\r\n")
		lines := append([]string{transcriptLine(">", test.text)}, backend.received()...)
		lines = append(lines, transcriptLine("<", maskRetryAfter(strings.TrimSuffix(got, "+PONG\r\n"))), state)
		file.compare(test.name, lines...)
		kill(g.process)
	}
}

// rejectionCase is a request that is rejected, in some cases because of a first request in flight.
type rejectionCase struct {
	name, first, second string
	replacements        []string // pairs of old and new texts in the settings
}

func (test rejectionCase) compare(t *testing.T, file *goldenFile) {
	t.Helper()
	answer := make(chan string)
	backend := newWireBackend(t, func(string) string { return <-answer })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address), replacements: test.replacements})
	defer kill(g.process)
	first, second := dialWire(t, g.clientAddress), dialWire(t, g.clientAddress)
	if test.first != "" {
		send(first, test.first)
		backend.wait(t)
	}
	send(second, test.second)
	secondAnswer, secondState := readUntil(t, second, "\r\n")
	if test.first == "" {
		lines := []string{transcriptLine(">", test.second), transcriptLine("<", maskRetryAfter(secondAnswer)), secondState}
		file.compare(test.name, append(lines, backend.received()...)...)
		return
	}
	answer <- wireSuccess
	firstAnswer, firstState := readUntil(t, first, "ok\r\n")
	lines := []string{
		transcriptLine("first >", test.first),
		transcriptLine("second >", test.second),
		transcriptLine("second <", maskRetryAfter(secondAnswer)),
		secondState,
		transcriptLine("first <", firstAnswer),
		firstState,
	}
	file.compare(test.name, append(lines, backend.received()...)...)
}

// TestFrontend_RejectionsOnWire compares rejections, the error for an id that is in flight, the answer without a
// backend, and the order of pipelined answers.
func TestFrontend_RejectionsOnWire(t *testing.T) {
	file := openGolden(t, "frontend_rejections")
	const limited, limitedQuota = "c=lookup,t=one,d=1400", "c=lookup,t=roof,d=1400,units=8"
	noRetryAfter := []string{`"retry-after":true`, `"retry-after":false`}
	for _, test := range []rejectionCase{
		{name: "concurrency limit, with Retry-After", first: wireQuery("1", limited), second: wireQuery("2", limited)},
		{name: "concurrency limit, without Retry-After", first: wireQuery("1", limited), second: wireQuery("2", limited),
			replacements: noRetryAfter},
		{name: "hard quota, with Retry-After", second: wireQuery("2", limitedQuota)},
		{name: "hard quota, without Retry-After", second: wireQuery("2", limitedQuota), replacements: noRetryAfter},
		{name: "id of an open request", first: wireQuery("1", wireFields), second: wireQuery("1", wireFields)},
	} {
		test.compare(t, file)
	}
	checkNoBackend(t, file)
	checkPipelined(t, file)
}

// checkNoBackend compares the answer of a gateway without a known backend.
func checkNoBackend(t *testing.T, file *goldenFile) {
	t.Helper()
	g := serveWire(t, wireGatewayOptions{})
	conn := dialWire(t, g.clientAddress)
	text := wireQuery("1", "c=lookup,t=team,d=200") + wirePing
	send(conn, text)
	got, state := readUntil(t, conn, "+PONG\r\n")
	file.compare("no backend is known", transcriptLine(">", text), transcriptLine("<", maskRetryAfter(got)), state)
	kill(g.process)
}

// checkPipelined compares the answers to commands that are sent in one write.
func checkPipelined(t *testing.T, file *goldenFile) {
	t.Helper()
	answer := make(chan string)
	backend := newWireBackend(t, func(string) string { return <-answer })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	conn := dialWire(t, g.clientAddress)
	text := wirePing + wireQuery("1", wireFields) + wirePing + respWords("NONE") +
		wireQuery("2", wireFields+",d=1") + wirePing
	send(conn, text)
	backend.wait(t)
	answer <- wireSuccess
	got, state := readUntil(t, conn, "\r\n+PONG\r\n")
	for strings.Count(got, "+PONG") < 3 {
		var more string
		more, state = readUntil(t, conn, "\r\n+PONG\r\n")
		got += more
	}
	lines := []string{transcriptLine(">", text), transcriptLine("<", got), state}
	file.compare("pipelined commands are answered in their order", append(lines, backend.received()...)...)
}
