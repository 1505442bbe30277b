package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a stand-in for a calc node: it answers each request with a value made for it.
type node struct {
	world   *world
	name    string
	address string

	mu     sync.Mutex
	silent bool // takes requests and answers none
	work   time.Duration
	ran    []runOf
}

// runOf is a request that a node began, with the moment of its last byte.
type runOf struct {
	id string
	at time.Time
}

func (w *world) startNode(name string) *node { return w.startNodeAt(name, w.freeAddress()) }

func (w *world) startNodeAt(name, address string) *node {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	n := &node{world: w, name: name, address: address, work: 5 * time.Millisecond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// startSlowNode starts a node that serves each connection with a function of the case. Its connections take little ahead
// of what is read, so that what a node reads slowly arrives slowly.
func (w *world) startSlowNode(name string, serve func(n *node, conn *net.TCPConn)) *node {
	n := &node{world: w, name: name, address: w.freeAddress()}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", n.address)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(n, conn.(*net.TCPConn))
		}
	}()
	return n
}

// setSilent makes the node answer nothing, or answer again.
func (n *node) setSilent(silent bool) {
	n.world.note("node %s: silent %v", n.name, silent)
	n.mu.Lock()
	n.silent = silent
	n.mu.Unlock()
}

func (n *node) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		if !strings.HasPrefix(words[0], "SVC.") || len(words) < 4 {
			fmt.Fprint(conn, "+PONG\r\n")
			continue
		}
		n.mu.Lock()
		n.ran = append(n.ran, runOf{id: words[2], at: time.Now()})
		silent, work := n.silent, n.work
		n.mu.Unlock()
		n.world.note("node %s: begins %s (%s)", n.name, words[2], words[3])
		if silent {
			continue
		}
		time.Sleep(work)
		value := "value-of-" + words[2]
		fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
	}
}

// markOf returns the value of k in the list of names and values.
func markOf(words []string) string {
	for _, field := range strings.Split(words[3], ",") {
		if mark, ok := strings.CutPrefix(field, "k="); ok {
			return mark
		}
	}
	return words[2]
}

// readBody reads a value and drops it. It takes the given time, or as little as possible.
func readBody(reader *bufio.Reader, span time.Duration) error {
	length, err := readLength(reader, '$')
	if err != nil {
		return err
	}
	const pieces = 64
	piece := int64(length/pieces + 1)
	began := time.Now()
	for done, n := int64(0), 1; done < int64(length)+2; n++ {
		take := min(piece, int64(length)+2-done)
		if _, err := io.CopyN(io.Discard, reader, take); err != nil {
			return err
		}
		done += take
		time.Sleep(time.Until(began.Add(span * time.Duration(n) / pieces)))
	}
	return nil
}

// since returns the requests that the node began after a moment.
func (n *node) since(moment time.Time) []runOf {
	n.mu.Lock()
	defer n.mu.Unlock()
	var later []runOf
	for _, r := range n.ran {
		if r.at.After(moment) {
			later = append(later, r)
		}
	}
	return later
}

// query sends one request and returns the reply. Each request has an id of its own.
func (w *world) query(c *client, id, customer string, deadline time.Duration) (string, error) {
	fields := fmt.Sprintf("c=calc,t=despacho,d=%d,units=1,spread=1,first=0", deadline.Milliseconds())
	reply, err := c.call(deadline+time.Second, "SVC.QUERY", customer, id, fields)
	w.note("client: %s answered %q %v", id, reply, err)
	return reply, err
}
