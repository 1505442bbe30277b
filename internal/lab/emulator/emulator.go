// Package emu is the laboratory's stand-ins on loopback: backends, the counter and discovery, in the platform's
// protocol (RESP2; lines of text; HTTP), each with the faults that a scenario asks for. They note what they see.
// Every wait in them is bounded or ends with Close, and they listen on 127.0.0.1 alone.
package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/workload"
)

// Emu is the outside of the front doors.
type Emu struct {
	s         *scenario.Scenario
	log       *results.Log
	people    *workload.Generator
	backends  []*backend
	counter   *counter
	discovery *discovery
	mu        sync.Mutex
	timers    []*time.Timer
	closed    chan struct{}
	once      sync.Once
}

// Start starts the stand-ins. Faults begin with Play.
func Start(s *scenario.Scenario, log *results.Log) (*Emu, error) {
	e := &Emu{s: s, log: log, people: workload.New(s), closed: make(chan struct{})}
	for n := range s.Backends.Count {
		b, err := newBackend(e, n)
		if err != nil {
			e.Close()
			return nil, err
		}
		e.backends = append(e.backends, b)
	}
	var err error
	if e.counter, err = newCounter(e); err == nil {
		e.discovery, err = newDiscovery(e)
	}
	if err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Close ends all stand-ins and their connections.
func (e *Emu) Close() {
	e.once.Do(func() {
		close(e.closed)
		e.mu.Lock()
		for _, t := range e.timers {
			t.Stop()
		}
		e.mu.Unlock()
		for _, b := range e.backends {
			b.closeAll()
		}
		if e.counter != nil {
			e.counter.close()
		}
		if e.discovery != nil {
			e.discovery.close()
		}
	})
}

// after does what later, unless the stand-ins are closed by then.
func (e *Emu) after(d time.Duration, what func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timers = append(e.timers, time.AfterFunc(d, func() {
		select {
		case <-e.closed:
		default:
			what()
		}
	}))
}

// Config is the configuration file of front door n, which is to listen at the address given.
func (e *Emu) Config(n int, listen string) ([]byte, error) {
	c := map[string]any{"name": fmt.Sprintf("d%d", n), "listen": listen, "discovery": e.discovery.address(n),
		"seed":   fmt.Sprintf("%016x", e.s.Seed<<8+uint64(n)),
		"limits": map[string]any{"memory_mb": e.s.Instances.MemoryMB, "sockets": e.s.Instances.Sockets},
		"known":  e.discovery.whole(-1), "settings": e.s.GatewaySettings(n)}
	if !e.s.Counter.Off {
		c["counter"] = e.counter.address(n)
	}
	return json.MarshalIndent(c, "", " ")
}

// Play lets the scenario's faults begin and end at their times from now. Those of front doors are the caller's.
func (e *Emu) Play() {
	e.counter.watch()
	for _, f := range e.s.Faults {
		targets := e.s.Targets(f)
		if len(targets) == 0 {
			targets = []int{0}
		}
		for i, n := range targets {
			at := time.Duration(f.At + scenario.Span(i)*f.Stagger)
			e.after(at, func() { e.set(f, n, true) })
			if f.Duration > 0 {
				e.after(at+time.Duration(f.Duration), func() { e.set(f, n, false) })
			}
		}
	}
}

// set begins a fault, or ends it.
func (e *Emu) set(f scenario.Fault, n int, on bool) {
	step := -1
	if on {
		step = 1
	}
	switch f.Kind {
	case scenario.BackendRefuse, scenario.BackendHang, scenario.BackendSlow, scenario.BackendReset, scenario.BackendGarble,
		scenario.BackendError, scenario.BackendDrain, scenario.BackendVanish, scenario.BackendRestart, scenario.BackendWithdraw:
		e.backends[n].set(f, on)
	case scenario.CounterRefuse, scenario.CounterHang, scenario.CounterSlow, scenario.CounterEmpty, scenario.CounterCut:
		e.counter.set(f, n, on)
	case scenario.DiscoveryStale:
		e.discovery.hold(step)
	case scenario.DiscoveryLate:
		e.discovery.delay(time.Duration(f.Delay) * time.Duration(step))
	case scenario.DiscoveryRefuse:
		e.discovery.refuse(on)
	}
}

// gate is a listener that can be shut and opened again at the same address. Shutting ends its connections, as
// the death of a process does.
type gate struct {
	address string
	serve   func(net.Conn)
	mu      sync.Mutex
	l       net.Listener
	conns   map[net.Conn]bool
	pause   chan struct{} // connections come up and nobody takes them; nil: taken at once
}

func newGate(serve func(net.Conn)) (*gate, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String(), serve: serve, conns: map[net.Conn]bool{}}
	g.run(l)
	return g, nil
}

func (g *gate) run(l net.Listener) {
	g.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // shut
			}
			g.mu.Lock()
			if g.l != l {
				g.mu.Unlock()
				c.Close()
				continue
			}
			g.conns[c] = true
			wait := g.pause
			g.mu.Unlock()
			go func() {
				if wait != nil {
					<-wait
				}
				g.serve(c)
				g.mu.Lock()
				delete(g.conns, c)
				g.mu.Unlock()
				c.Close()
			}()
		}
	}()
}

// close refuses connections from now on, and resets those that are up.
func (g *gate) close() {
	g.mu.Lock()
	l, all := g.l, g.conns
	g.l, g.conns = nil, map[net.Conn]bool{}
	g.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for c := range all {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	g.silence(false)
}

// silence lets connections come up with nobody to serve them, or ends that.
func (g *gate) silence(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause != nil {
		close(g.pause)
		g.pause = nil
	}
	if on {
		g.pause = make(chan struct{})
	}
}

// open listens again at the old address; another's connection may still hold it for a moment.
func (g *gate) open() error {
	for n := 0; ; n++ {
		l, err := net.Listen("tcp4", g.address)
		if err == nil {
			g.mu.Lock()
			g.run(l)
			g.mu.Unlock()
			return nil
		}
		if n == 50 {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
