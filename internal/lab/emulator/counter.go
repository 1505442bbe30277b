package emulator

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/lab/scenario"
)

// counter is a stand-in for the counter: lines of text, "bump NAME AMOUNT LIFE-MS", or RESP2 with INCRBYFLOAT and
// PEXPIRE NX where a connection's first byte is that of an array. Each front door has an address of its own there, so that it can be cut off alone; the numbers are common to all.
type counter struct {
	e       *Emu
	gates   []*gate
	mu      sync.Mutex
	numbers map[string]*number
	free    time.Time // when it has time for the next call
	refuse  int
	hang    int
	slow    time.Duration
	cut     map[int]int
	calls   []int // of each door, since last looked at
	resume  chan struct{}
}

type number struct {
	total float64
	until time.Time
}

func newCounter(e *Emu) (*counter, error) {
	c := &counter{e: e, numbers: map[string]*number{}, cut: map[int]int{}, calls: make([]int, e.s.Instances.Count),
		resume: make(chan struct{})}
	for n := range e.s.Instances.Count {
		g, err := newGate(func(conn net.Conn) { c.serve(conn, n) })
		if err != nil {
			return nil, err
		}
		c.gates = append(c.gates, g)
	}
	return c, nil
}

func (c *counter) address(door int) string { return c.gates[door].address }

func (c *counter) close() {
	for _, g := range c.gates {
		g.close()
	}
}

// watch notes each second how many doors call nothing: those that have stopped calling.
func (c *counter) watch() {
	if c.e.s.Counter.Off {
		return
	}
	c.e.after(time.Second, func() {
		c.mu.Lock()
		quiet := 0
		for n := range c.calls {
			if c.calls[n] == 0 {
				quiet++
			}
			c.calls[n] = 0
		}
		c.mu.Unlock()
		c.e.log.SetOpenBreakers(quiet)
		c.watch()
	})
}

// serve answers a connection's calls in their order.
func (c *counter) serve(conn net.Conn, door int) {
	out := make(chan func() string, 10000) // answers, each once its time has come
	ended := make(chan struct{})
	defer close(ended)
	defer close(out)
	go func() {
		for answer := range out {
			text := answer()
			if text == "" {
				continue
			}
			conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			if _, err := conn.Write([]byte(text)); err != nil {
				conn.Close()
			}
		}
	}()
	send := func(answer func() string) bool {
		select {
		case out <- answer:
			return true
		case <-c.e.closed:
			return false
		}
	}
	in := bufio.NewReader(conn)
	if first, err := in.Peek(1); err != nil {
		return
	} else if first[0] == '*' {
		for r := redcon.NewReader(in); ; {
			cmd, err := r.ReadCommand()
			if err != nil || !send(c.command(cmd.Args, door, ended)) {
				return
			}
		}
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() && send(c.call(strings.TrimSuffix(lines.Text(), "\r"), door, ended)) {
	}
}

// command takes a call in RESP.
func (c *counter) command(args [][]byte, door int, ended chan struct{}) func() string {
	say := func(text string) func() string { return func() string { return text + "\r\n" } }
	switch word := strings.ToUpper(string(args[0])); {
	case word == "PING":
		return say("+PONG")
	case word == "INCRBYFLOAT" && len(args) == 3:
		units, err := strconv.ParseFloat(string(args[2]), 64)
		if err != nil {
			return say("-ERR value is not a valid float")
		}
		return c.take(string(args[1]), units, 0, door, ended, func(total float64, ok bool) string {
			if !ok {
				return "-BUSY\r\n"
			}
			return string(redcon.AppendBulkString(nil, strconv.FormatFloat(total, 'f', -1, 64)))
		})
	case word == "PEXPIRE" && len(args) == 4 && strings.EqualFold(string(args[3]), "NX"):
		ms, err := strconv.ParseInt(string(args[2]), 10, 64)
		if err != nil {
			return say("-ERR value is not an integer or out of range")
		}
		name := string(args[1])
		return func() string { // in its turn, behind the call that made the name
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.cut[door] > 0 {
				return ""
			}
			n := c.numbers[name]
			if n == nil || !n.until.IsZero() {
				return ":0\r\n"
			}
			n.until = time.Now().Add(time.Duration(ms) * time.Millisecond)
			return ":1\r\n"
		}
	}
	return say("-ERR unknown command or wrong number of arguments")
}

// call takes a call, and gives what waits for its answer.
func (c *counter) call(line string, door int, ended chan struct{}) func() string {
	say := func(text string) func() string { return func() string { return text + "\r\n" } }
	if line == "ping" {
		return say("pong")
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "bump" || len(words[1]) > 64 {
		return say("error")
	}
	units, err1 := strconv.ParseFloat(words[2], 64)
	life, err2 := strconv.ParseInt(words[3], 10, 64)
	if err1 != nil || err2 != nil || life < 1 || units > 1e9 {
		return say("error")
	}
	return c.take(words[1], units, life, door, ended, func(total float64, ok bool) string {
		if !ok {
			return "busy\r\n"
		}
		return "ok " + strconv.FormatFloat(float64(float32(total)), 'g', 7, 64) + "\r\n"
	})
}

// take takes a call in either form, and gives what waits for its answer; life 0 leaves a new name without an end.
func (c *counter) take(name string, units float64, life int64, door int, ended chan struct{}, form func(float64, bool) string) func() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[door] > 0 { // lost on the way
		c.e.log.CountCounterCall(true)
		return func() string { return "" }
	}
	c.calls[door]++
	c.e.log.CountCounterCall(c.hang > 0)
	now := time.Now()
	when := now
	if c.free.After(now) {
		when = c.free
	}
	if rate := c.e.s.Counter.Rate; rate > 0 {
		if when.Sub(now) > 4*time.Duration(c.e.s.Counter.Timeout) { // its line is full
			return func() string { return form(0, false) }
		}
		c.free = when.Add(time.Duration(1e9 / rate))
	}
	when = when.Add(time.Duration(c.e.s.Counter.Delay) + c.slow)
	hang, resume := c.hang > 0, c.resume
	return func() string {
		if hang { // waits for the end of the fault, and is added then
			select {
			case <-resume:
			case <-c.e.closed:
				return ""
			case <-ended:
				// Its door has closed the connection; a counter reads what came all the same.
			}
		} else {
			time.Sleep(time.Until(when))
		}
		return form(c.add(name, units, life), true)
	}
}

func (c *counter) add(name string, units float64, life int64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.numbers[name]
	if n == nil || !n.until.IsZero() && now.After(n.until) {
		n = &number{}
		if life > 0 {
			n.until = now.Add(time.Duration(min(life, 60000)) * time.Millisecond)
		}
		c.numbers[name] = n
	}
	n.total += units
	return n.total
}

// Sum is what all numbers hold together.
func (e *Emu) Sum() (sum float64) {
	c := e.counter
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.numbers {
		sum += n.total
	}
	return sum
}

// CounterAddress is where a front door finds the counter.
func (e *Emu) CounterAddress(door int) string { return e.counter.address(door) }

func (c *counter) set(f scenario.Fault, door int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step := -1
	if on {
		step = 1
	}
	switch f.Kind {
	case scenario.CounterRefuse:
		if c.refuse += step; on && c.refuse == 1 {
			for _, g := range c.gates {
				g.close()
			}
		} else if !on && c.refuse == 0 {
			for _, g := range c.gates {
				g.open()
			}
		}
	case scenario.CounterHang:
		if c.hang += step; !on && c.hang == 0 {
			close(c.resume)
			c.resume = make(chan struct{})
		}
	case scenario.CounterSlow:
		c.slow += time.Duration(step) * time.Duration(f.Delay)
	case scenario.CounterCut:
		c.cut[door] += step
	case scenario.CounterEmpty:
		clear(c.numbers)
	}
}
