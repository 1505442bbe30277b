package emulator

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// maxPendingAnswers is how many calls of a connection wait for their answers before reading stops.
	maxPendingAnswers = 10000

	maxKeyLength = 64  // of the line protocol, by the platform's page
	maxCallUnits = 1e9 // the same
)

// pendingAnswer waits until an answer's time has come and returns it with its line end; empty: none is
// written.
type pendingAnswer func() string

// counterSession is an instance's connection to the counter.
type counterSession struct {
	counter  *counter
	instance int
	conn     net.Conn
	answers  chan pendingAnswer
	ended    chan struct{} // closed when nothing more is read
}

// serve answers a connection's calls in their order. They come as lines of text, "bump NAME AMOUNT LIFE-MS",
// or in RESP2 with INCRBYFLOAT and PEXPIRE NX, where the first byte is that of an array.
func (c *counter) serve(conn net.Conn, instance int) {
	s := &counterSession{
		counter:  c,
		instance: instance,
		conn:     conn,
		answers:  make(chan pendingAnswer, maxPendingAnswers),
		ended:    make(chan struct{}),
	}
	defer close(s.ended)
	defer close(s.answers)
	go s.writeAnswers()
	in := bufio.NewReader(conn)
	first, err := in.Peek(1)
	if err != nil {
		return
	}
	if first[0] == '*' {
		s.readCommands(in)
	} else {
		s.readLines(in)
	}
}

// writeAnswers writes the answers in their order until serve has ended. It goes on where the connection has
// ended, since calls count also where nobody waits for them.
func (s *counterSession) writeAnswers() {
	for answer := range s.answers {
		text := answer()
		if text == "" {
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // where it fails, so does the write
		if _, err := s.conn.Write([]byte(text)); err != nil {
			_ = s.conn.Close() // ends the reads too; it may be closed already
		}
	}
}

// enqueue hands an answer over to writeAnswers; it returns false where the emulator is closed.
func (s *counterSession) enqueue(answer pendingAnswer) bool {
	select {
	case s.answers <- answer:
		return true
	case <-s.counter.emulator.closed:
		return false
	}
}

func (s *counterSession) readCommands(in *bufio.Reader) {
	for reader := redcon.NewReader(in); ; {
		command, err := reader.ReadCommand()
		if err != nil || !s.enqueue(s.handleCommand(command.Args)) {
			return
		}
	}
}

func (s *counterSession) readLines(in *bufio.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if !s.enqueue(s.handleLine(strings.TrimSuffix(lines.Text(), "\r"))) {
			return
		}
	}
}

// immediate is an answer that waits for nothing but those before it.
func immediate(text string) pendingAnswer {
	return func() string { return text + "\r\n" }
}

// handleCommand begins a call in RESP2.
func (s *counterSession) handleCommand(args [][]byte) pendingAnswer {
	switch name := strings.ToUpper(string(args[0])); {
	case name == "PING":
		return immediate("+PONG")
	case name == "INCRBYFLOAT" && len(args) == 3:
		units, err := strconv.ParseFloat(string(args[2]), 64)
		if err != nil {
			return immediate("-ERR value is not a valid float")
		}
		return s.begin(counterCall{key: string(args[1]), units: units}, formatBulk)
	case name == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		lifeMillis, err := strconv.ParseInt(string(args[2]), 10, 64)
		if err != nil {
			return immediate("-ERR value is not an integer or out of range")
		}
		return s.expireInTurn(string(args[1]), time.Duration(lifeMillis)*time.Millisecond)
	}
	return immediate("-ERR unknown command or wrong number of arguments")
}

func formatBulk(total float64, ok bool) string {
	if !ok {
		return "-BUSY\r\n"
	}
	return string(redcon.AppendBulkString(nil, strconv.FormatFloat(total, 'f', -1, 64)))
}

// expireInTurn sets a key's end when the answer's turn has come: behind the call that made the key.
func (s *counterSession) expireInTurn(key string, lifetime time.Duration) pendingAnswer {
	c := s.counter
	return func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.cut[s.instance] > 0:
			return ""
		case c.expire(key, lifetime):
			return ":1\r\n"
		}
		return ":0\r\n"
	}
}

// handleLine begins a call in the line protocol.
func (s *counterSession) handleLine(line string) pendingAnswer {
	if line == "ping" {
		return immediate("pong")
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "bump" || len(words[1]) > maxKeyLength {
		return immediate("error")
	}
	units, err := strconv.ParseFloat(words[2], 64)
	if err != nil || units > maxCallUnits {
		return immediate("error")
	}
	lifeMillis, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil || lifeMillis < 1 {
		return immediate("error")
	}
	return s.begin(counterCall{key: words[1], units: units, lifeMillis: lifeMillis}, formatLine)
}

// formatLine writes a total to seven digits, in single precision, as the platform's protocol has it.
func formatLine(total float64, ok bool) string {
	if !ok {
		return "busy\r\n"
	}
	return "ok " + strconv.FormatFloat(float64(float32(total)), 'g', 7, 64) + "\r\n"
}

// begin gives a call its place in the counter's time, and returns what waits for the result, in the form
// given. A form's ok is false where the counter refuses the call for want of time.
func (s *counterSession) begin(call counterCall, form func(total float64, ok bool) string) pendingAnswer {
	c := s.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[s.instance] > 0 { // lost on the way
		c.emulator.log.CountCounterCall(true)
		return func() string { return "" }
	}
	c.calls[s.instance]++
	c.emulator.log.CountCounterCall(c.hanging > 0)
	answerAt, ok := c.schedule(time.Now())
	if !ok {
		return func() string { return form(0, false) }
	}
	if c.hanging > 0 {
		unblocked := c.unblocked
		return func() string {
			if !s.awaitHang(unblocked) {
				return ""
			}
			return form(c.add(call), true)
		}
	}
	return func() string {
		time.Sleep(time.Until(answerAt))
		return form(c.add(call), true)
	}
}

// awaitHang waits for the end of a hang; it returns false where the emulator is closed before. It ends with
// the connection too, since a counter reads what has come also where the instance has left.
func (s *counterSession) awaitHang(unblocked <-chan struct{}) bool {
	select {
	case <-unblocked:
		return true
	case <-s.ended:
		return true
	case <-s.counter.emulator.closed:
		return false
	}
}
