package counter

import (
	"errors"
	"testing"
	"time"

	"fawnplank/internal/dispatch"
)

// TestClient_HandlerPanicLosesNoOtherResult guards against lost results: when the handler panicked for one of the calls
// that ended with a connection, the remaining calls got no result.
func TestClient_HandlerPanicLosesNoOtherResult(t *testing.T) {
	service := startService(t)
	received := make(results, 10)
	client := New(Options{Address: service.address()}, resultHandlerFunc(func(got result) {
		received <- got
		if got.key == 1 {
			panic("test: the handler panics")
		}
	}))
	t.Cleanup(client.Close)
	const calls = 3
	for range calls {
		client.Add(1, 1, time.Second)
	}
	client.Flush()
	lost := service.next(t)
	if err := lost.conn.Close(); err != nil {
		t.Error(err)
	}
	for range calls {
		if got := received.next(t); got.key != 1 || !errors.Is(got.err, dispatch.ErrTimeout) {
			t.Errorf("%+v", got)
		}
	}
	client.addOneUnit(1)
	next := service.next(t)
	for next.conn == lost.conn { // calls that were still written to the lost connection
		next = service.next(t)
	}
	next.answer(t, "ok 5\r\n")
	if got := received.next(t); got != (result{1, 5, nil}) {
		t.Errorf("result after the panics: %+v", got)
	}
}
