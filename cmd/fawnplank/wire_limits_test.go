package main

import (
	"fmt"
	"net"
	"regexp"
	"strings"
	"testing"
)

var timeUntilFull = regexp.MustCompile(`:\d+\r\n$`)

// limitCommands are commands after which the connection stays open.
var limitCommands = [][]string{
	{"PING"},
	{"ping"},
	{"COMMAND"},
	{"COMMAND", "DOCS"},
	{"FLUSHALL"},
	{"\x01\xff"},
	{strings.Repeat("B", 40)},
	{"RESERVE.NEW", wireTenant},
	{"LIMIT.PEEK", wireTenant, "metered"},
	{"LIMIT.CHECK", wireTenant, "metered"},
	{"limit.check", wireTenant, "metered", "8"},
	{"LIMIT.CHECK", wireTenant, "metered", "0.5", "2", "1"},
	{"CL.THROTTLE", wireTenant, "metered", "2"},
	{"LIMIT.PEEK", wireTenant, "metered", "1"},
	{"LIMIT.CHECK", wireTenant, "team"},
	{"LIMIT.PEEK", wireTenant, "team"},
	{"LIMIT.CHECK", wireTenant, "roof", "8"},
	{"CL.THROTTLE", wireTenant, "roof", "8"},
	{"LIMIT.CHECK"},
	{"LIMIT.CHECK", wireTenant},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "1"},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "1", "0", "x"},
	{"LIMIT.PEEK"},
	{"LIMIT.PEEK", wireTenant, "metered", "1", "1"},
	{"CL.THROTTLE", wireTenant},
	{"LIMIT.CHECK", "5", "metered"},
	{"LIMIT.CHECK", "customer-of-16-x", "metered"},
	{"LIMIT.CHECK", "0000000200000000", "metered"},
	{"LIMIT.CHECK", "\x00\xff\r\n", "metered"},
	{"LIMIT.PEEK", "5", "metered"},
	{"CL.THROTTLE", "5", "metered"},
	{"LIMIT.CHECK", wireTenant, "none"},
	{"LIMIT.CHECK", wireTenant, "\x00" + strings.Repeat("p", 50)},
	{"LIMIT.PEEK", wireTenant, "none"},
	{"LIMIT.CHECK", wireTenant, "metered", "0"},
	{"LIMIT.CHECK", wireTenant, "metered", "-1"},
	{"LIMIT.CHECK", wireTenant, "metered", "8.5"},
	{"LIMIT.CHECK", wireTenant, "metered", "x"},
	{"LIMIT.CHECK", wireTenant, "metered", "NaN"},
	{"LIMIT.CHECK", wireTenant, "metered", "0x1"},
	{"CL.THROTTLE", wireTenant, "metered", "1_0"},
	{"LIMIT.CHECK", wireTenant, "metered", ""},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "0", "0"},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "3", "0"},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "x", "0"},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "2", "2"},
	{"LIMIT.CHECK", wireTenant, "metered", "1", "2", "-1"},
	{"LIMIT.PEEK", wireTenant, "metered", "3"},
	{"AUTH"},
	{"AUTH", "x"},
	{"AUTH", "tool", "wrong"},
	{"AUTH", "nobody", "0123456789abcdef-secret"},
}

// compareLimitCommand compares a command and its answer. It sends a PING after the command to find the answer's end.
func compareLimitCommand(t *testing.T, file *goldenFile, conn net.Conn, name string, words ...string) {
	t.Helper()
	text := respWords(words...)
	send(conn, text+respWords("PING"))
	got, state := readUntil(t, conn, "+PONG\r\n")
	if strings.EqualFold(words[0], "PING") && strings.Count(got, "+PONG") < 2 {
		more, _ := readUntil(t, conn, "+PONG\r\n")
		got += more
	}
	got = strings.TrimSuffix(got, "+PONG\r\n")
	if strings.HasPrefix(got, "*5\r\n") {
		got = timeUntilFull.ReplaceAllStringFunc(got, func(s string) string {
			if s == ":0\r\n" {
				return s
			}
			return ":<until full>\r\n"
		})
		got = waitTime.ReplaceAllString(got, "${1}:<wait>\r\n${2}")
	}
	file.compare(name, transcriptLine(">", text), transcriptLine("<", got), state)
}

// serveTotals answers calls in the counter's text protocol with the total of all units.
func serveTotals(t *testing.T, lines <-chan counterLine) {
	t.Helper()
	total := 0.0
	for line := range lines {
		var key string
		var units, lifetimeMs float64
		if _, err := fmt.Sscanf(line.text, "bump %s %f %f", &key, &units, &lifetimeMs); err != nil {
			t.Errorf("%q: %v", line.text, err)
		}
		total += units
		sendf(line.conn, "ok %g\r\n", total)
	}
}

// TestLimits_CommandsOnWire compares every answer and every error line of the limit commands. The last number of an
// answer, the time until the bucket is full, varies from run to run and is replaced.
func TestLimits_CommandsOnWire(t *testing.T) {
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	counter, lines := newWireCounter(t)
	go serveTotals(t, lines)
	file := openGolden(t, "limit_commands")
	g := serveWire(t, wireGatewayOptions{counter: counter, endpoints: wireEndpoint(backend.address)})
	conn := dialWire(t, g.limitsAddress)
	for _, words := range limitCommands {
		compareLimitCommand(t, file, conn, fmt.Sprintf("%.80q", words), words...)
	}
	send(conn, respWords("QUIT")+respWords("PING"))
	got, state := readUntil(t, conn, "")
	file.compare("QUIT", transcriptLine("<", got), state)
	compareInvalidCommands(t, file, g)
	kill(g.process)

	g = serveWire(t, wireGatewayOptions{
		counter:   counter,
		endpoints: wireEndpoint(backend.address),
		operator:  "connections = 1\n" + limitKeys,
	})
	compareLimitKeys(t, file, g)
}

// compareInvalidCommands compares the answers to invalid commands. The connection ends, except after an inline command.
func compareInvalidCommands(t *testing.T, file *goldenFile, g *wireGateway) {
	t.Helper()
	for _, test := range []struct{ name, text, end string }{
		{"inline command", "PING\r\n", "\r\n"},
		{"array of no number", "*x\r\n", ""},
		{"word of negative length", "*1\r\n$-5\r\n", ""},
		{"word of another type", "*1\r\n:5\r\n", ""},
	} {
		conn := dialWire(t, g.limitsAddress)
		send(conn, test.text)
		got, state := readUntil(t, conn, test.end)
		file.compare(test.name, transcriptLine(">", test.text), transcriptLine("<", got), state)
	}
	conn := dialWire(t, g.limitsAddress)
	go send(conn, "*2\r\n$4\r\nPING\r\n$3000000\r\n"+strings.Repeat("x", 2<<20))
	got, state := readUntil(t, conn, "too large\r\n")
	file.compare("command too large", transcriptLine("<", got), state)
}

const limitKeys = "[[limits.key]]\nname = \"tool\"\nsecret_file = \"FOLDER/secret\"\nrights = [\"check\"]\n" +
	"[[limits.key]]\nname = \"reader\"\nsecret_file = \"FOLDER/secret\"\nrights = [\"read\"]\n"

// compareLimitKeys compares authentication by key on the only connection that the gateway allows, and the refusal of a
// second connection.
func compareLimitKeys(t *testing.T, file *goldenFile, g *wireGateway) {
	t.Helper()
	const secret = "0123456789abcdef-secret"
	conn := dialWire(t, g.limitsAddress)
	for _, test := range []struct {
		name  string
		words []string
	}{
		{"keys, no AUTH", []string{"LIMIT.CHECK", wireTenant, "team"}},
		{"keys, AUTH by a wrong secret", []string{"AUTH", "tool", "0123456789abcdef-secreT"}},
		{"keys, PEEK after a wrong AUTH", []string{"LIMIT.PEEK", wireTenant, "team"}},
		{"keys, AUTH", []string{"AUTH", "tool", secret}},
		{"keys, CHECK after AUTH", []string{"LIMIT.CHECK", wireTenant, "team"}},
		{"keys, AUTH for another", []string{"AUTH", "reader", secret}},
		{"keys, CHECK without the right", []string{"CL.THROTTLE", wireTenant, "team"}},
	} {
		compareLimitCommand(t, file, conn, test.name, test.words...)
	}
	other := dialWire(t, g.limitsAddress)
	got, state := readUntil(t, other, "")
	file.compare("too many connections", transcriptLine("<", got), state)
}

// waitTime matches the fourth number of a refusal, the time until the request would be admitted, if it is not zero.
var waitTime = regexp.MustCompile(`(?s)^(\*5\r\n:1\r\n:\d+\r\n:\d+\r\n):[1-9]\d*\r\n(.*)$`)
