package emulator

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/scenario"
)

// counterTester calls the counter with one key and compares the answers.
type counterTester struct {
	t *testing.T
	e *Emulator
}

// add makes a call as an instance on a new connection and returns the answer, or "refused" if it cannot connect.
func (c counterTester) add(instance, units int) string {
	c.t.Helper()
	conn, err := dial(c.t, c.e.counter.address(instance))
	if err != nil {
		return "refused"
	}
	defer func() { _ = conn.Close() }()                                    // fails if the counter has closed it first
	answer, _ := conn.roundTrip(fmt.Sprintf("bump a %d 60000\r\n", units)) // "" if no answer comes
	return strings.TrimSpace(answer)
}

func (c counterTester) check(description, got, want string) {
	c.t.Helper()
	if got != want {
		c.t.Errorf("%s: %q, want %q", description, got, want)
	}
}

// withFault calls f while a fault of the given kind is active.
func (c counterTester) withFault(kind scenario.FaultKind, f func()) {
	fault := scenario.Fault{Kind: kind, Delay: 300e6}
	c.e.setFault(fault, 0, faultBegins)
	f()
	c.e.setFault(fault, 0, faultEnds)
}

func TestCounter_FaultsAreVisibleToClients(t *testing.T) {
	e := startEmulator(t)
	c := counterTester{t: t, e: e}
	c.check("no fault", c.add(0, 2), "ok 2")
	c.check("same key, other instance", c.add(1, 3), "ok 5")
	conn, err := dial(t, e.counter.address(0))
	if err != nil {
		t.Fatal(err)
	}
	got, _ := conn.roundTrip("bump a 1\r\n") // an error shows as a truncated answer
	c.check("malformed call", got, "error\r\n")
	got, _ = conn.roundTrip("ping\r\n") // an error shows as a truncated answer
	c.check("valid ping", got, "pong\r\n")
	c.withFault(scenario.CounterRefuse, func() { c.check("refuse", c.add(0, 1), "refused") })
	c.check("back", c.add(0, 0), "ok 5")
	c.withFault(scenario.CounterCut, func() {
		c.check("cut", c.add(0, 1), "")
		c.check("other instance is not cut off", c.add(1, 0), "ok 5")
	})
	c.withFault(scenario.CounterSlow, func() { c.check("slow", c.add(0, 0), "") })
	c.withFault(scenario.CounterHang, func() { c.check("hang", c.add(0, 1), "") })
	time.Sleep(50 * time.Millisecond)
	c.check("call during the hang is added at its end", c.add(0, 0), "ok 6")
	e.setFault(scenario.Fault{Kind: scenario.CounterEmpty}, 0, faultBegins)
	c.check("empty", c.add(0, 1), "ok 1")
}

// Pipelined calls are answered in the order in which they were written.
func TestCounter_AnswersInOrder(t *testing.T) {
	const calls = 500
	e := startEmulator(t)
	c, err := dial(t, e.counter.address(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, strings.Repeat("bump order 1 60000\r\n", calls)); err != nil {
		t.Fatal(err)
	}
	for n := range calls {
		if text, err := c.reader.ReadString('\n'); text != fmt.Sprintf("ok %d\r\n", n+1) {
			t.Fatalf("answer %d: %q, %v", n, text, err)
		}
	}
}
