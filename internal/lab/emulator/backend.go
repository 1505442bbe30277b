package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// backend is a stand-in for a server: a shot takes one of its cores for a time, or waits in a line.
type backend struct {
	e                                        *Emu
	n                                        int
	gate                                     *gate
	mu                                       sync.Mutex
	chance                                   *rand.Rand
	busy                                     int
	line                                     []*job
	started                                  int64 // since the run's start; 0: long ago
	stage                                    policy.EndpointState
	life                                     int
	factor                                   float64
	refuse, hang, reset, garble, fail, drain int
	away                                     int
	closed                                   bool
}

// job is a shot that has come whole.
type job struct {
	conn  *peer
	try   invariants.SubmissionID
	work  time.Duration
	begin chan struct{} // closed when a core is free
}

// peer is a door's connection.
type peer struct {
	net.Conn
	mu   sync.Mutex
	gone bool
}

func (p *peer) left() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone
}

func newBackend(e *Emu, n int) (*backend, error) {
	b := &backend{e: e, n: n, stage: policy.EndpointReady, factor: 1, chance: rand.New(rand.NewPCG(e.s.Seed, 100+uint64(n)))}
	var err error
	b.gate, err = newGate(b.serve)
	return b, err
}

func (b *backend) closeAll() { b.gate.close() }

// serve reads a connection's commands. One is begun once its last byte is there; answers keep their order.
func (b *backend) serve(c net.Conn) {
	p := &peer{Conn: c}
	before := make(chan struct{})
	close(before)
	for r := redcon.NewReader(c); ; {
		cmd, err := r.ReadCommand()
		if err != nil {
			p.mu.Lock()
			p.gone = true
			p.mu.Unlock()
			return
		}
		done := make(chan struct{})
		go func(before, done chan struct{}) {
			defer close(done)
			answer, cut := b.handle(p, cmd.Args)
			<-before
			if answer == "" {
				return
			}
			p.SetWriteDeadline(time.Now().Add(2 * time.Second))
			p.Write([]byte(answer))
			if cut {
				if t, ok := c.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
				p.Close()
			}
		}(before, done)
		before = done
	}
}

// handle gives the answer to a command, and whether the connection breaks behind it; none while it hangs.
func (b *backend) handle(p *peer, args [][]byte) (answer string, cut bool) {
	switch strings.ToUpper(string(args[0])) {
	case "PING":
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.hang > 0 {
			return "", false
		}
		return "+PONG\r\n", false
	case "CLIENT", "SELECT":
		return "+OK\r\n", false
	case "SVC.QUERY", "SVC.SUBMIT":
	default:
		return "-ERR unknown command\r\n", false
	}
	if len(args) < 4 {
		return "-SYNTAX\r\n", false
	}
	id, err := strconv.ParseUint(string(args[2]), 16, 64)
	if err != nil {
		return "-SYNTAX\r\n", false
	}
	units := 1.0
	for _, pair := range strings.Split(string(args[3]), ",") {
		if value, ok := strings.CutPrefix(pair, "units="); ok {
			if units, err = strconv.ParseFloat(value, 64); err != nil {
				return "-SYNTAX\r\n", false
			}
		}
	}
	e, j := b.e, &job{conn: p, try: invariants.SubmissionID(id), begin: make(chan struct{})}
	b.mu.Lock()
	work := b.e.people.WorkNanos(b.chance, units)
	e.log.Observe(invariants.Event{Kind: invariants.AttemptArrived, Submission: j.try, Backend: b.n, StartedNanos: b.started, WorkSeconds: work / 1e9})
	j.work = time.Duration(work * b.factor / b.share())
	life := b.life
	switch {
	case b.hang > 0:
		b.mu.Unlock()
		return "", false
	case b.drain > 0, b.busy >= e.s.Backends.Cores && len(b.line) >= e.s.Backends.Queue:
		b.mu.Unlock()
		e.log.Observe(invariants.Event{Kind: invariants.AttemptRefused, Submission: j.try, Backend: b.n})
		return "-BUSY\r\n", false
	case b.busy < e.s.Backends.Cores:
		b.busy++
		close(j.begin)
	default:
		b.line = append(b.line, j)
	}
	b.mu.Unlock()
	select {
	case <-j.begin:
	case <-e.closed:
		return "", false
	}
	select {
	case <-time.After(j.work):
	case <-e.closed:
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != life {
		return "", false // died under it
	}
	b.busy--
	for len(b.line) > 0 && b.busy < e.s.Backends.Cores {
		next := b.line[0]
		b.line = b.line[1:]
		if !next.conn.left() { // its door gave it up: the work is not begun
			b.busy++
			close(next.begin)
		}
	}
	switch {
	case b.hang > 0:
		return "", false
	case b.reset > 0:
		return "*3\r\n$20\r\nhalf", true
	case b.garble > 0:
		noise := make([]byte, 64)
		for n := range noise {
			noise[n] = byte(b.chance.UintN(256))
		}
		noise[0] = '?'
		return string(noise) + "\r\n", false
	case b.fail > 0:
		return "-ERR failed\r\n", false
	}
	value := fmt.Sprintf("try %x at %d", id, b.n)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value), false
}

// share is the part of its capacity that the backend has by its age.
func (b *backend) share() float64 {
	r := b.e.s.Rules
	age := b.e.log.Now() - b.started
	if b.started == 0 || age >= int64(r.SlowStart) {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(max(age, 0))/float64(r.SlowStart)
}

// die ends the work and the connections of a life.
func (b *backend) die() {
	b.mu.Lock()
	b.life++
	b.busy, b.line = 0, nil
	b.mu.Unlock()
}

func (b *backend) rise() {
	b.mu.Lock()
	b.started, b.stage = b.e.log.Now(), policy.EndpointReady
	b.mu.Unlock()
	if err := b.gate.open(); err == nil {
		b.e.discovery.publish(b)
	}
}

// set begins a fault, or ends it.
func (b *backend) set(f scenario.Fault, on bool) {
	step := -1
	if on {
		step = 1
	}
	count := func(n *int) (first, last bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		*n += step
		return on && *n == 1, !on && *n == 0
	}
	switch f.Kind {
	case scenario.BackendRefuse:
		if first, last := count(&b.refuse); first {
			b.die()
			b.gate.close()
		} else if last {
			b.gate.open()
		}
	case scenario.BackendHang:
		count(&b.hang)
		if !on { // what it held is lost; its connections end
			b.die()
			b.gate.close()
			b.gate.open()
		}
	case scenario.BackendReset:
		count(&b.reset)
	case scenario.BackendGarble:
		count(&b.garble)
	case scenario.BackendError:
		count(&b.fail)
	case scenario.BackendSlow:
		b.mu.Lock()
		if on {
			b.factor *= f.Factor
		} else {
			b.factor /= f.Factor
		}
		b.mu.Unlock()
	case scenario.BackendDrain:
		first, last := count(&b.drain)
		b.mu.Lock()
		if first {
			b.stage = policy.EndpointDraining
		} else if last {
			b.stage = policy.EndpointReady
		}
		b.mu.Unlock()
		b.e.discovery.publish(b)
	case scenario.BackendVanish:
		if on { // its connections stay and say nothing; new ones come up and say nothing
			b.die()
			b.mu.Lock()
			b.hang++
			b.stage = policy.EndpointGone
			b.mu.Unlock()
			b.gate.silence(true)
			b.e.discovery.publish(b)
		} else {
			b.mu.Lock()
			b.hang--
			b.mu.Unlock()
			b.gate.close()
			b.rise()
		}
	case scenario.BackendWithdraw: // it runs on, and comes back as a new one at the same address
		first, last := count(&b.away)
		if !first && !last {
			return
		}
		b.mu.Lock()
		if b.stage = policy.EndpointGone; last {
			b.stage, b.started = policy.EndpointReady, b.e.log.Now()
		}
		b.mu.Unlock()
		b.e.discovery.publish(b)
	case scenario.BackendRestart:
		if on {
			b.die()
			b.gate.close()
		} else {
			b.rise()
		}
	}
}
