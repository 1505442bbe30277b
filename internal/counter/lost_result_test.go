package counter

import (
	"testing"

	"fawnplank/policy"
)

// TestClient_CallAfterClosedConnectionGetsResult guards against lost results: while the result of an answered call
// waited for that of an earlier call, the queue of the key kept the connection of the answer, even if that connection
// was closed. Later calls for the key went to it and got no result.
func TestClient_CallAfterClosedConnectionGetsResult(t *testing.T) {
	client, received, service := startClient(t)
	newService := startService(t)
	client.addOneUnit(1)
	first := service.next(t) // is answered last
	client.SetAddress(newService.address())
	client.addOneUnit(1)
	second := newService.next(t)
	second.answer(t, "ok 2\r\nok 9\r\n") // the answer without a call makes the client close the connection
	if !second.awaitClose() {
		t.Fatal("the connection is not closed")
	}
	client.addOneUnit(1)
	third := newService.next(t)
	third.answer(t, "ok 3\r\n")
	first.answer(t, "ok 1\r\n")
	for _, total := range []float64{1, 2, 3} {
		if got := received.next(t); got != (result{1, total, nil}) {
			t.Errorf("result %+v, want total %v", got, total)
		}
	}
}

// resultHandlerFunc is a ResultHandler that calls a function for each result, which may panic.
type resultHandlerFunc func(got result)

func (f resultHandlerFunc) HandleCounterResult(key policy.CounterKey, total float64, err error) {
	f(result{key, total, err})
}

// TestClient_CallDuringDeliveryGetsResult guards against lost results: if the connection closed while a key's last
// result was being delivered, the next call for the key went to the closed connection and got no result.
func TestClient_CallDuringDeliveryGetsResult(t *testing.T) {
	service := startService(t)
	received := make(results, 10)
	delivering, closed := make(chan struct{}), make(chan struct{})
	client := New(Options{Address: service.address()}, resultHandlerFunc(func(got result) {
		if got.total == 1 {
			close(delivering)
			<-closed
		}
		received <- got
	}))
	t.Cleanup(client.Close)
	client.addOneUnit(1)
	call := service.next(t)
	call.answer(t, "ok 1\r\n")
	<-delivering
	client.mu.Lock()
	conn := client.queues[1].connection
	client.mu.Unlock()
	conn.close(errAnswerTimeout)
	client.addOneUnit(1)
	close(closed)
	service.next(t).answer(t, "ok 2\r\n")
	for _, total := range []float64{1, 2} {
		if got := received.next(t); got != (result{1, total, nil}) {
			t.Errorf("result %+v, want total %v", got, total)
		}
	}
}
