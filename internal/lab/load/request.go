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
	// minRemainingToConnect is the remaining time below which another connect is of no use.
	minRemainingToConnect = 20 * time.Millisecond

	connectRetryPeriod = 5 * time.Millisecond

	// answerMargin is how long a client waits beyond the deadline and the rules' grace, so that it still sees an
	// answer that is slightly too late, as a late one.
	answerMargin = 100 * time.Millisecond
)

// errStaleConnection reports that the instance has closed an idle connection.
var errStaleConnection = errors.New("load: idle connection was closed")

// submission is one request to one instance.
type submission struct {
	request  workload.Request
	id       invariants.SubmissionID
	instance int
	due      time.Time
	deadline time.Time
	isRetry  bool

	remaining   time.Duration // time left until the deadline when it is written
	incarnation int           // of the instance, at that time
}

// outcome says what became of a submission.
type outcome struct {
	kind       invariants.Kind
	retryAfter time.Duration // if rejected; 0: none
	sent       bool          // false: no connection came up, and no instance has seen the request
}

// send submits a request until it has a final answer, as clients do: again after a rejection, and if its
// instance died.
func (g *Generator) send(request workload.Request, due time.Time) {
	deadline := due.Add(request.Deadline.Sub(request.Due))
	for retries := 0; ; retries++ {
		s := g.newSubmission(request)
		s.due = due
		s.deadline = deadline
		s.isRetry = retries > 0
		result := g.submit(s)
		if !result.sent {
			isLast := retries >= g.scenario.Load.MaxRetries+workload.ExtraConnectRetries
			if isLast || time.Until(deadline) <= minRemainingToConnect {
				g.log.CountNotSent()
				return
			}
			time.Sleep(connectRetryPeriod) // another instance may accept it
			continue
		}
		wantsRetry := result.kind == invariants.Rejected || result.kind == invariants.Abandoned
		if !wantsRetry || retries >= g.scenario.Load.MaxRetries {
			return
		}
		// The wait is drawn even if no retry follows, so that a run's random numbers do not depend on the class.
		wait := g.retryDelay(retries, result.retryAfter)
		mayRunTwice := result.kind == invariants.Rejected || g.isIdempotent(request)
		if !mayRunTwice || time.Until(deadline) <= wait {
			return
		}
		time.Sleep(wait)
		due = time.Now() // a retry is due when the client sends it
	}
}

// newSubmission gives a request an ID and an instance.
func (g *Generator) newSubmission(request workload.Request) submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSubmission++
	return submission{request: request, id: g.lastSubmission, instance: g.workload.Instance(request)}
}

// retryDelay draws how long a client waits before a retry.
func (g *Generator) retryDelay(retries int, retryAfter time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.workload.RetryDelay(retries, retryAfter)
}

// submit sends a request to an instance once. It sends it a second time if the instance had closed the idle
// connection that was used, as it may between requests.
func (g *Generator) submit(s submission) outcome {
	conn, err := g.acquire(s.instance, false)
	if err != nil {
		return outcome{}
	}
	g.stamp(&s)
	g.observeSubmitted(s)
	result, err := g.exchange(s, conn)
	if !errors.Is(err, errStaleConnection) {
		return result
	}
	if conn, err = g.acquire(s.instance, true); err != nil {
		return g.abandon(s) // written to a connection that ended, and the instance is gone
	}
	g.stamp(&s)
	result, _ = g.exchange(s, conn) // a new connection is not stale
	return result
}

// stamp records what holds when a submission is about to be written.
func (g *Generator) stamp(s *submission) {
	s.remaining = time.Until(s.deadline)
	s.incarnation = g.log.Incarnation(s.instance)
}

// observeSubmitted records that a request is about to be written, and how late that is.
func (g *Generator) observeSubmitted(s submission) {
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

// exchange writes a request and reads its answer. It returns errStaleConnection if the connection was idle
// before and has ended while the instance lives.
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
		return outcome{kind: invariants.Aborted, sent: true}, nil // no answer: the invariants report it
	case g.log.WasKilled(s.instance, s.incarnation):
		return g.abandon(s), nil
	case conn.reused:
		return outcome{}, errStaleConnection
	}
	return outcome{kind: invariants.Aborted, sent: true}, nil // a live instance ended the connection: likewise
}

func (g *Generator) roundTrip(s submission, conn *connection) (string, error) {
	readDeadline := s.deadline.Add(time.Duration(g.scenario.Rules.DeadlineGrace) + answerMargin)
	_ = conn.SetDeadline(readDeadline) // fails only if the connection has ended; the write fails then too
	if _, err := io.WriteString(conn, g.command(s)); err != nil {
		return "", err
	}
	return readAnswer(conn.reader)
}

// abandon records that a submission's instance died with it.
func (g *Generator) abandon(s submission) outcome {
	g.log.Observe(invariants.Event{Kind: invariants.Abandoned, Submission: s.id, Instance: s.instance})
	return outcome{kind: invariants.Abandoned, sent: true}
}
