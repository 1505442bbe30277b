// Package load asks front doors for transactions over sockets, in an open loop: each is due at its planned time,
// whether or not the ones before were answered, and its latency counts from then, so that a door that stands
// still is not spared the tries it would have had (coordinated omission). Number, time and connections are
// bounded, and so is each wait.
package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
)

// Tool is the clients of a scenario.
type Tool struct {
	s      *scenario.Scenario
	log    *results.Log
	people *workload.Generator
	mu     sync.Mutex // guards people's chance, idle, conns, last and lag
	doors  []string
	idle   [][]*conn
	conns  int
	last   invariants.SubmissionID
	lag    *hdrhistogram.Histogram
	out    sync.WaitGroup
}

// New makes the clients; doors are the front doors' addresses.
func New(s *scenario.Scenario, log *results.Log, doors []string) *Tool {
	return &Tool{s: s, log: log, people: workload.New(s), doors: doors, idle: make([][]*conn, len(doors)),
		lag: hdrhistogram.New(1, 60e6, 3)}
}

// Run asks for everything, and returns once all is answered or its time is up.
func (t *Tool) Run(stop <-chan struct{}) {
	start := time.Now()
	for {
		a, ok := t.people.Next()
		if !ok {
			break
		}
		if wait := time.Until(start.Add(time.Duration(a.AtNanos))); wait > 0 {
			select {
			case <-time.After(wait):
			case <-stop:
				t.out.Wait()
				return
			}
		}
		t.out.Add(1)
		go func() {
			defer t.out.Done()
			t.transaction(a, start.Add(time.Duration(a.AtNanos)))
		}()
	}
	t.out.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, all := range t.idle {
		for _, c := range all {
			c.Close()
		}
	}
}

// Lag is how much later than due tries were written, in milliseconds: the tool's own share of the latencies.
func (t *Tool) Lag() (p50, p99 float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.lag.ValueAtQuantile(50)) / 1e3, float64(t.lag.ValueAtQuantile(99)) / 1e3
}

type conn struct {
	net.Conn
	r *bufio.Reader
}

var errFull = errors.New("no connection is left")

// take gives a connection to a door: one at rest, the latest used first, or a new one.
func (t *Tool) take(door int, fresh bool) (c *conn, used bool, err error) {
	t.mu.Lock()
	if n := len(t.idle[door]); n > 0 && !fresh {
		c = t.idle[door][n-1]
		t.idle[door] = t.idle[door][:n-1]
		t.mu.Unlock()
		return c, true, nil
	}
	if t.conns >= t.s.Load.Connections {
		t.mu.Unlock()
		return nil, false, errFull
	}
	t.conns++
	t.mu.Unlock()
	raw, err := net.DialTimeout("tcp", t.doors[door], 500*time.Millisecond)
	if err != nil {
		t.drop(nil)
		return nil, false, err
	}
	return &conn{raw, bufio.NewReader(raw)}, false, nil
}

func (t *Tool) drop(c *conn) {
	if c != nil {
		c.Close()
	}
	t.mu.Lock()
	t.conns--
	t.mu.Unlock()
}

func (t *Tool) rest(door int, c *conn) {
	t.mu.Lock()
	t.idle[door] = append(t.idle[door], c)
	t.mu.Unlock()
}

// transaction tries until it is answered for good, as clients do: after a dismissal, and where its door died.
func (t *Tool) transaction(a workload.Request, due time.Time) {
	limit := due.Add(time.Duration(a.DeadlineNanos - a.AtNanos))
	for again := 0; ; again++ {
		t.mu.Lock()
		t.last++
		id, door := t.last, t.people.Instance(a)
		t.mu.Unlock()
		kind, back, taken := t.try(a, id, door, due, limit, again)
		if !taken {
			if again < t.s.Load.Retries+3 && time.Until(limit) > 20*time.Millisecond {
				time.Sleep(5 * time.Millisecond) // refused; another door may take it
				continue
			}
			t.log.CountNotSent()
			return
		}
		if kind != invariants.Rejected && kind != invariants.Abandoned || again >= t.s.Load.Retries {
			return
		}
		t.mu.Lock()
		wait := time.Duration(t.people.RetryDelay(again, back))
		t.mu.Unlock()
		if kind == invariants.Abandoned && t.s.Classes[a.Class].Idempotency != "reissuable" || time.Until(limit) <= wait {
			return
		}
		time.Sleep(wait)
		due = time.Now() // a client's repeat is due when the client says so
	}
}

// try asks once. taken is false where no connection came up: then nobody has heard of it.
func (t *Tool) try(a workload.Request, id invariants.SubmissionID, door int, due, limit time.Time, again int) (kind invariants.Kind, back int64, taken bool) {
	asked := false
	for fresh := false; ; fresh = true {
		c, used, err := t.take(door, fresh)
		if err != nil {
			if asked { // it was written to a connection that ended, and the door is gone
				return t.lost(id, door), 0, true
			}
			return 0, 0, false
		}
		left := time.Until(limit)
		life := t.log.Incarnation(door)
		if !asked {
			asked = true
			lag := time.Since(due)
			t.mu.Lock()
			t.lag.RecordValue(max(lag.Microseconds(), 1))
			t.mu.Unlock()
			t.log.Observe(invariants.Event{Kind: invariants.Submitted, Submission: id, Instance: door, Tenant: a.Tenant, Class: a.Class, Plan: a.Plan,
				Units: a.Units, DeadlineNanos: int64(left), DueNanos: int64(due.Sub(t.log.Start())), IsRetry: again > 0})
		}
		c.SetDeadline(limit.Add(time.Duration(t.s.Rules.Grace) + 100*time.Millisecond))
		_, err = io.WriteString(c, t.command(a, id, left))
		var answer string
		if err == nil {
			answer, err = read(c.r)
		}
		if err == nil {
			t.rest(door, c)
			kind, back = meaning(answer)
			t.log.Observe(invariants.Event{Kind: kind, Submission: id, Instance: door})
			return kind, back, true
		}
		t.drop(c)
		var late net.Error
		switch {
		case errors.As(err, &late) && late.Timeout():
			return invariants.Aborted, 0, true // no answer: the rules will say so
		case t.log.Incarnation(door) != life:
			return t.lost(id, door), 0, true
		case used && !fresh: // a door may close a connection between transactions
		default:
			time.Sleep(20 * time.Millisecond) // a door that is just being killed is noted as dead
			if t.log.Incarnation(door) != life {
				return t.lost(id, door), 0, true
			}
			return invariants.Aborted, 0, true // its connection was ended under it: the rules will say so
		}
	}
}

func (t *Tool) lost(id invariants.SubmissionID, door int) invariants.Kind {
	t.log.Observe(invariants.Event{Kind: invariants.Abandoned, Submission: id, Instance: door})
	return invariants.Abandoned
}

// command is a try in the protocol's form.
func (t *Tool) command(a workload.Request, id invariants.SubmissionID, left time.Duration) string {
	verb := "SVC.SUBMIT"
	if t.s.Classes[a.Class].Idempotency == "reissuable" {
		verb = "SVC.QUERY"
	}
	head := fmt.Sprintf("c=%s,t=%s,d=%d,units=%s,spread=%d,first=%d", t.s.Classes[a.Class].Name, t.s.Plans[a.Plan].Name,
		max(left.Milliseconds(), 1), strconv.FormatFloat(a.Units, 'f', -1, 64), t.s.Load.EntryPoints, t.people.Tenants[a.Tenant].FirstInstance)
	key := fmt.Sprintf("%016x", uint64(id))
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$16\r\n%016x\r\n$16\r\n%s\r\n$%d\r\n%s\r\n", len(verb), verb, a.Tenant+1, key, len(head), head)
}

// read reads one whole answer of RESP2: the line of a simple one, or a bulk string with its length.
func read(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line[0] != '$' {
		return strings.TrimRight(line, "\r\n"), nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil || n < 0 || n > 8<<20 {
		return strings.TrimRight(line, "\r\n"), nil
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(r, value); err != nil {
		return "", err
	}
	return "$" + string(value[:n]), nil
}

func meaning(answer string) (kind invariants.Kind, back int64) {
	words := strings.Fields(answer)
	switch {
	case strings.HasPrefix(answer, "$") && answer != "$-1":
		return invariants.Succeeded, 0
	case len(words) > 0 && words[0] == "-BUSY":
		if len(words) > 1 {
			ms, _ := strconv.ParseInt(words[1], 10, 64)
			back = ms * 1e6
		}
		return invariants.Rejected, back
	}
	return invariants.Aborted, 0
}
