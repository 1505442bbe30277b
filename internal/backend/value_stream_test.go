package backend

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"fawnplank/internal/membudget"
)

// TestValueStream_ValuesShareMemoryBudget checks that the memory budget bounds the pieces of all values together. A
// value that finds no memory holds one piece, and takes no further one until that piece is written or another value has
// released memory.
func TestValueStream_ValuesShareMemoryBudget(t *testing.T) {
	const budgetPieces = 4
	p := New(Options{MaxConnections: 100, Budget: membudget.New(budgetPieces * streamPieceBytes)})
	piece := make([]byte, streamPieceBytes)
	holder := newValueStream(p)
	for range budgetPieces {
		if !holder.tryPush(piece) {
			t.Fatal("no memory within the budget")
		}
	}
	waiter := newValueStream(p)
	if waiter.tryPush(piece) {
		t.Fatal("a piece beyond the budget was taken")
	}
	if !waiter.push(piece) {
		t.Fatal("the first piece was not taken")
	}
	pushed := make(chan bool)
	go func() { pushed <- waiter.push(piece) }()
	select {
	case <-pushed:
		t.Fatal("a second piece beyond the budget was taken")
	case <-time.After(100 * time.Millisecond):
	}
	first, _ := waiter.next()
	waiter.remove(first)
	if !<-pushed {
		t.Error("the second piece was not taken once the first one was written")
	}
	holder.Abandon()
	if !waiter.push(piece) {
		t.Error("no memory although another value has released all of it")
	}
	waiter.Abandon()
	if !p.budget.TryAcquire(budgetPieces * streamPieceBytes) {
		t.Error("the memory of abandoned values is still reserved")
	}
}

func TestValueStream_CopyToReturnsAllPiecesAndError(t *testing.T) {
	p := New(Options{})
	s := newValueStream(p)
	go func() {
		for _, piece := range []string{"a", "bc", "def"} {
			s.push([]byte(piece))
		}
		s.end(errValueTerminator)
	}()
	var written bytes.Buffer
	err := s.CopyTo(func(piece []byte) error {
		_, err := written.Write(piece)
		return err
	})
	if written.String() != "abcdef" || !errors.Is(err, errValueTerminator) {
		t.Errorf("%q, error %v", written.String(), err)
	}
}
