package emulator

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/scenario"
)

func queryCommand(id int) string {
	const header = "c=calc,t=despacho,d=900"
	return fmt.Sprintf("*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n",
		1, id, len(header), header)
}

func isResult(answer string) bool { return strings.HasPrefix(answer, "*3\r\n$") }

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

func isRefused(err error) bool { return err != nil && strings.Contains(err.Error(), "refused") }

func TestBackend_FaultsAreVisibleToClients(t *testing.T) {
	const truncatedAnswer = "*3\r\n$20\r\nhalf"
	isGarbled := func(answer string, _ error) bool { return len(answer) > 60 && answer[0] == '?' }
	isAnswered := func(answer string, err error) bool { return isResult(answer) && err == nil }
	for kind, isExpected := range map[scenario.FaultKind]func(answer string, err error) bool{
		"":                       isAnswered,
		scenario.BackendRefuse:   func(_ string, err error) bool { return isRefused(err) },
		scenario.BackendHang:     func(_ string, err error) bool { return isTimeout(err) },
		scenario.BackendSlow:     func(_ string, err error) bool { return isTimeout(err) },
		scenario.BackendReset:    func(answer string, _ error) bool { return answer == truncatedAnswer },
		scenario.BackendGarble:   isGarbled,
		scenario.BackendError:    func(answer string, _ error) bool { return answer == "-ERR failed\r\n" },
		scenario.BackendDrain:    func(answer string, _ error) bool { return answer == "-BUSY\r\n" },
		scenario.BackendVanish:   func(_ string, err error) bool { return isTimeout(err) },
		scenario.BackendRestart:  func(_ string, err error) bool { return isRefused(err) },
		scenario.DiscoveryRefuse: func(answer string, _ error) bool { return isResult(answer) },
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			e := startEmulator(t)
			fault := scenario.Fault{Kind: kind, Factor: 100}
			attempt := func() (string, error) {
				c, err := dial(t, e.backends[0].listener.address)
				if err != nil {
					return "", err
				}
				defer func() { _ = c.Close() }() // fails if the backend has closed the connection
				return c.roundTrip(queryCommand(1))
			}
			e.setFault(fault, 0, faultBegins)
			if answer, err := attempt(); !isExpected(answer, err) {
				t.Errorf("during the fault: answer %q, error %v", answer, err)
			}
			e.setFault(fault, 0, faultEnds)
			time.Sleep(500 * time.Millisecond) // slowed work has ended, and a restarted backend is warming up
			if answer, err := attempt(); !isResult(answer) {
				t.Errorf("after the fault: answer %q, error %v", answer, err)
			}
		})
	}
}

// With one core and a queue of one, a third concurrent attempt is rejected, and the first two are answered.
func TestBackend_RejectsAttemptsBeyondQueue(t *testing.T) {
	e := startEmulator(t)
	e.setFault(scenario.Fault{Kind: scenario.BackendSlow, Factor: 10}, 0, faultBegins)
	answers := make(chan string, 3)
	for n := range 3 {
		c, err := dial(t, e.backends[0].listener.address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			answer, _ := c.roundTrip(queryCommand(n + 1)) // an error shows as a truncated answer
			answers <- answer
		}()
		time.Sleep(10 * time.Millisecond)
	}
	if first := <-answers; first != "-BUSY\r\n" {
		t.Errorf("first answer %q, want -BUSY", first)
	}
	for range 2 {
		if answer := <-answers; !strings.HasPrefix(answer, "*3") {
			t.Errorf("%q", answer)
		}
	}
}
