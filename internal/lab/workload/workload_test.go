package workload

import (
	"testing"
	"time"

	"fawnplank/internal/lab/scenario"
)

const testScenario = `name = "test"
duration = "2s"
[load]
rate = 500
units = 3
[[class]]
name = "calc"
idempotency = "idempotent"
latency_objective = "750ms"
[[plan]]
name = "despacho"
`

func newGenerator(t *testing.T, overrides ...string) *Generator {
	t.Helper()
	s, err := scenario.Parse("test", []byte(testScenario), overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return New(s)
}

func drawAll(generator *Generator) (requests []Request) {
	for {
		request, ok := generator.Next()
		if !ok {
			return requests
		}
		requests = append(requests, request)
	}
}

// TestGenerator_DrawsSameRequests draws from one seed twice, with choices between in one of them: the
// requests are the same, and of the scenario's rate and mean units.
func TestGenerator_DrawsSameRequests(t *testing.T) {
	plain := drawAll(newGenerator(t))
	generator := newGenerator(t)
	var units float64
	for n, want := range plain {
		generator.RetryDelay(n, 0)
		request, ok := generator.Next()
		if !ok || request != want {
			t.Fatalf("request %d: %+v, not %+v", n, request, want)
		}
		units += request.Units
	}
	mean := units / float64(len(plain))
	if len(plain) < 900 || len(plain) > 1100 || mean < 2.8 || mean > 3.2 {
		t.Errorf("%d requests of %.2f units", len(plain), mean)
	}
}

// TestGenerator_StopsAtMaxRequests draws as many requests as the scenario has at most.
func TestGenerator_StopsAtMaxRequests(t *testing.T) {
	if requests := drawAll(newGenerator(t, "load.max_requests=7")); len(requests) != 7 {
		t.Errorf("%d requests", len(requests))
	}
}

// TestGenerator_RetryDelay waits for the Retry-After, or else for a time that doubles; and up to a quarter
// more.
func TestGenerator_RetryDelay(t *testing.T) {
	generator := newGenerator(t)
	for _, test := range []struct {
		retries    int
		retryAfter time.Duration
		want       time.Duration
	}{
		{retries: 0, want: 50e6},
		{retries: 2, want: 200e6},
		{retries: 9, want: 1600e6},
		{retries: 9, retryAfter: 3e9, want: 3e9},
	} {
		got := generator.RetryDelay(test.retries, test.retryAfter)
		if got < test.want || got > test.want*5/4 {
			t.Errorf("retry %d, Retry-After %v: %v, not %v",
				test.retries, test.retryAfter, got, test.want)
		}
	}
}
