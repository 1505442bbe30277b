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
	// maxPendingAnswers is the number of unanswered calls of a connection at which the counter stops reading from it.
	maxPendingAnswers = 10000

	// Limits of the line protocol.
	maxKeyLength = 64
	maxCallUnits = 1e9
)

// pendingAnswer waits until an answer is due and returns it with its line end, or returns "" if nothing is to be
// written.
type pendingAnswer func() string

// counterSession is a connection from an instance to the counter.
type counterSession struct {
	counter   *counter
	instance  int
	conn      net.Conn
	answers   chan pendingAnswer
	readEnded chan struct{} // closed when reading has ended
}

// serve answers the calls of a connection in order. If the first byte is that of a RESP2 array, the calls are the
// commands INCRBYFLOAT and PEXPIRE NX; otherwise they are lines of text, "bump NAME AMOUNT LIFE-MS".
func (c *counter) serve(conn net.Conn, instance int) {
	s := &counterSession{
		counter:   c,
		instance:  instance,
		conn:      conn,
		answers:   make(chan pendingAnswer, maxPendingAnswers),
		readEnded: make(chan struct{}),
	}
	defer close(s.readEnded)
	defer close(s.answers)
	go s.writeAnswers()
	input := bufio.NewReader(conn)
	first, err := input.Peek(1)
	if err != nil {
		return
	}
	if first[0] == '*' {
		s.readCommands(input)
	} else {
		s.readLines(input)
	}
}

// writeAnswers writes the answers in order until serve has closed the channel and it is empty. It continues after the
// connection has ended, because a call counts even if its answer cannot be delivered.
func (s *counterSession) writeAnswers() {
	for answer := range s.answers {
		text := answer()
		if text == "" {
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the write fails too
		if _, err := s.conn.Write([]byte(text)); err != nil {
			_ = s.conn.Close() // ends the reads; fails if the connection is closed already
		}
	}
}

// enqueue queues an answer for writeAnswers. It returns false if the emulator is closed.
func (s *counterSession) enqueue(answer pendingAnswer) bool {
	select {
	case s.answers <- answer:
		return true
	case <-s.counter.emulator.closed:
		return false
	}
}

func (s *counterSession) readCommands(input *bufio.Reader) {
	reader := redcon.NewReader(input)
	for {
		command, err := reader.ReadCommand()
		if err != nil || !s.enqueue(s.handleCommand(command.Args)) {
			return
		}
	}
}

func (s *counterSession) readLines(input *bufio.Reader) {
	lines := bufio.NewScanner(input)
	for lines.Scan() {
		if !s.enqueue(s.handleLine(strings.TrimSuffix(lines.Text(), "\r"))) {
			return
		}
	}
}

// immediateAnswer returns an answer that is due as soon as the answers before it are written.
func immediateAnswer(text string) pendingAnswer {
	return func() string { return text + "\r\n" }
}

// handleCommand starts a call that arrived as a RESP2 command.
func (s *counterSession) handleCommand(args [][]byte) pendingAnswer {
	switch name := strings.ToUpper(string(args[0])); {
	case name == "PING":
		return immediateAnswer("+PONG")
	case name == "INCRBYFLOAT" && len(args) == 3:
		units, err := strconv.ParseFloat(string(args[2]), 64)
		if err != nil {
			return immediateAnswer("-ERR value is not a valid float")
		}
		return s.startCall(counterCall{key: string(args[1]), units: units}, formatBulkAnswer)
	case name == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		lifetimeMillis, err := strconv.ParseInt(string(args[2]), 10, 64)
		if err != nil {
			return immediateAnswer("-ERR value is not an integer or out of range")
		}
		return s.expireInOrder(string(args[1]), time.Duration(lifetimeMillis)*time.Millisecond)
	}
	return immediateAnswer("-ERR unknown command or wrong number of arguments")
}

func formatBulkAnswer(total float64, ok bool) string {
	if !ok {
		return "-BUSY\r\n"
	}
	return string(redcon.AppendBulkString(nil, strconv.FormatFloat(total, 'f', -1, 64)))
}

// expireInOrder returns an answer that sets the expiry of a key when it is due, which is after the earlier call that
// creates the key.
func (s *counterSession) expireInOrder(key string, lifetime time.Duration) pendingAnswer {
	c := s.counter
	return func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.cutOff[s.instance] > 0:
			return ""
		case c.setExpiry(key, lifetime):
			return ":1\r\n"
		}
		return ":0\r\n"
	}
}

// handleLine starts a call that arrived in the line protocol.
func (s *counterSession) handleLine(line string) pendingAnswer {
	if line == "ping" {
		return immediateAnswer("pong")
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "bump" || len(words[1]) > maxKeyLength {
		return immediateAnswer("error")
	}
	units, err := strconv.ParseFloat(words[2], 64)
	if err != nil || units > maxCallUnits {
		return immediateAnswer("error")
	}
	lifetimeMillis, err := strconv.ParseInt(words[3], 10, 64)
	if err != nil || lifetimeMillis < 1 {
		return immediateAnswer("error")
	}
	return s.startCall(counterCall{key: words[1], units: units, lifetimeMillis: lifetimeMillis}, formatLineAnswer)
}

// formatLineAnswer formats a total in single precision with seven significant digits, as the line protocol requires.
func formatLineAnswer(total float64, ok bool) string {
	if !ok {
		return "busy\r\n"
	}
	return "ok " + strconv.FormatFloat(float64(float32(total)), 'g', 7, 64) + "\r\n"
}

// startCall queues a call and returns an answer that waits until the call is due, executes it and formats the total.
// format gets false for ok if the counter refuses the call because its queue is too long.
func (s *counterSession) startCall(call counterCall, format func(total float64, ok bool) string) pendingAnswer {
	c := s.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff[s.instance] > 0 { // the call does not reach the counter
		c.emulator.log.CountCounterCall(true)
		return func() string { return "" }
	}
	c.calls[s.instance]++
	c.emulator.log.CountCounterCall(c.hanging > 0)
	answerAt, ok := c.schedule(time.Now())
	if !ok {
		return func() string { return format(0, false) }
	}
	if c.hanging > 0 {
		hangEnded := c.hangEnded
		return func() string {
			if !s.waitForHangEnd(hangEnded) {
				return ""
			}
			return format(c.add(call), true)
		}
	}
	return func() string {
		time.Sleep(time.Until(answerAt))
		return format(c.add(call), true)
	}
}

// waitForHangEnd waits until the CounterHang faults have ended. It returns false if the emulator is closed first. The
// wait also ends when reading has ended, since a counter executes the calls that have arrived even if the instance
// has closed the connection.
func (s *counterSession) waitForHangEnd(hangEnded <-chan struct{}) bool {
	select {
	case <-hangEnded:
		return true
	case <-s.readEnded:
		return true
	case <-s.counter.emulator.closed:
		return false
	}
}
