package policy

import (
	"testing"
	"time"
)

// Guards against a Retry-After as long as the latency objective for requests that no backend has capacity for:
// their retries were always late.
func TestRetryAfter_NoCapacityIsWithinLatencyObjective(t *testing.T) {
	h := newHarnessWithoutCounter(t)
	for n := range 20 {
		h.submit(RequestID(n), 0, 0, TenantID(n), 2*time.Second, 1)
	}
	request := h.requests[19]
	if request.finalAnswer != "rejected" || request.retryAfter <= 0 || request.retryAfter >= 750*time.Millisecond/4 {
		t.Errorf("request to an instance at its limit ended as %q with Retry-After %d",
			request.finalAnswer, request.retryAfter)
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
				t.Errorf("Retry-After %v, limited %t, want %v, %t", got, limited, test.want, test.wantLimited)
			}
			if got := test.status.RejectionRetryAfter(); got != test.wantRejection {
				t.Errorf("Retry-After of a rejection %v, want %v", got, test.wantRejection)
			}
		})
	}
}
