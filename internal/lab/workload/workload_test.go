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

// TestGenerator_RequestsDoNotDependOnChoices draws requests from the same seed twice, the second time with draws of
// retry delays in between. The requests must be equal, and their number and mean units must match the scenario.
func TestGenerator_RequestsDoNotDependOnChoices(t *testing.T) {
	wantRequests := drawAll(newGenerator(t))
	generator := newGenerator(t)
	var units float64
	for n, want := range wantRequests {
		generator.RetryDelay(n, 0)
		request, ok := generator.Next()
		if !ok || request != want {
			t.Fatalf("request %d: got %+v, want %+v", n, request, want)
		}
		units += request.Units
	}
	mean := units / float64(len(wantRequests))
	if len(wantRequests) < 900 || len(wantRequests) > 1100 || mean < 2.8 || mean > 3.2 {
		t.Errorf("%d requests with %.2f units on average, want about 1000 with 3", len(wantRequests), mean)
	}
}

func TestGenerator_StopsAtMaxRequests(t *testing.T) {
	if requests := drawAll(newGenerator(t, "load.max_requests=7")); len(requests) != 7 {
		t.Errorf("%d requests, want 7", len(requests))
	}
}

// A retry delay is the Retry-After, or without one a delay that doubles with each retry, plus a jitter of up to a
// quarter.
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
			t.Errorf("retry %d, Retry-After %v: got %v, want %v to 25%% more",
				test.retries, test.retryAfter, got, test.want)
		}
	}
}
