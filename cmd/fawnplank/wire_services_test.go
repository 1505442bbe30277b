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

// counterLine is a line that the counter received, and the connection to answer it on.
type counterLine struct {
	text string
	conn net.Conn
}

// newWireCounter starts a stand-in for the counter, and returns its address and the lines that it receives.
func newWireCounter(t *testing.T) (string, chan counterLine) {
	t.Helper()
	lines := make(chan counterLine, 1000)
	return wireStandIn(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			text, err := r.ReadString('\n')
			if err != nil {
				return
			}
			lines <- counterLine{text, c}
		}
	}), lines
}

// nextCounterCall waits for the next call, which consists of so many lines.
func nextCounterCall(
	t *testing.T, name string, lines chan counterLine, lineCount int,
) (text string, conn net.Conn) {
	t.Helper()
	for range lineCount {
		select {
		case l := <-lines:
			text += l.text
			conn = l.conn
		case <-time.After(wireTimeout):
			t.Fatalf("%s: no call comes to the counter behind %q", name, text)
		}
	}
	return text, conn
}

var (
	counterText     = regexp.MustCompile(`^bump ([0-9a-f]{1,16}) `)
	counterKey      = regexp.MustCompile(`\$\d+\r\n([0-9a-f]{1,16})\r\n\$(\d+\r\n-?[0-9.]+\r\n)`)
	counterTextLife = regexp.MustCompile(` [1-9]\d{0,4}\r\n$`)
	counterRESPLife = regexp.MustCompile(`\$\d\r\n[1-9]\d{0,4}\r\n(\$2\r\nNX\r\n)$`)
	counterLife     = regexp.MustCompile(`(PEXPIRE\r\n)\$\d+\r\n([0-9a-f]{1,16})\r\n`)
)

// wireFormat is one of the forms in which the counter is called.
type wireFormat struct {
	name, operator         string
	total, refused, broken string // answers
	lines                  int    // of a call
	keyWord                int    // the index of the word that is the key of a window
	units                  *regexp.Regexp
	anyUnits               string
	normalize              func(text string) string
	formatTotal            func(total string) string
}

var wireFormats = []wireFormat{
	{
		name:     "text",
		total:    "ok 1\r\n",
		refused:  "busy\r\n",
		broken:   "ok x\r\n",
		lines:    1,
		keyWord:  1,
		units:    regexp.MustCompile(`( )(-?[0-9.]+)( )`),
		anyUnits: " <units> ",
		normalize: func(text string) string {
			return counterTextLife.ReplaceAllString(counterText.ReplaceAllString(text, "bump <name> "), " <ms>\r\n")
		},
		formatTotal: func(total string) string { return fmt.Sprintf("ok %s\r\n", total) },
	},
	{
		name:     "RESP",
		operator: "[counter]\nprotocol = \"resp\"\n",
		total:    "$1\r\n1\r\n:1\r\n",
		refused:  "-ERR full\r\n:0\r\n",
		broken:   "+OK\r\n:0\r\n",
		lines:    16,
		keyWord:  4,
		units:    regexp.MustCompile(`(\$)\d+\r\n(-?[0-9.]+)(\r\n\*4)`),
		anyUnits: "$$<length>\r\n<units>$3",
		normalize: func(text string) string {
			text = counterKey.ReplaceAllString(text, "$$<length>\r\n<name>\r\n$$$2")
			text = counterLife.ReplaceAllString(text, "$1$$<length>\r\n<name>\r\n")
			return counterRESPLife.ReplaceAllString(text, "$$<length>\r\n<ms>\r\n$1")
		},
		formatTotal: func(total string) string { return fmt.Sprintf("$%d\r\n%s\r\n:1\r\n", len(total), total) },
	},
}

// The calls to the counter in both forms: one that is answered; the one behind a call that the counter
// refused, whose units are reported with it, or whose answer was broken or never came; and a correction,
// where the counter has lost units. A key and its lifetime vary with the time at which its window began, a
// correction's units with what was refilled meanwhile.
func TestCounter_CallsOnWire(t *testing.T) {
	file := openGolden(t, "counter_calls")
	backend := newWireBackend(t, func(string) string { return wireGood })
	for _, format := range wireFormats {
		for _, x := range []struct {
			name, answer string
			calls        int
		}{
			{"answered", format.total, 1},
			{"turned down", format.refused, 2},
			{"spoilt", format.broken, 2},
			{"closed", "close", 2},
			{"silent", "none", 2},
		} {
			out := counterCalls(t, format, backend, format.name+", "+x.name, x.answer, x.calls)
			file.compare(format.name+", "+x.name, out...)
		}
		correction := counterCorrection(t, format, backend)
		normal := format.units.ReplaceAllString(format.normalize(correction), format.anyUnits)
		file.compare(format.name+", correction of lost units", transcriptLine("counter <", normal))
	}
}

// serveWithCounter starts a gateway whose counter the test answers. It also returns the lines that the counter
// receives.
func serveWithCounter(t *testing.T, format wireFormat, backend *wireBackend) (*wireGateway, chan counterLine) {
	t.Helper()
	counter, lines := newWireCounter(t)
	g := serveWire(t, wireGatewayOptions{
		counter:   counter,
		endpoints: wireEndpoint(backend.address),
		operator:  format.operator,
	})
	return g, lines
}

// counterCalls is the transcript of one or two requests, of which the first call to the counter gets the
// answer.
func counterCalls(t *testing.T, format wireFormat, backend *wireBackend,
	name, answer string, calls int) (out []string) {
	t.Helper()
	g, lines := serveWithCounter(t, format, backend)
	defer kill(g.process)
	c := dialWire(t, g.clients)
	for n, units := range []string{"1", "2.5"}[:calls] {
		send(c, wireQuery(fmt.Sprint(n), "c=lookup,t=metered,d=1400,units="+units))
		text, conn := nextCounterCall(t, fmt.Sprintf("%s, call %d", name, n+1), lines, format.lines)
		out = append(out, transcriptLine("counter <", format.normalize(text)))
		if n > 0 {
			answer = format.total
		}
		switch answer {
		case "close":
			hangUp(conn)
		case "none":
		default:
			send(conn, answer)
		}
		got, _ := readUntil(t, c, "ok\r\n")
		out = append(out, transcriptLine("<", got))
	}
	return out
}

// counterCorrection is a call of a gateway whose counter forgets: what it lacks is reported again, by a call
// that no request causes. Only such a call has other units than the requests' 8. It comes without a loss
// too, where a window is old.
func counterCorrection(t *testing.T, format wireFormat, backend *wireBackend) string {
	t.Helper()
	g, lines := serveWithCounter(t, format, backend)
	defer kill(g.process)
	c := dialWire(t, g.clients)
	corrections := make(chan string, 100)
	go forgetfulCounter(t, format, lines, corrections)
	// Twelve requests of a tenant stay within its quota. Its window may end between them, and then nothing is
	// lacking: the windows of others begin at other times.
	for n := range 20 * 12 {
		setDeadline(c, wireTimeout)
		send(c, respWords("SVC.QUERY", fmt.Sprintf("%016x", 5+n/12), fmt.Sprint(n), "c=lookup,t=metered,d=1400,units=8"))
		readUntil(t, c, "\r\n")
		select {
		case correction := <-corrections:
			return correction
		default:
		}
	}
	t.Fatalf("%s: no correction comes", format.name)
	return ""
}

// forgetfulCounter answers calls with totals, of which it forgets those above 60, and passes corrections on.
func forgetfulCounter(t *testing.T, format wireFormat, lines <-chan counterLine, corrections chan<- string) {
	t.Helper()
	for sums := map[string]float64{}; ; {
		var text string
		var conn net.Conn
		for range format.lines {
			line, ok := <-lines
			if !ok {
				return
			}
			text, conn = text+line.text, line.conn
		}
		m := format.units.FindStringSubmatch(text)
		if m == nil {
			t.Errorf("no units in %q", text)
			return
		}
		units, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			t.Errorf("no units in %q: %v", text, err)
			return
		}
		if m[2] != "8" {
			corrections <- text
		}
		key := strings.FieldsFunc(text, func(r rune) bool { return r <= ' ' })[format.keyWord]
		if sums[key] += units; sums[key] > 60 {
			sums[key] = units
		}
		send(conn, format.formatTotal(strconv.FormatFloat(sums[key], 'f', -1, 64)))
	}
}

// Health checks of a backend that fails.
func TestBackend_HealthCheckOnWire(t *testing.T) {
	file := openGolden(t, "backend_health_check")
	backend := newWireBackend(t, func(string) string { return "close" })
	g := serveWire(t, wireGatewayOptions{endpoints: wireEndpoint(backend.address)})
	c := dialWire(t, g.clients)
	send(c, wireQuery("1", wireField))
	readUntil(t, c, "\r\n")
	select {
	case raw := <-backend.healthChecks:
		file.compare("health check", transcriptLine("backend <", raw))
	case <-time.After(wireTimeout):
		t.Fatal("no health check comes")
	}
}

// httpAnswer is an answer of the discovery service.
func httpAnswer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// wireDiscovery answers one call after another, "hold" by silence, and passes the calls on.
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
	d.address = wireStandIn(t, func(conn net.Conn) {
		defer hangUp(conn)
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

// readHead reads the head of an HTTP message.
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

// The calls to discovery: full snapshots, deltas since an index, after each kind of answer.
func TestDiscovery_CallsOnWire(t *testing.T) {
	file := openGolden(t, "discovery_calls")
	entry := wireEndpoint("127.0.0.1:4")
	snapshot := httpAnswer("200 OK", `{"index":41,"snapshot":true,"endpoints":[`+entry+`]}`)
	changes := httpAnswer("200 OK", `{"index":42,"snapshot":false,"endpoints":[]}`)
	for _, x := range []struct {
		name, known string
		answers     []string
		replace     []string
	}{
		{name: "pushed, nothing known", answers: []string{snapshot, changes, "hold"}},
		{name: "pushed, a list known", known: entry, answers: []string{changes, snapshot, "hold"}},
		{name: "pushed, refused with 503", answers: []string{snapshot, httpAnswer("503 Service Unavailable", ""), "hold"}},
		{name: "pushed, refused with 429", answers: []string{snapshot, httpAnswer("429 Too Many Requests", ""), "hold"}},
		{name: "pushed, failed with 500", answers: []string{snapshot, httpAnswer("500 Internal Server Error", ""), "hold"}},
		{name: "pushed, answered with no list", answers: []string{snapshot, httpAnswer("200 OK", "x"), "hold"}},
		{name: "asked for", answers: []string{snapshot, "hold"}, replace: []string{
			`"settings":{`, `"settings":{"discovery":"on_request",`, `"invariants":{`, `"invariants":{"ask-within-ms":400,`,
		}},
	} {
		d := newWireDiscovery(t, x.answers)
		g := serveWire(t, wireGatewayOptions{discovery: d.address, endpoints: x.known, replace: x.replace})
		var out []string
		for range x.answers {
			select {
			case call := <-d.calls:
				call = strings.Replace(call, "Host: "+d.address+"\r\n", "Host: <address>\r\n", 1)
				out = append(out, transcriptLine("discovery <", call))
			case <-time.After(wireTimeout):
				t.Fatalf("%s: no call comes to discovery behind %s", x.name, out)
			}
		}
		close(d.stop)
		file.compare(x.name, out...)
		kill(g.process)
	}
}
