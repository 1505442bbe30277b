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
	// maxPendingAnswers is how many calls of a connection may wait for their answers before reading stops.
	maxPendingAnswers = 10000

	maxKeyLength = 64  // of the line protocol, as the platform's page says
	maxCallUnits = 1e9 // the same
)

// pendingAnswer waits until the time of an answer has come and returns it with its line end, or "" if nothing
// is to be written.
type pendingAnswer func() string

// counterSession is a connection from an instance to the counter.
type counterSession struct {
	counter  *counter
	instance int
	conn     net.Conn
	answers  chan pendingAnswer
	ended    chan struct{} // closed when reading has ended
}

// serve answers a connection's calls in order. Calls come as lines of text, "bump NAME AMOUNT LIFE-MS", or in
// RESP2 as INCRBYFLOAT and PEXPIRE NX if the first byte is that of an array.
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

// writeAnswers writes the answers in order until serve has ended. It continues after the connection has
// ended, because calls count even if their answers have no reader.
func (s *counterSession) writeAnswers() {
	for answer := range s.answers {
		text := answer()
		if text == "" {
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, the write fails too
		if _, err := s.conn.Write([]byte(text)); err != nil {
			_ = s.conn.Close() // also ends the reads; it may be closed already
		}
	}
}

// enqueue passes an answer to writeAnswers. It returns false if the emulator is closed.
func (s *counterSession) enqueue(answer pendingAnswer) bool {
	select {
	case s.answers <- answer:
		return true
	case <-s.counter.emulator.closed:
		return false
	}
}

func (s *counterSession) readCommands(in *bufio.Reader) {
	reader := redcon.NewReader(in)
	for {
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

// immediate returns an answer that waits only for the answers before it.
func immediate(text string) pendingAnswer {
	return func() string { return text + "\r\n" }
}

// handleCommand begins a call that came in RESP2.
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
		lifetimeMillis, err := strconv.ParseInt(string(args[2]), 10, 64)
		if err != nil {
			return immediate("-ERR value is not an integer or out of range")
		}
		return s.expireInTurn(string(args[1]), time.Duration(lifetimeMillis)*time.Millisecond)
	}
	return immediate("-ERR unknown command or wrong number of arguments")
}

func formatBulk(total float64, ok bool) string {
	if !ok {
		return "-BUSY\r\n"
	}
	return string(redcon.AppendBulkString(nil, strconv.FormatFloat(total, 'f', -1, 64)))
}

// expireInTurn sets a key's end when the answer's turn has come, which is after the call that created the
// key.
func (s *counterSession) expireInTurn(key string, lifetime time.Duration) pendingAnswer {
	c := s.counter
	return func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.cutOff[s.instance] > 0:
			return ""
		case c.expire(key, lifetime):
			return ":1\r\n"
		}
		return ":0\r\n"
	}
}

// handleLine begins a call that came in the line protocol.
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
	lifetimeMillis, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil || lifetimeMillis < 1 {
		return immediate("error")
	}
	return s.begin(counterCall{key: words[1], units: units, lifetimeMillis: lifetimeMillis}, formatLine)
}

// formatLine formats a total with seven digits in single precision, as the platform's protocol does.
func formatLine(total float64, ok bool) string {
	if !ok {
		return "busy\r\n"
	}
	return "ok " + strconv.FormatFloat(float64(float32(total)), 'g', 7, 64) + "\r\n"
}

// begin gives a call its place in the counter's time, and returns an answer that waits for the result and
// writes it in the given form. A form gets ok as false if the counter refuses the call for lack of time.
func (s *counterSession) begin(call counterCall, form func(total float64, ok bool) string) pendingAnswer {
	c := s.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff[s.instance] > 0 { // lost on the way
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

// awaitHang waits for the end of a hang. It returns false if the emulator is closed first. The wait also ends
// with the connection, since a counter reads what has arrived even if the instance has left.
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
