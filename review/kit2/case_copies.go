package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

const (
	copiesBody = 400_000
	copiesWork = 100 * time.Millisecond
	// copiesWindow is the window-ms of the class: for so long the nodes remember a mark. copiesSlack is what the pages
	// allow beyond a time limit: 50 ms on sockets, and 0.15 s in which a front door is held up.
	copiesWindow = 800 * time.Millisecond
	copiesSlack  = 200 * time.Millisecond
)

// readTimes returns how long the nodes take to read the first shot of each long transaction.
func readTimes() []time.Duration {
	var times []time.Duration
	for span := 620 * time.Millisecond; span <= 900*time.Millisecond; span += 40 * time.Millisecond {
		times = append(times, span)
	}
	for span := 1800 * time.Millisecond; span <= 2200*time.Millisecond; span += 100 * time.Millisecond {
		times = append(times, span)
	}
	return times
}

// outShot is a shot that is out: it has arrived whole, and its answer is not written.
type outShot struct {
	node string
	at   time.Time
}

// copies watches the shots of a few nodes.
type copies struct {
	world *world

	mu    sync.Mutex
	shots map[string]int             // shots that began to arrive, by id
	out   map[string]map[int]outShot // shots that are out, by id and number
	span  time.Duration              // how long the first shot of a long request is read
	twice int                        // shots that arrived whole while another of their transaction was out
	seen  map[string]time.Time       // when the effect of a mark last happened
	runs  map[string]int             // how often the effect of a mark happened
}

func (g *copies) serve(n *node, conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		count, err := readLength(reader, '*')
		if err != nil {
			return
		}
		var words []string
		for range min(count, 4) {
			word, err := readBulk(reader)
			if err != nil {
				return
			}
			words = append(words, word)
		}
		id := markOf(words)
		long := count > 4
		g.mu.Lock()
		g.shots[id]++
		shot, span := g.shots[id], g.span
		g.mu.Unlock()
		if long {
			if shot > 1 || !g.world.trouble {
				span = 0
			}
			if err := readBody(reader, span); err != nil {
				g.world.note("node %s: shot %d of %s breaks off: %v", n.name, shot, id, err)
				return
			}
		}
		g.begin(n, id, shot, long)
		time.Sleep(copiesWork)
		value := "value-of-" + id
		_, err = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		g.mu.Lock()
		delete(g.out[id], shot)
		g.mu.Unlock()
		if long {
			g.world.note("node %s: shot %d of %s is answered %v", n.name, shot, id, err)
		}
	}
}

func (g *copies) begin(n *node, id string, shot int, long bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for number, other := range g.out[id] {
		g.twice++
		g.world.note("TWO SHOTS OUT: shot %d of %s arrives whole at %s while shot %d is out at %s since %v", shot, id, n.name,
			number, other.node, time.Since(other.at).Round(time.Millisecond))
	}
	if g.out[id] == nil {
		g.out[id] = map[int]outShot{}
	}
	g.out[id][shot] = outShot{node: n.name, at: time.Now()}
	if last, found := g.seen[id]; !found || time.Since(last) > copiesWindow+copiesSlack {
		g.seen[id] = time.Now()
		g.runs[id]++
	}
	if long {
		g.world.note("node %s: shot %d of %s is whole, its effect has happened %d times", n.name, shot, id, g.runs[id])
	}
}

// playCopies: a node reads the long value of a numbered transaction slowly. The settings forbid two shots at once, and the
// nodes remember a mark for a while.
func playCopies(w *world) bool {
	g := &copies{world: w, shots: map[string]int{}, out: map[string]map[int]outShot{}, seen: map[string]time.Time{},
		runs: map[string]int{}}
	var nodes []*node
	for n := range 4 {
		nodes = append(nodes, w.startSlowNode(fmt.Sprintf("n%d", n+1), g.serve))
	}
	listen, mgmt := w.freeAddress(), w.freeAddress()
	shape := shape{goalMillis: 1500, deadlineMillis: 3000, drainGraceMillis: 1000, effect: "idempotency_key", cancelling: true}
	settings := shape.settings(0, 1, 0, 0)
	class := settings["lanes"].([]any)[0].(map[string]any)
	class["group"] = "all"
	class["window-ms"] = copiesWindow.Milliseconds()
	configuration := w.configFile("a", listen, mgmt, settings, nodes...)
	w.startGateway("a", configuration, "", "")
	w.await("the gateway is ready", 15*time.Second, func() bool { return healthy(mgmt) })
	c, err := dialClient(listen)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	send := func(id, body string) string {
		words := []string{"SVC.SUBMIT", customer, id, "c=calc,t=despacho,d=3000,units=1,spread=1,first=0,k=" + id}
		if body != "" {
			words = append(words, body)
		}
		reply, err := c.call(4*time.Second, words...)
		if err != nil {
			reply = "no answer: " + err.Error()
		}
		return reply
	}
	body := strings.Repeat("x", copiesBody)
	for number, span := range readTimes() {
		for short := range 8 {
			id := fmt.Sprintf("short-%d-%d", number, short)
			w.note("client: %s answered %q", id, send(id, ""))
		}
		g.mu.Lock()
		g.span = span
		g.mu.Unlock()
		id := fmt.Sprintf("long-%d", number)
		w.note("client: %s (a node takes %v to read its first shot) answered %.60q", id, span, send(id, body))
		time.Sleep(span)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	effects := 0
	for id, count := range g.runs {
		if count > 1 {
			w.note("the effect of %s happened %d times", id, count)
			effects++
		}
	}
	w.note("transactions whose effect happened twice: %d of %d", effects, len(g.runs))
	w.note("shots that arrived whole while another of their transaction was out: %d", g.twice)
	return g.twice > 0 || effects > 0
}
