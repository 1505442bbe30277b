package emu

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"fawnplank/internal/lab/scenario"
)

// counter is a stand-in for the counter: lines of text, "bump NAME AMOUNT LIFE-MS". Each front door has an address
// of its own there, so that it can be cut off alone; the numbers are common to all.
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
	c := &counter{e: e, numbers: map[string]*number{}, cut: map[int]int{}, calls: make([]int, e.s.Doors.Count),
		resume: make(chan struct{})}
	for n := range e.s.Doors.Count {
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
		c.e.log.Open(quiet)
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
			if _, err := conn.Write([]byte(text + "\r\n")); err != nil {
				conn.Close()
			}
		}
	}()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		answer := c.call(strings.TrimSuffix(lines.Text(), "\r"), door, ended)
		select {
		case out <- answer:
		case <-c.e.closed:
			return
		}
	}
}

// call takes a call, and gives what waits for its answer.
func (c *counter) call(line string, door int, ended chan struct{}) func() string {
	say := func(text string) func() string { return func() string { return text } }
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[door] > 0 { // lost on the way
		c.e.log.Call(true)
		return say("")
	}
	c.calls[door]++
	c.e.log.Call(c.hang > 0)
	now := time.Now()
	when := now
	if c.free.After(now) {
		when = c.free
	}
	if rate := c.e.s.Counter.Rate; rate > 0 {
		if when.Sub(now) > 4*time.Duration(c.e.s.Counter.Timeout) { // its line is full
			return say("busy")
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
		return c.add(words[1], units, life)
	}
}

func (c *counter) add(name string, units float64, life int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.numbers[name]
	if n == nil || now.After(n.until) {
		n = &number{until: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
		c.numbers[name] = n
	}
	n.total += units
	return "ok " + strconv.FormatFloat(float64(float32(n.total)), 'g', 7, 64)
}

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
