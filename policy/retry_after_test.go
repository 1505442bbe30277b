package policy

import (
	"testing"
	"time"
)

// Fault: requests that no backend had capacity for were to be retried after the latency objective, to be late
// for certain.
func TestRetryAfter_NoCapacityIsWithinLatencyObjective(t *testing.T) {
	h := newHarnessWithoutCounter(t)
	for n := range 20 {
		h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
	}
	request := h.requests[19]
	if request.finalAnswer != "rejected" || request.retryAfter <= 0 || request.retryAfter >= 750*time.Millisecond/4 {
		t.Errorf("with a full instance: %q, retry after %d", request.finalAnswer, request.retryAfter)
	}
}

func TestQuotaStatus_RetryAfter(t *testing.T) {
	const rate = 4 // units a second
	for name, test := range map[string]struct {
		status        QuotaStatus
		want          time.Duration
		wantLimited   bool
		wantRejection time.Duration
	}{
		"no rate": {
			status: QuotaStatus{Limit: 10, Used: 10},
		},
		"a unit left": {
			status:        QuotaStatus{Rate: rate, Limit: 10, Used: 9},
			wantRejection: 250 * time.Millisecond,
		},
		"half a unit": {
			status:        QuotaStatus{Rate: rate, Limit: 10, Used: 9.5},
			want:          125 * time.Millisecond,
			wantLimited:   true,
			wantRejection: 250 * time.Millisecond,
		},
		"none left": {
			status:        QuotaStatus{Rate: rate, Limit: 10, Used: 10},
			want:          250 * time.Millisecond,
			wantLimited:   true,
			wantRejection: 250 * time.Millisecond,
		},
		"used up by 3": {
			status:        QuotaStatus{Rate: rate, Limit: 10, Used: 13},
			want:          time.Second,
			wantLimited:   true,
			wantRejection: time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, limited := test.status.RetryAfter()
			if got != test.want || limited != test.wantLimited {
				t.Errorf("%v, %t, want %v, %t", got, limited, test.want, test.wantLimited)
			}
			if got := test.status.RejectionRetryAfter(); got != test.wantRejection {
				t.Errorf("%v after a rejection, want %v", got, test.wantRejection)
			}
		})
	}
}
