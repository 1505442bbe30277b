package frontend

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

func TestRequest_ForwardedWithOnlyDeadlineRewritten(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	c.send(queryCommand("9b1f03aa5c7e2d41", lookupFields+",r=1"))
	attempt := h.nextAttempt()
	deadline, _ := strconv.Atoi(attempt.deadline())
	if deadline < 500 || deadline > 900 {
		t.Errorf("the backend received a deadline of %d ms, want 500 to 900", deadline)
	}
	want := queryCommand("9b1f03aa5c7e2d41", strings.Replace(lookupFields, "900", strconv.Itoa(deadline), 1)+",r=1")
	if attempt.raw != want {
		t.Errorf("the backend received %q, want %q", attempt.raw, want)
	}
	attempt.respond("*3\r\n$5\r\nvalue\r\n$7\r\nused=12\r\n$-1\r\n")
	c.expect("$5\r\nvalue\r\n")
}

// A body may contain any bytes, and is forwarded unchanged together with its idempotency key.
func TestRequest_BodyForwardedUnchanged(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	body := "\x00\r\n*1\r\n$4\r\nPING\r\n" + strings.Repeat("\xff", 60000)
	fields := "c=pay,t=team,d=900,k=d72e33dc49655fc9,units=1"
	c.send(respCommand("SVC.SUBMIT", testTenant, "9b1f03aa5c7e2d41", fields, body))
	attempt := h.nextAttempt()
	fields = strings.Replace(fields, "900", attempt.deadline(), 1)
	if attempt.raw != respCommand("SVC.SUBMIT", testTenant, "9b1f03aa5c7e2d41", fields, body) {
		t.Errorf("%.150q", attempt.raw)
	}
	attempt.respond("*3\r\n$2\r\n\r\n\r\n$6\r\ncost=1\r\n$-1\r\n")
	c.expect("$2\r\n\r\n\r\n")
}

// The id of an open request is not accepted on any connection. It can be used again once that request is answered.
func TestRequest_DuplicateIDAnsweredWithError(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c, attempt := h.openRequest("7")
	other := h.dial()
	other.send(queryCommand("7", lookupFields))
	other.expectLine("-ERR id .+")
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
	other.send(queryCommand("7", lookupFields))
	h.nextAttempt().respond(okBackendResponse)
	other.expect(okClientResponse)
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	if open := len(h.server.requestIDs.open); open > 0 {
		t.Errorf("%d ids are still claimed, want 0", open)
	}
}

func TestRequest_RejectionHasRetryAfter(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	c.send(queryCommand("1", fieldsWithPlan("one")))
	attempt := h.nextAttempt()
	other := h.dial()
	other.send(queryCommand("2", fieldsWithPlan("one")))
	other.expectLine("-BUSY [0-9]+")
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
}

// A request whose backend does not respond is answered by its deadline.
func TestRequest_SilentBackendAnsweredByDeadline(t *testing.T) {
	for class, want := range map[string]string{"lookup": "-BUSY( [0-9]+)?", "pay": "-ERR .+"} {
		h := newHarness(t, harnessOptions{})
		c := h.dial()
		start := time.Now()
		c.send(queryCommand("1", strings.Replace(fieldsWithClass(class), "900", "600", 1)))
		c.expectLine(want)
		if elapsed := time.Since(start); elapsed > 900*time.Millisecond { // 600 ms and a margin for a busy machine
			t.Errorf("answered after %v", elapsed)
		}
	}
}

// Two 4 MiB values at once, which arrive in chunks of many sizes and over a longer time than a command may take without
// progress, are forwarded completely within the memory budget, as are their 4 MiB responses. Afterwards the whole
// budget is available again.
func TestRequest_LargeValuesInChunks(t *testing.T) {
	const memoryBudget = 10 << 20 // two large commands at a time
	const clients = 2
	value := strings.Repeat("v", 4<<20)
	h := newHarness(t, harnessOptions{
		server:    Options{Budget: membudget.New(memoryBudget)},
		onAttempt: func(a receivedAttempt) { a.respond(bulkBackendResponse(value)) },
	})
	body := strings.Repeat("b", 4<<20)
	results := make(chan error, clients)
	for n := range clients {
		c := h.dial()
		id := "9b1f03aa5c7e2d4" + strconv.Itoa(n)
		command := respCommand("SVC.SUBMIT", testTenant, id, "c=lookup,t=team,d=1900", body)
		go func() {
			results <- errors.Join(sendInChunks(c, command, 1+n*7), expectResponse(c, bulkClientResponse(value)))
		}()
	}
	for range clients {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if _, ok := h.server.memoryBudget.Acquire(memoryBudget, time.Now().Add(time.Second)); !ok {
		t.Error("a part of the budget was not released")
	}
}

// sendInChunks sends a command in chunks of many sizes, with a pause after each MiB. The pauses total 2.4 s.
func sendInChunks(c *testClient, command string, chunkSize int) error {
	for offset, pauseOffset := 0, 1<<20; offset < len(command); {
		end := min(offset+chunkSize, len(command))
		if err := c.trySend(command[offset:end]); err != nil {
			return err
		}
		if offset+chunkSize >= pauseOffset {
			time.Sleep(600 * time.Millisecond)
			pauseOffset += 1 << 20
		}
		offset += chunkSize
		chunkSize = chunkSize*3%200_003 + 1
	}
	return nil
}

func expectResponse(c *testClient, want string) error {
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.reader, got); err != nil {
		return err
	}
	if string(got) != want {
		return fmt.Errorf("received %.40q", got)
	}
	return nil
}

// Each response is counted for its class when it is sent, and the number of open requests returns to 0.
func TestServer_CountsResponses(t *testing.T) {
	registry := metrics.New([]string{"lookup", "pay"})
	h := newHarness(t, harnessOptions{server: Options{Metrics: registry}})
	c, attempt := h.openRequest("1")
	attempt.respond(okBackendResponse)
	c.expect(okClientResponse)
	c.send(queryCommand("2", "c=pay,t=team,d=-1"))
	c.expectLine(`-ERR .*`)
	var text strings.Builder
	if err := registry.Write(&text); err != nil {
		t.Error(err)
	}
	for _, want := range []string{
		`gw_success{type="lookup"} 1`, `gw_error{type="pay"} 1`, "gw_concurrent 0",
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}

// A class that a reload adds is accepted immediately after the reload, under its own settings, but not before it. A
// class that the reload removes is no longer accepted.
func TestServer_UpdateSettingsAddsClass(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	reportFields := "c=report,t=team,d=900"
	c.send(queryCommand("1", reportFields))
	c.expectLine(`-ERR .*`)
	updated := *h.server.config.Load()
	updated.Settings.Classes = append(append([]policy.ClassSettings(nil), testSettings.Classes...),
		policy.ClassSettings{LatencyObjective: 1e9, Deadline: 2e9})
	updated.Classes = map[string]policy.ClassID{"lookup": 0, "report": 2}
	h.dispatcher.UpdateSettings(updated.Settings)
	h.server.UpdateSettings(&updated)
	c.send(queryCommand("2", reportFields))
	h.nextAttempt().respond(okBackendResponse)
	c.expect(okClientResponse)
	c.send(queryCommand("3", "c=pay,t=team,d=900")) // a class that the reload removed
	c.expectLine(`-ERR .*`)
}

// The deadline that is forwarded with a request excludes the pauses after invalid commands for which the request
// waited.
func TestServer_PauseReducesForwardedDeadline(t *testing.T) {
	const invalidCommands = 8
	h := newHarness(t, harnessOptions{})
	client := h.dial()
	client.send(strings.Repeat(respCommand("NONE"), invalidCommands) + queryCommand("1", lookupFields))
	attempt := h.nextAttempt()
	milliseconds, err := strconv.Atoi(attempt.deadline())
	if err != nil {
		t.Fatal(err)
	}
	pauses := invalidCommandPauseStep * invalidCommands * (invalidCommands + 1) / 2
	if maxRemaining := 900*time.Millisecond - pauses; time.Duration(milliseconds)*time.Millisecond > maxRemaining {
		t.Errorf("the backend received a deadline of %d ms, but the client waits for %v at most", milliseconds, maxRemaining)
	}
	attempt.respond(okBackendResponse)
}
