package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// soakCounter is a counter service with faults: it closes connections with or before an answer, does not answer, or
// sends an invalid answer.
type soakCounter struct {
	mu     sync.Mutex
	totals map[string]float64
}

// startSoakCounter starts a counter whose faults are drawn from a seed.
func startSoakCounter(t *testing.T, seed uint64) net.Addr {
	t.Helper()
	counter := &soakCounter{totals: map[string]float64{}}
	listener := testutil.Listen(t)
	go func() {
		for n := uint64(0); ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go counter.serve(conn, rand.New(rand.NewPCG(seed, n)))
		}
	}()
	return listener.Addr()
}

// serve answers "bump KEY UNITS LIFETIME" lines.
func (s *soakCounter) serve(conn net.Conn, random *rand.Rand) {
	defer closeIgnoringError(conn)
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 3 {
			return
		}
		draw := random.IntN(40)
		switch draw {
		case 0:
			return // closes the connection before the answer
		case 1:
			send(conn, "ok much\r\n")
			return
		case 2:
			time.Sleep(2 * time.Second)
			return
		case 3:
			send(conn, "busy\r\n")
			continue
		}
		send(conn, fmt.Sprintf("ok %g\r\n", s.addUnits(words[1], words[2])))
		if draw < 10 {
			return // closes the connection with the answer
		}
	}
}

// addUnits adds units to the total of a key, and returns the new total.
func (s *soakCounter) addUnits(key, units string) float64 {
	added, err := strconv.ParseFloat(units, 64)
	if err != nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals[key] += added
	return s.totals[key]
}

// enableQuotas configures a counter, and a quota of the plan that the clients do not use up.
func (g *drainGateway) enableQuotas(t *testing.T, counter net.Addr) {
	t.Helper()
	g.editConfiguration(t, strings.NewReplacer(
		`"seed"`, fmt.Sprintf(`"counter":%q,"seed"`, counter),
		`"permissions"`, `"family-info":{"may-count":true,"counter-timeout-ms":80},"permissions"`,
		`"quota-rate":0,"peak-units":0`, `"quota-rate":5000,"peak-units":5000`,
	))
}

// addPlan adds a plan that no client uses to the configuration file. It takes effect with the next reload.
func (g *drainGateway) addPlan(t *testing.T, name string) {
	t.Helper()
	g.editConfiguration(t, strings.NewReplacer(
		`"tariffs":[`, fmt.Sprintf(`"tariffs":[{"name":%q,"quota-rate":1,"peak-units":1},`, name)))
}

func (g *drainGateway) editConfiguration(t *testing.T, edit *strings.Replacer) {
	t.Helper()
	text, err := os.ReadFile(g.file)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, g.file, edit.Replace(string(text)))
}
