package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["memory"] = playMemory }

const (
	// uploads clients send 4 MiB each, slowly: together more than the sixth of the memory that clients' values may take.
	uploads      = 10
	uploadBody   = 4<<20 - 4096
	uploadAtOnce = 5 << 19 // written at once; the rest takes uploadSpan
	uploadSpan   = 1700 * time.Millisecond
	// victims clients send a value of 100 KB each, all at once, while the others still write.
	victims      = 24
	victimBody   = 100_000
	victimsAfter = 300 * time.Millisecond
	victimTime   = 2500 * time.Millisecond
	// silenceAfter is when one node of seven falls silent, and silenceFor how long it stays so.
	silenceAfter  = 1500 * time.Millisecond
	silenceFor    = 10 * time.Second
	answerSlack   = 500*time.Millisecond + 50*time.Millisecond
	memoryRounds  = 4
	memoryPauseMs = 4500
)

// unsent returns how many bytes of a connection the other machine has not acknowledged.
func unsent(conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	count := int32(-1)
	_ = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&count)))
	})
	return int(count)
}

// submission is a request with a long value, and what became of it.
type submission struct {
	id       string
	takenAt  time.Time // when all its bytes had arrived at the gateway's machine
	answered time.Duration
	reply    string
}

// submitLong sends a request with a long value: a part at once, and the rest evenly over a span.
func (w *world) submitLong(listen, id string, body, atOnce int, span time.Duration) submission {
	s := submission{id: id}
	c, err := dialClient(listen)
	if err != nil {
		s.reply = "no connection: " + err.Error()
		return s
	}
	defer c.conn.Close()
	fields := fmt.Sprintf("c=calc,t=despacho,d=%d,units=1,spread=1,first=0", victimTime.Milliseconds())
	command := encodeCommand("SVC.SUBMIT", customer, id, fields, strings.Repeat("x", body))
	if _, err := c.conn.Write(command[:min(atOnce, len(command))]); err != nil {
		s.reply = "not written: " + err.Error()
		return s
	}
	const pieces = 50
	rest := command[min(atOnce, len(command)):]
	for n := range pieces {
		piece := rest[len(rest)*n/pieces : len(rest)*(n+1)/pieces]
		if len(piece) == 0 {
			continue
		}
		time.Sleep(span / pieces)
		if _, err := c.conn.Write(piece); err != nil {
			s.reply = "not written: " + err.Error()
			return s
		}
	}
	for unsent(c.conn) > 0 {
		time.Sleep(time.Millisecond)
	}
	s.takenAt = time.Now()
	c.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	reply, err := readReply(c.reader)
	s.answered = time.Since(s.takenAt)
	s.reply = reply
	if err != nil {
		s.reply = "no answer: " + err.Error()
	}
	return s
}

// playMemory: clients with long values write slowly, so that others wait for memory. When the memory is free, a node
// falls silent.
func playMemory(w *world) bool {
	var nodes []*node
	for n := range 7 {
		nodes = append(nodes, w.startNode(fmt.Sprintf("n%d", n+1)))
	}
	listen, mgmt := w.freeAddress(), w.freeAddress()
	shape := usualShape()
	shape.effect = "non_idempotent"
	configuration := w.configFile("a", listen, mgmt, shape.settings(0, 1, 0, 0), nodes...)
	w.startGateway("a", configuration, "", "")
	w.await("the gateway is ready", 15*time.Second, func() bool { return healthy(mgmt) })
	stop := make(chan struct{})
	defer close(stop)
	for range 4 {
		go w.sendSteadily(listen, stop)
	}
	time.Sleep(2 * time.Second)

	lost := 0
	for round := 0; round < memoryRounds && lost == 0; round++ {
		lost += w.playMemoryRound(round, listen, nodes[round%len(nodes)])
		time.Sleep(memoryPauseMs * time.Millisecond)
	}
	w.note("requests without an answer half a second after their time: %d", lost)
	return lost > 0
}

func (w *world) playMemoryRound(round int, listen string, silent *node) (lost int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	if w.trouble {
		for n := range uploads {
			all.Go(func() {
				s := w.submitLong(listen, fmt.Sprintf("upload-%d-%d", round, n), uploadBody, uploadAtOnce, uploadSpan)
				w.note("client: %s answered %.60q, %v after its last byte", s.id, s.reply, s.answered.Round(time.Millisecond))
			})
		}
		all.Go(func() {
			time.Sleep(silenceAfter)
			silent.setSilent(true)
			time.Sleep(silenceFor)
		})
	}
	time.Sleep(victimsAfter)
	var victimsDone sync.WaitGroup
	for n := range victims {
		victimsDone.Go(func() {
			s := w.submitLong(listen, fmt.Sprintf("victim-%d-%d", round, n), victimBody, victimBody*2, 0)
			w.note("client: %s answered %.60q, %v after its last byte; its time was %v", s.id, s.reply,
				s.answered.Round(time.Millisecond), victimTime)
			if !s.takenAt.IsZero() && s.answered > victimTime+answerSlack {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	victimsDone.Wait()
	all.Wait()
	silent.setSilent(false)
	return lost
}
