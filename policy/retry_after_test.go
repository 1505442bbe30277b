package policy

import (
	"testing"
	"time"
)

// Fault: requests that no backend had capacity for were to be retried after the latency objective, to be late
// for certain.
func TestRetryAfter_WithoutCapacityIsEarly(t *testing.T) {
	h := newHarnessWithoutCounter(t)
	for n := range 20 {
		h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
	}
	request := h.requests[19]
	if request.ended != "rejected" || request.retryAfter <= 0 || request.retryAfter >= 750*time.Millisecond/4 {
		t.Errorf("with a full instance: %q, retry after %d", request.ended, request.retryAfter)
	}
}
