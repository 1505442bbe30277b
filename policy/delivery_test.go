package policy

import (
	"strings"
	"testing"
	"time"
)

// deliver reports progress of a request's attempt every 50 ms, up to the given fraction of its command.
func (h *harness) deliver(request *clientRequest, attempt int, duration time.Duration, fraction float64) {
	const steps = 50 * time.Millisecond
	for elapsed := steps; elapsed <= duration; elapsed += steps {
		h.advance(steps)
		if !request.attempts[attempt].inFlight {
			return
		}
		delivered := fraction * float64(elapsed) / float64(duration)
		request.handle.HandleDelivery(h.now, Delivery{Attempt: AttemptID(attempt), Fraction: delivered})
	}
}

// Guards against an effect that happens twice: an attempt was canceled as stalled and sent again while its backend
// still read the command, or had only just received its end.
func TestDelivery_TimeOnTheWayIsNoStall(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.deliver(request, 0, 600*time.Millisecond, 1)
	h.advance(250 * time.Millisecond) // since the command has arrived, less than the attempt timeout
	if log := strings.Join(h.log, "\n"); strings.Contains(log, "cancel") {
		t.Error("an attempt was canceled while its command was on the way")
	}
	if h.advance(400 * time.Millisecond); h.engine.inFlightNotOverdue != 0 {
		t.Error("an attempt whose command has arrived never counts as overdue")
	}
}

// TestDelivery_LateCommandIsReplacedOnce checks that a command that will arrive too late is sent to another backend
// while there is time, and that the second attempt is left alone, however slowly its command arrives.
func TestDelivery_LateCommandIsReplacedOnce(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.deliver(request, 0, 350*time.Millisecond, 0.1)
	if log := strings.Join(h.log, "\n"); !strings.Contains(log, "cancel 0 of 100") {
		t.Fatal("an attempt whose command will arrive too late was not canceled")
	}
	h.endAttempt(request, 0, LocalFailure)
	if len(request.attempts) != 2 {
		t.Fatal("no second attempt")
	}
	h.deliver(request, 1, time.Second, 0.2)
	if log := strings.Join(h.log, "\n"); strings.Contains(log, "cancel 1 of 100") {
		t.Error("the second attempt was canceled although its command made progress")
	}
}

// TestDelivery_CommandWithoutProgressIsStalled checks that a command that has stopped on its way is sent elsewhere.
func TestDelivery_CommandWithoutProgressIsStalled(t *testing.T) {
	h := newHarnessWithoutCounter(t, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	h.deliver(request, 0, 100*time.Millisecond, 0.9)
	if h.advance(350 * time.Millisecond); !strings.Contains(strings.Join(h.log, "\n"), "cancel 0 of 100") {
		t.Error("an attempt whose command has stopped on its way was not canceled")
	}
}

// TestDelivery_MovesExpiry checks that the expiry of an attempt counts from the last progress where the settings allow
// neither hedging nor cancellation.
func TestDelivery_MovesExpiry(t *testing.T) {
	settings := defaultSettings()
	settings.Cancellation, settings.CounterEnabled = false, false
	h := newHarness(t, settings, readyEndpoints(1, 2)...)
	h.serveTwentyRequests(52 * time.Millisecond)
	request := h.submit(100, 0, 0, 100, 2*time.Second, 1)
	before := request.attempts[0].expiresAt
	const progressAfter = 100 * time.Millisecond
	h.advance(progressAfter)
	after := request.handle.HandleDelivery(h.now, Delivery{Attempt: 0, Fraction: 0.5})
	if before.IsZero() || after != before.Add(progressAfter) {
		t.Errorf("expires at %v, with progress %v later at %v", before, progressAfter, after)
	}
}
