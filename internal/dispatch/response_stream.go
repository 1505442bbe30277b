package dispatch

import (
	"time"

	"fawnplank/policy"
)

// ResponseStream is the value of a response that is passed on to the client while it still arrives.
type ResponseStream interface {
	// CopyTo writes the value in pieces, in order, as they arrive. It returns the first error of write, or an error if
	// the rest of the value does not arrive. It must be called at most once.
	CopyTo(write func(piece []byte) error) error
	// Abandon states that the value is not needed. It must be called in place of CopyTo.
	Abandon()
}

// ReportStarted passes the beginning of the attempt's response to the dispatcher: the request is answered with the
// stream, and neither its deadline nor a cancellation ends the attempt any more. The caller still calls Report at the
// end of the response. accepted is false if the response is not needed, because the request is already answered or the
// attempt was given up; the caller then must not use the stream.
func (a *Attempt) ReportStarted(stream ResponseStream) (accepted bool) {
	a.request.dispatcher.callEngine(func(now policy.Instant) {
		if a.state.load() != attemptStarted || a.request.finished {
			return
		}
		accepted = true
		a.state.store(attemptStreaming)
		a.responseStartedAt = now
		a.request.finish(Step{Action: Respond, Stream: stream})
		a.request.engineRequest.HandleResponseStarted(now, a.id)
	})
	return accepted
}

// ReportStream is Report for a complete response that the stream holds. If the response is not needed, the stream is
// abandoned.
func (a *Attempt) ReportStream(stream ResponseStream, actualUnits float64) {
	a.report(Step{Action: Respond, Stream: stream}, actualUnits, nil)
	if !a.request.isAnsweredWith(stream) {
		stream.Abandon()
	}
}

// isAnsweredWith reports whether the request's final step is to respond with the stream.
func (r *Request) isAnsweredWith(stream ResponseStream) bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	return r.finished && r.finalStep.Stream == stream
}

// elapsed returns how long the attempt has taken. For a streamed response that is the time to its beginning, since the
// rest depends on how fast the client reads. The time for which a command was long on its way depends on its size and
// does not count. The caller holds the dispatcher's lock.
func (a *Attempt) elapsed(now policy.Instant) time.Duration {
	end := now
	if !a.responseStartedAt.IsZero() {
		end = a.responseStartedAt
	}
	return end.Sub(a.createdAt) - a.progressAt.Sub(a.deliveryBegunAt)
}
