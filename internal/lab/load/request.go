package load

import (
	"errors"
	"io"
	"net"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
	"fawnplank/internal/monotime"
)

const (
	// minRemainingToConnect is the time before the deadline from which no further connection attempt is made.
	minRemainingToConnect = 20 * time.Millisecond

	connectRetryPeriod = 5 * time.Millisecond

	// answerMargin is how long a client waits beyond the deadline and the grace of the rules, so that an answer that
	// is slightly too late is recorded as late and not as missing.
	answerMargin = 100 * time.Millisecond
)

// errStaleConnection reports that the instance closed a reused connection before it answered.
var errStaleConnection = errors.New("load: instance closed the idle connection")

// submission is one sending of a request by a client to one instance.
type submission struct {
	request  workload.Request
	id       invariants.SubmissionID
	instance int
	due      time.Time
	deadline time.Time
	isRetry  bool

	// Set by updateBeforeWrite.
	remaining   time.Duration // time until the deadline
	incarnation int           // of the instance
}

// outcome is the result of a submission.
type outcome struct {
	kind       invariants.Kind
	retryAfter time.Duration // of a rejection; 0: none
	sent       bool          // false: no connection could be opened, and no instance has received the request
}

// send submits a request until the client gets a final answer or gives up. It retries a rejected request, and an
// idempotent request whose instance was killed, within the scenario's retries and the deadline.
func (g *Generator) send(request workload.Request, due time.Time) {
	deadline := due.Add(request.Deadline.Sub(request.Due))
	for retries := 0; ; retries++ {
		s := g.newSubmission(request)
		s.due = due
		s.deadline = deadline
		s.isRetry = retries > 0
		result := g.submit(s)
		if !result.sent {
			isLast := retries >= g.scenario.Load.Retries+workload.ExtraConnectRetries
			if isLast || time.Until(deadline) <= minRemainingToConnect {
				g.log.CountNotSent()
				return
			}
			time.Sleep(connectRetryPeriod) // the next submission may choose another instance
			continue
		}
		isRetryable := result.kind == invariants.Rejected || result.kind == invariants.Abandoned
		if !isRetryable || retries >= g.scenario.Load.Retries {
			return
		}
		// The delay is drawn even if no retry follows, so that a run's random numbers do not depend on the class.
		wait := g.retryDelay(retries, result.retryAfter)
		mayRunTwice := result.kind == invariants.Rejected || g.isIdempotent(request)
		if !mayRunTwice || time.Until(deadline) <= wait {
			return
		}
		time.Sleep(wait)
		due = time.Now() // a retry is due at the end of the delay
	}
}

// newSubmission returns a submission of a request, with a new ID and a randomly chosen instance.
func (g *Generator) newSubmission(request workload.Request) submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSubmission++
	return submission{request: request, id: g.lastSubmission, instance: g.workload.Instance(request)}
}

// retryDelay draws the delay before a retry.
func (g *Generator) retryDelay(retries int, retryAfter time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.workload.RetryDelay(retries, retryAfter)
}

// submit sends a submission to its instance. If the instance has closed the reused connection, as it may do between
// requests, submit sends the submission again on a new connection.
func (g *Generator) submit(s submission) outcome {
	conn, err := g.acquire(s.instance, false)
	if err != nil {
		return outcome{}
	}
	g.updateBeforeWrite(&s)
	g.recordSubmitted(s)
	result, err := g.exchange(s, conn)
	if !errors.Is(err, errStaleConnection) {
		return result
	}
	if conn, err = g.acquire(s.instance, true); err != nil {
		return g.recordAbandoned(s) // the instance closed the connection and accepts no new one
	}
	g.updateBeforeWrite(&s)
	result, _ = g.exchange(s, conn) // errStaleConnection occurs only on a reused connection
	return result
}

// updateBeforeWrite sets the fields of a submission that depend on the time of its write.
func (g *Generator) updateBeforeWrite(s *submission) {
	s.remaining = time.Until(s.deadline)
	s.incarnation = g.log.Incarnation(s.instance)
}

// recordSubmitted records that a submission is about to be written, and its delay since the due time.
func (g *Generator) recordSubmitted(s submission) {
	g.recordLag(time.Since(s.due))
	g.log.ObserveSubmitted(invariants.Event{
		Submission: s.id,
		Instance:   s.instance,
		Tenant:     s.request.Tenant,
		Class:      s.request.Class,
		Plan:       s.request.Plan,
		Units:      s.request.Units,
		Due:        monotime.FromNanos(int64(s.due.Sub(g.log.Start()))),
		IsRetry:    s.isRetry,
	}, s.remaining)
}

// exchange writes a submission and reads its answer. It returns errStaleConnection if a reused connection ended
// although the instance was not killed.
func (g *Generator) exchange(s submission, conn *connection) (outcome, error) {
	answer, err := g.roundTrip(s, conn)
	if err == nil {
		g.release(s.instance, conn)
		result := parseOutcome(answer)
		g.log.Observe(invariants.Event{Kind: result.kind, Submission: s.id, Instance: s.instance})
		return result, nil
	}
	g.discard(conn)
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return outcome{kind: invariants.Aborted, sent: true}, nil // the invariants report the missing answer
	case g.log.WasKilled(s.instance, s.incarnation):
		return g.recordAbandoned(s), nil
	case conn.reused:
		return outcome{}, errStaleConnection
	}
	return outcome{kind: invariants.Aborted, sent: true}, nil // the invariants report the closed connection
}

func (g *Generator) roundTrip(s submission, conn *connection) (string, error) {
	readDeadline := s.deadline.Add(time.Duration(g.scenario.Rules.DeadlineGrace) + answerMargin)
	_ = conn.SetDeadline(readDeadline) // fails only if the connection has ended; then the write fails too
	if _, err := io.WriteString(conn, g.formatCommand(s)); err != nil {
		return "", err
	}
	return readAnswer(conn.reader)
}

// recordAbandoned records that a submission got no answer because its instance was killed.
func (g *Generator) recordAbandoned(s submission) outcome {
	g.log.Observe(invariants.Event{Kind: invariants.Abandoned, Submission: s.id, Instance: s.instance})
	return outcome{kind: invariants.Abandoned, sent: true}
}
