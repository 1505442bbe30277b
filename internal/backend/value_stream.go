package backend

import (
	"sync"

	"fawnplank/internal/dispatch"
)

// valueStream passes a value from the reader of a connection to a client. It implements dispatch.ResponseStream. The
// reader pushes the pieces as they arrive. It waits while the client reads more slowly than the backend sends and the
// memory budget is used up, and then one piece is held at a time.
type valueStream struct {
	pool *Pool

	mu        sync.Mutex
	changed   *sync.Cond
	pieces    []streamPiece
	ended     bool  // no further piece follows
	err       error // why the value ended early
	abandoned bool  // the pieces are not needed
}

var _ dispatch.ResponseStream = (*valueStream)(nil)

// streamPiece is a part of a value.
type streamPiece struct {
	bytes         []byte
	budgetedBytes int64 // bytes acquired from the memory budget for it
}

func newValueStream(pool *Pool) *valueStream {
	s := &valueStream{pool: pool}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// tryPush appends a piece, which must not be modified afterwards. It returns false if there is no memory for it.
func (s *valueStream) tryPush(bytes []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendBudgeted(bytes)
}

// push is tryPush for a stream from which a client reads: it waits for memory. If no other piece is held, it needs none
// from the budget. It returns false if the stream was abandoned.
func (s *valueStream) push(bytes []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.abandoned {
		if s.appendBudgeted(bytes) {
			return true
		}
		if len(s.pieces) == 0 {
			s.append(streamPiece{bytes: bytes})
			return true
		}
		s.changed.Wait()
	}
	return false
}

// appendBudgeted appends a piece if the memory budget has the bytes for it. The caller holds mu.
func (s *valueStream) appendBudgeted(bytes []byte) bool {
	size := int64(len(bytes))
	if !s.pool.budget.TryAcquire(size) {
		return false
	}
	s.append(streamPiece{bytes: bytes, budgetedBytes: size})
	return true
}

// append appends a piece. The caller holds mu.
func (s *valueStream) append(piece streamPiece) {
	s.pieces = append(s.pieces, piece)
	s.changed.Broadcast()
}

// end states that no further piece follows. err is nil if the value is complete.
func (s *valueStream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.err = err
	s.changed.Broadcast()
}

// CopyTo implements dispatch.ResponseStream.
func (s *valueStream) CopyTo(write func(piece []byte) error) error {
	for {
		piece, ok := s.next()
		if !ok {
			return s.err
		}
		err := write(piece.bytes)
		s.remove(piece)
		if err != nil {
			s.Abandon()
			return err
		}
	}
}

// next waits for the first piece, which stays in the stream. ok is false at the end of the stream.
func (s *valueStream) next() (piece streamPiece, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pieces) == 0 {
		if s.ended {
			return streamPiece{}, false
		}
		s.changed.Wait()
	}
	return s.pieces[0], true
}

// remove removes the first piece, which was written.
func (s *valueStream) remove(piece streamPiece) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.budget.Release(piece.budgetedBytes)
	s.pieces[0] = streamPiece{}
	s.pieces = s.pieces[1:]
	s.changed.Broadcast()
}

// Abandon implements dispatch.ResponseStream.
func (s *valueStream) Abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	s.ended = true
	for _, piece := range s.pieces {
		s.pool.budget.Release(piece.budgetedBytes)
	}
	s.pieces = nil
	s.changed.Broadcast()
}
