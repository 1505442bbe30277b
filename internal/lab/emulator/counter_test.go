package emulator

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/scenario"
)

// counterTester adds to one key of the counter and compares the answers.
type counterTester struct {
	t *testing.T
	e *Emulator
}

// add returns the answer to an instance's call on a connection of its own; "refused" where there is none.
func (c counterTester) add(instance, units int) string {
	c.t.Helper()
	conn, err := dial(c.t, c.e.counter.address(instance))
	if err != nil {
		return "refused"
	}
	defer func() { _ = conn.Close() }()                                    // the counter may have ended it
	answer, _ := conn.roundTrip(fmt.Sprintf("bump a %d 60000\r\n", units)) // no answer is one that tests want
	return strings.TrimSpace(answer)
}

func (c counterTester) check(what, got, want string) {
	c.t.Helper()
	if got != want {
		c.t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// during calls f while a fault is active.
func (c counterTester) during(kind scenario.FaultKind, f func()) {
	fault := scenario.Fault{Kind: kind, Delay: 300e6}
	c.e.setFault(fault, 0, faultBegins)
	f()
	c.e.setFault(fault, 0, faultEnds)
}

func TestCounter_FaultsAreSeenByClients(t *testing.T) {
	e := start(t)
	c := counterTester{t: t, e: e}
	c.check("no fault", c.add(0, 2), "ok 2")
	c.check("another instance, the same key", c.add(1, 3), "ok 5")
	conn, err := dial(t, e.counter.address(0))
	if err != nil {
		t.Fatal(err)
	}
	got, _ := conn.roundTrip("bump a 1\r\n") // an error shows as an answer that is not whole
	c.check("a call not in form", got, "error\r\n")
	got, _ = conn.roundTrip("ping\r\n") // as above
	c.check("a ping", got, "pong\r\n")
	c.during(scenario.CounterRefuse, func() { c.check("refuse", c.add(0, 1), "refused") })
	c.check("back", c.add(0, 0), "ok 5")
	c.during(scenario.CounterCut, func() {
		c.check("cut", c.add(0, 1), "")
		c.check("the other instance is not", c.add(1, 0), "ok 5")
	})
	c.during(scenario.CounterSlow, func() { c.check("slow", c.add(0, 0), "") })
	c.during(scenario.CounterHang, func() { c.check("hang", c.add(0, 1), "") })
	time.Sleep(50 * time.Millisecond)
	c.check("the call that hung was added", c.add(0, 0), "ok 6")
	e.setFault(scenario.Fault{Kind: scenario.CounterEmpty}, 0, faultBegins)
	c.check("empty", c.add(0, 1), "ok 1")
}

// Calls written one behind another are answered in their order, also by a slow counter.
func TestCounter_AnswersInOrder(t *testing.T) {
	const calls = 500
	e := start(t)
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
