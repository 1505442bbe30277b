package frontend

import (
	"errors"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// Errors for an id that another request has. Their texts are sent to the client.
var (
	errRequestIDInUse = errors.New("id is that of an open transaction")
	errRequestIDUsed  = errors.New("id is that of a transaction which may have run")
)

// requestIDs holds the ids of the open requests, and of ended requests that may have run and must not run again: their
// client has left, or lost the answer, and sends the same id once more. The caller of its methods holds Server.mu.
type requestIDs struct {
	open        map[string]struct{}
	used        map[string]struct{}
	usedInOrder []usedID // the ids in used, in the order in which they are dropped
	maxUsed     int      // the oldest ids are dropped beyond it
}

// usedID is the id of an ended request that may have run.
type usedID struct {
	id    string
	until time.Time // when the client no longer waits for it
}

func newRequestIDs(maxUsed int) requestIDs {
	return requestIDs{open: map[string]struct{}{}, used: map[string]struct{}{}, maxUsed: maxUsed}
}

// claim registers the id of a request that is about to be submitted.
func (r *requestIDs) claim(id string, now time.Time) error {
	r.dropExpired(now)
	if _, inUse := r.open[id]; inUse {
		return errRequestIDInUse
	}
	if _, used := r.used[id]; used {
		return errRequestIDUsed
	}
	r.open[id] = struct{}{}
	return nil
}

// retain keeps the id of an open request until a time after its end.
func (r *requestIDs) retain(id string, until time.Time) {
	if _, isRetained := r.used[id]; isRetained || r.maxUsed == 0 {
		return
	}
	if len(r.usedInOrder) >= r.maxUsed {
		r.dropOldest()
	}
	r.used[id] = struct{}{}
	r.usedInOrder = append(r.usedInOrder, usedID{id: id, until: until})
}

// dropExpired drops the ids whose clients no longer wait.
func (r *requestIDs) dropExpired(now time.Time) {
	for len(r.usedInOrder) > 0 && now.After(r.usedInOrder[0].until) {
		r.dropOldest()
	}
}

func (r *requestIDs) dropOldest() {
	delete(r.used, r.usedInOrder[0].id)
	r.usedInOrder = r.usedInOrder[1:]
}

// claimRequestID registers the id of a request that is about to be submitted, and that of a request which is not safe
// to repeat also at the other process of an upgrade. The longest deadline bounds the time until its end.
func (s *Server) claimRequestID(p *pendingCommand) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.requestIDs.claim(p.id, time.Now()); err != nil {
		return err
	}
	if p.idempotency != policy.Idempotent && !s.sharedIDs.Claim(p.id, 2*s.writeTimeout()) {
		delete(s.requestIDs.open, p.id)
		return errRequestIDUsed
	}
	return nil
}

// releaseRequestID removes the id of a request that was not submitted, so that the id can be used again.
func (s *Server) releaseRequestID(p *pendingCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(p)
}

// release removes the id of a request that has not run. The caller holds mu.
func (s *Server) release(p *pendingCommand) {
	delete(s.requestIDs.open, p.id)
	if p.idempotency != policy.Idempotent {
		s.sharedIDs.Release(p.id)
	}
}

// endRequestID removes the id of a request that has ended. If the request may have run, the id is retained for as long
// as a client may wait for any request.
func (s *Server) endRequestID(p *pendingCommand) {
	retention := s.writeTimeout()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.mayHaveRun() {
		s.release(p)
		return
	}
	delete(s.requestIDs.open, p.id)
	s.requestIDs.retain(p.id, time.Now().Add(retention))
	s.sharedIDs.Retain(p.id, retention)
}

// mayHaveRun reports whether an attempt of the request was begun, a second run could have a second effect, and the
// client was not told that a retry is safe.
func (p *pendingCommand) mayHaveRun() bool {
	return p.attemptBegun.Load() && p.idempotency != policy.Idempotent && p.finalAction != dispatch.Reject
}
