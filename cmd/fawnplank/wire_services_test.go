package main

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// counterLine is a line that the counter received, and the connection on which to answer it.
type counterLine struct {
	text string
	conn net.Conn
}

// newWireCounter starts a counter that the test answers, and returns its address and the lines that it receives.
func newWireCounter(t *testing.T) (string, chan counterLine) {
	t.Helper()
	lines := make(chan counterLine, 1000)
	return serveConnections(t, func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			text, err := r.ReadString('\n')
			if err != nil {
				return
			}
			lines <- counterLine{text, conn}
		}
	}), lines
}

// nextCounterCall waits for the next call, which consists of lineCount lines.
func nextCounterCall(
	t *testing.T, name string, lines chan counterLine, lineCount int,
) (text string, conn net.Conn) {
	t.Helper()
	for range lineCount {
		select {
		case line := <-lines:
			text += line.text
			conn = line.conn
		case <-time.After(wireTimeout):
			t.Fatalf("%s: the counter received no further line after %q", name, text)
		}
	}
	return text, conn
}

var (
	counterTextKey       = regexp.MustCompile(`^bump ([0-9a-f]{1,16}) `)
	counterRESPKey       = regexp.MustCompile(`\$\d+\r\n([0-9a-f]{1,16})\r\n\$(\d+\r\n-?[0-9.]+\r\n)`)
	counterTextLifetime  = regexp.MustCompile(` [1-9]\d{0,4}\r\n$`)
	counterRESPLifetime  = regexp.MustCompile(`\$\d\r\n[1-9]\d{0,4}\r\n(\$2\r\nNX\r\n)$`)
	counterRESPExpireKey = regexp.MustCompile(`(PEXPIRE\r\n)\$\d+\r\n([0-9a-f]{1,16})\r\n`)
)

// wireCounterFormat describes one of the protocols in which the gateway calls the counter.
type wireCounterFormat struct {
	name, operator                      string
	total, refusedAnswer, invalidAnswer string // answers of the counter
	lines                               int    // per call
	keyWordIndex                        int    // index of the word with the key of a window
	units                               *regexp.Regexp
	unitsPlaceholder                    string
	normalize                           func(text string) string
	formatTotal                         func(total string) string
}

var wireCounterFormats = []wireCounterFormat{
	{
		name:             "text",
		total:            "ok 1\r\n",
		refusedAnswer:    "busy\r\n",
		invalidAnswer:    "ok x\r\n",
		lines:            1,
		keyWordIndex:     1,
		units:            regexp.MustCompile(`( )(-?[0-9.]+)( )`),
		unitsPlaceholder: " <units> ",
		normalize: func(text string) string {
			return counterTextLifetime.ReplaceAllString(counterTextKey.ReplaceAllString(text, "bump <name> "), " <ms>\r\n")
		},
		formatTotal: func(total string) string { return fmt.Sprintf("ok %s\r\n", total) },
	},
	{
		name:             "RESP",
		operator:         "[counter]\nprotocol = \"resp\"\n",
		total:            "$1\r\n1\r\n:1\r\n",
		refusedAnswer:    "-ERR full\r\n:0\r\n",
		invalidAnswer:    "+OK\r\n:0\r\n",
		lines:            16,
		keyWordIndex:     4,
		units:            regexp.MustCompile(`(\$)\d+\r\n(-?[0-9.]+)(\r\n\*4)`),
		unitsPlaceholder: "$$<length>\r\n<units>$3",
		normalize: func(text string) string {
			text = counterRESPKey.ReplaceAllString(text, "$$<length>\r\n<name>\r\n$$$2")
			text = counterRESPExpireKey.ReplaceAllString(text, "$1$$<length>\r\n<name>\r\n")
			return counterRESPLifetime.ReplaceAllString(text, "$$<length>\r\n<ms>\r\n$1")
		},
		formatTotal: func(total string) string { return fmt.Sprintf("$%d\r\n%s\r\n:1\r\n", len(total), total) },
	},
}

// TestCounter_CallsOnWire compares the calls to the counter in both protocols: a call that is answered; the call after
// one that the counter refused, answered invalidly or did not answer, which also reports the units of that call; and
// the correction after the counter has lost units. A key and its lifetime depend on the time at which its window began,
// and a correction's units on the refill since then; they are replaced.
func TestCounter_CallsOnWire(t *testing.T) {
	file := openGolden(t, "counter_calls")
	backend := newWireBackend(t, func(string) string { return wireSuccess })
	for _, format := range wireCounterFormats {
		for _, test := range []struct {
			name, answer string
			calls        int
		}{
			{"answered", format.total, 1},
			{"turned down", format.refusedAnswer, 2},
			{"spoilt", format.invalidAnswer, 2},
			{"closed", "close", 2},
			{"silent", "none", 2},
		} {
			out := counterCalls(t, format, backend, format.name+", "+test.name, test.answer, test.calls)
			file.compare(format.name+", "+test.name, out...)
		}
		correction := counterCorrection(t, format, backend)
		normalized := format.units.ReplaceAllString(format.normalize(correction), format.unitsPlaceholder)
		file.compare(format.name+", correction of lost units", transcriptLine("counter <", normalized))
	}
}

// serveWithCounter starts a gateway with a counter that the test answers, and returns it with the lines that the
// counter receives.
func serveWithCounter(t *testing.T, format wireCounterFormat, backend *wireBackend) (*wireGateway, chan counterLine) {
	t.Helper()
	counter, lines := newWireCounter(t)
	g := serveWire(t, wireGatewayOptions{
		counter:   counter,
		endpoints: wireEndpoint(backend.address),
		operator:  format.operator,
	})
	return g, lines
}

// counterCalls returns the transcript of one or two requests. The counter answers the first call with answer, and the
// second one with a total.
func counterCalls(t *testing.T, format wireCounterFormat, backend *wireBackend,
	name, answer string, callCount int) (out []string) {
	t.Helper()
	g, lines := serveWithCounter(t, format, backend)
	defer kill(g.process)
	client := dialWire(t, g.clientAddress)
	for n, units := range []string{"1", "2.5"}[:callCount] {
		send(client, wireQuery(fmt.Sprint(n), "c=lookup,t=metered,d=1400,units="+units))
		text, conn := nextCounterCall(t, fmt.Sprintf("%s, call %d", name, n+1), lines, format.lines)
		out = append(out, transcriptLine("counter <", format.normalize(text)))
		if n > 0 {
			answer = format.total
		}
		switch answer {
		case "close":
			closeIgnoringError(conn)
		case "none":
		default:
			send(conn, answer)
		}
		got, _ := readUntil(t, client, "ok\r\n")
		out = append(out, transcriptLine("<", got))
	}
	return out
}

// counterCorrection returns the call with which a gateway corrects a counter that has lost units: it reports the
// missing units again, in a call that belongs to no request. Only such a call has other units than the 8 of the
// requests. For an old window a correction can come without a loss, too.
func counterCorrection(t *testing.T, format wireCounterFormat, backend *wireBackend) string {
	t.Helper()
	g, lines := serveWithCounter(t, format, backend)
	defer kill(g.process)
	conn := dialWire(t, g.clientAddress)
	corrections := make(chan string, 100)
	go serveLossyCounter(t, format, lines, corrections)
	// Twelve requests of a tenant stay within its quota. If the tenant's window ends between them, no units are
	// missing. Therefore the test tries several tenants, whose windows begin at different times.
	for n := range 20 * 12 {
		setDeadline(conn, wireTimeout)
		send(conn, respWords("SVC.QUERY", fmt.Sprintf("%016x", 5+n/12), fmt.Sprint(n), "c=lookup,t=metered,d=1400,units=8"))
		readUntil(t, conn, "\r\n")
		select {
		case correction := <-corrections:
			return correction
		default:
		}
	}
	t.Fatalf("%s: the counter received no correction", format.name)
	return ""
}

// serveLossyCounter answers calls with totals, loses each total that exceeds 60, and passes on the corrections.
func serveLossyCounter(t *testing.T, format wireCounterFormat, lines <-chan counterLine, corrections chan<- string) {
	t.Helper()
	for totals := map[string]float64{}; ; {
		var text string
		var conn net.Conn
		for range format.lines {
			line, ok := <-lines
			if !ok {
				return
			}
			text, conn = text+line.text, line.conn
		}
		match := format.units.FindStringSubmatch(text)
		if match == nil {
			t.Errorf("no units in %q", text)
			return
		}
		units, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			t.Errorf("no units in %q: %v", text, err)
			return
		}
		if match[2] != "8" {
			corrections <- text
		}
		key := strings.FieldsFunc(text, func(r rune) bool { return r <= ' ' })[format.keyWordIndex]
		if totals[key] += units; totals[key] > 60 {
			totals[key] = units
		}
		send(conn, format.formatTotal(strconv.FormatFloat(totals[key], 'f', -1, 64)))
	}
}

// TestBackend_HealthCheckOnWire compares the health check of a backend that has failed.
func TestBackend_HealthCheckOnWire(t *testing.T) {
	file := openGolden(t, "backend_health_check")
	backend := newWireBackend(t, func(string) string { return "close" })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	conn := dialWire(t, g.clientAddress)
	send(conn, wireQuery("1", wireFields))
	readUntil(t, conn, "\r\n")
	select {
	case raw := <-backend.healthChecks:
		file.compare("health check", transcriptLine("backend <", raw))
	case <-time.After(wireTimeout):
		t.Fatal("the backend received no health check")
	}
}

// httpAnswer returns an HTTP answer of the discovery service.
func httpAnswer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// wireDiscovery is a discovery service that passes its calls to the test and sends prepared answers in order. The
// answer "hold" leaves a call unanswered until the service is stopped.
type wireDiscovery struct {
	address string
	calls   chan string
	stop    chan struct{}
}

func newWireDiscovery(t *testing.T, answers []string) *wireDiscovery {
	t.Helper()
	d := &wireDiscovery{calls: make(chan string, 100), stop: make(chan struct{})}
	next := make(chan string, 100)
	for _, answer := range answers {
		next <- answer
	}
	d.address = serveConnections(t, func(conn net.Conn) {
		defer closeIgnoringError(conn)
		for r := bufio.NewReader(conn); ; {
			call, err := readHead(r)
			if err != nil {
				return
			}
			d.calls <- call
			answer := <-next
			if answer == "hold" {
				<-d.stop
				return
			}
			send(conn, answer)
		}
	})
	return d
}

// readHead reads the start line and the header of an HTTP message.
func readHead(r *bufio.Reader) (string, error) {
	text := ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		text += line
	}
	return text, nil
}

// TestDiscovery_CallsOnWire compares the calls to discovery after each kind of answer: for full snapshots, and for the
// changes since an index.
func TestDiscovery_CallsOnWire(t *testing.T) {
	file := openGolden(t, "discovery_calls")
	entry := wireEndpoint("127.0.0.1:4")
	snapshot := httpAnswer("200 OK", `{"index":41,"snapshot":true,"endpoints":[`+entry+`]}`)
	changes := httpAnswer("200 OK", `{"index":42,"snapshot":false,"endpoints":[]}`)
	for _, test := range []struct {
		name, known  string
		answers      []string
		replacements []string
	}{
		{name: "pushed, nothing known", answers: []string{snapshot, changes, "hold"}},
		{name: "pushed, a list known", known: entry, answers: []string{changes, snapshot, "hold"}},
		{name: "pushed, refused with 503", answers: []string{snapshot, httpAnswer("503 Service Unavailable", ""), "hold"}},
		{name: "pushed, refused with 429", answers: []string{snapshot, httpAnswer("429 Too Many Requests", ""), "hold"}},
		{name: "pushed, failed with 500", answers: []string{snapshot, httpAnswer("500 Internal Server Error", ""), "hold"}},
		{name: "pushed, answered with no list", answers: []string{snapshot, httpAnswer("200 OK", "x"), "hold"}},
		{name: "asked for", answers: []string{snapshot, "hold"}, replacements: []string{
			`"settings":{`, `"settings":{"discovery":"on_request",`, `"invariants":{`, `"invariants":{"ask-within-ms":400,`,
		}},
	} {
		d := newWireDiscovery(t, test.answers)
		g := serveWire(t, wireGatewayOptions{discovery: d.address, endpoints: test.known, replacements: test.replacements})
		var out []string
		for range test.answers {
			select {
			case call := <-d.calls:
				call = strings.Replace(call, "Host: "+d.address+"\r\n", "Host: <address>\r\n", 1)
				out = append(out, transcriptLine("discovery <", call))
			case <-time.After(wireTimeout):
				t.Fatalf("%s: discovery received no further call after %s", test.name, out)
			}
		}
		close(d.stop)
		file.compare(test.name, out...)
		kill(g.process)
	}
}
