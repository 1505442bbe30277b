// Package invariants checks the gateway's five rules against events observed at clients, backends and discovery,
// both in the model and in runs on sockets. A Checker takes events in order of time and returns findings. The
// package does no I/O and shares no code with the decisions that it checks.
//
// A Checker is not safe for concurrent use: its caller serializes the calls.
package invariants

import (
	"fmt"
	"slices"
	"time"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// Rule numbers an invariant, as in docs/lab.md.
type Rule int

// The rules.
const (
	RuleOneAnswer            Rule = iota + 1 // one final answer in time, and no attempt sent after it
	RuleNoDuplicateExecution                 // no unsafe second execution, and no rejection that could lead to one
	RuleDrain                                // no attempt to a draining or removed backend after the grace
	RuleSlowStart                            // no overload of a warming backend
	RuleHardQuota                            // no admission beyond a hard quota and its slack
	ruleEnd
)

// Settings are the parameters of the rules. Zone and Group map a backend's number to that of its zone or group.
type Settings struct {
	Classes           []policy.ClassSettings
	Plans             []policy.PlanSettings
	HardQuotaSlack    []float64     // by plan, in units
	AnswerGrace       time.Duration // how long after the client's deadline an answer may come
	DrainGrace        time.Duration // how long after the delivery of a draining or gone state attempts may arrive
	TransitSlack      time.Duration // allowance for the unobserved transit time from an instance to a backend or client
	Cores             float64       // of a warm backend
	SlowStartShare    float64       // share of its capacity that a backend has when it starts
	SlowStartDuration time.Duration
	OverloadMultiple  float64 // multiple of its capacity that a backend can accept over OverloadWindow
	OverloadWindow    time.Duration
	Zone              func(backend int) int
	Group             func(backend int) int
}

// Finding is one violation of a rule.
type Finding struct {
	Rule        Rule             `json:"rule"`
	At          monotime.Instant `json:"at_ns"` // since the run's start
	Description string           `json:"what"`
}

const (
	// maxFindings is the largest number of findings reported per rule. Further violations are only counted.
	maxFindings = 20
	// retention is how long a submission is kept after its end. After that time none of its attempts can be in
	// flight.
	retention = 30 * time.Second
)

// attempt is an attempt that arrived at a backend.
type attempt struct {
	backend   int
	at        monotime.Instant
	isRefused bool // the backend proved that it did not run the attempt
}

// submission is the observed state of a submission.
type submission struct {
	Event
	answeredAt   monotime.Instant // when the client received its answer; zero: not yet
	isAnswerDue  bool
	attempts     []attempt
	isQuotaDrawn bool             // its units have been drawn from the hard quota
	endedAt      monotime.Instant // when it was answered or abandoned; zero: not yet
}

// Route is a pair of an instance and a backend to which it sends attempts.
type Route struct{ Instance, Backend int }

// Checker finds violations of the rules in events that it observes in order of time.
type Checker struct {
	settings    Settings
	submissions map[SubmissionID]*submission
	ended       []SubmissionID  // ordered by the time of their end
	delivered   map[Route]Event // the latest EndpointDelivered event by route
	arrivals    map[int][]arrival
	overloaded  map[int]monotime.Instant // by backend: the start time of its incarnation that was reported as overloaded
	quotas      map[int]*hardQuota
	findings    []Finding
	counts      [ruleEnd]int
}

// New returns a checker without observed events.
func New(settings Settings) *Checker {
	return &Checker{
		settings:    settings,
		submissions: map[SubmissionID]*submission{},
		delivered:   map[Route]Event{},
		arrivals:    map[int][]arrival{},
		overloaded:  map[int]monotime.Instant{},
		quotas:      map[int]*hardQuota{},
	}
}

// report counts a violation, and adds a finding unless its rule has maxFindings findings already.
func (c *Checker) report(rule Rule, at monotime.Instant, format string, args ...any) {
	c.counts[rule]++
	if c.counts[rule] <= maxFindings {
		description := fmt.Sprintf(format, args...)
		c.findings = append(c.findings, Finding{Rule: rule, At: at, Description: description})
	}
}

// Observe checks the next event, which must not be earlier than the one before.
func (c *Checker) Observe(event Event) {
	switch event.Kind {
	case EndpointDelivered:
		c.observeEndpoint(event)
	case InstanceDied:
		c.observeInstanceDeath(event.Instance)
	case Submitted:
		c.observeSubmission(event)
	default:
		c.observeSubmissionEvent(event)
	}
}

func (c *Checker) observeEndpoint(event Event) {
	key := Route{Instance: event.Instance, Backend: event.Backend}
	old, ok := c.delivered[key]
	if ok && old.State != policy.EndpointReady && event.State != policy.EndpointReady {
		event.At = old.At // the grace begins with the first state that forbids new attempts
	}
	c.delivered[key] = event
}

func (c *Checker) observeInstanceDeath(instance int) {
	for key := range c.delivered {
		if key.Instance == instance {
			delete(c.delivered, key)
		}
	}
}

func (c *Checker) observeSubmission(event Event) {
	if c.submissions[event.Submission] != nil {
		c.report(RuleOneAnswer, event.At, "submission %d: duplicate submission ID", event.Submission)
		return
	}
	c.submissions[event.Submission] = &submission{Event: event, isAnswerDue: true}
}

// observeSubmissionEvent checks an event that belongs to a submission.
func (c *Checker) observeSubmissionEvent(event Event) {
	s := c.submissions[event.Submission]
	if s == nil {
		if event.Kind != Abandoned && event.Kind != AttemptRefused {
			c.report(RuleOneAnswer, event.At,
				"submission %d: unknown, or ended long ago", event.Submission)
		}
		return
	}
	switch event.Kind {
	case Succeeded, Rejected, Aborted:
		c.checkAnswer(s, event)
	case Abandoned:
		s.isAnswerDue = false
		c.end(s, event.At)
	case AttemptSent:
		if !s.answeredAt.IsZero() && event.At.After(s.answeredAt) {
			c.report(RuleOneAnswer, event.At,
				"submission %d: sent to backend %d %s after its final answer",
				event.Submission, event.Backend, formatMillis(event.At.Sub(s.answeredAt)))
		}
	case AttemptArrived:
		c.checkArrival(s, event)
	case AttemptRefused:
		s.markLastRefused(event.Backend)
	}
}

// markLastRefused marks the latest attempt at a backend, among those not marked yet, as refused by the backend.
func (s *submission) markLastRefused(backend int) {
	for n := len(s.attempts) - 1; n >= 0; n-- {
		if s.attempts[n].backend == backend && !s.attempts[n].isRefused {
			s.attempts[n].isRefused = true
			return
		}
	}
}

func formatMillis(span time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(span)/float64(time.Millisecond))
}

// checkAnswer checks a final answer against RuleOneAnswer and, if it is a rejection, RuleNoDuplicateExecution.
func (c *Checker) checkAnswer(s *submission, event Event) {
	if !s.answeredAt.IsZero() {
		c.report(RuleOneAnswer, event.At, "submission %d: a second final answer", event.Submission)
		return
	}
	overrun := event.At.Sub(s.Deadline) - c.settings.AnswerGrace
	if s.isAnswerDue && overrun > 0 {
		c.report(RuleOneAnswer, event.At, "submission %d: answered %s after its deadline and grace",
			event.Submission, formatMillis(overrun))
	}
	s.answeredAt = event.At
	s.isAnswerDue = false
	c.end(s, event.At)
	if event.Kind == Rejected && !isSafeToRetry(c.settings.Classes[s.Class]) {
		c.checkRejection(s, event)
	}
}

// isSafeToRetry reports whether a request of a class may be executed again at any backend when the client retries.
func isSafeToRetry(class policy.ClassSettings) bool {
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.IdempotentWithKey:
		return class.DedupScope == policy.DedupByAll
	}
	return false
}

// checkRejection reports attempts of a rejected submission that may have run. The rejection allows the client to
// retry the request, which could execute it a second time.
func (c *Checker) checkRejection(s *submission, event Event) {
	for _, attempt := range s.attempts {
		if !attempt.isRefused {
			c.report(RuleNoDuplicateExecution, event.At,
				"submission %d: rejected though its attempt at backend %d may have run",
				event.Submission, attempt.backend)
		}
	}
}

// end records that a submission has ended, and removes those whose end is more than retention ago. Only the first
// call for a submission has an effect.
func (c *Checker) end(s *submission, at monotime.Instant) {
	if !s.endedAt.IsZero() { // the client abandoned it before the answer came
		return
	}
	s.endedAt = at
	c.ended = append(c.ended, s.Submission)
	for len(c.ended) > 0 && at.Sub(c.submissions[c.ended[0]].endedAt) > retention {
		delete(c.submissions, c.ended[0])
		c.ended = c.ended[1:]
	}
}

// End ends the run. It reports submissions that have no answer although their deadline and grace have passed, and
// returns the findings in order of time and the number of violations by rule.
func (c *Checker) End(at monotime.Instant) (findings []Finding, counts map[string]int) {
	var unanswered []SubmissionID
	for id, s := range c.submissions {
		if s.isAnswerDue && at.After(s.Deadline.Add(c.settings.AnswerGrace)) {
			unanswered = append(unanswered, id)
		}
	}
	slices.Sort(unanswered)
	for _, id := range unanswered {
		c.report(RuleOneAnswer, at,
			"submission %d at instance %d: no final answer", id, c.submissions[id].Instance)
	}
	counts = map[string]int{}
	for rule := RuleOneAnswer; rule < ruleEnd; rule++ {
		counts[fmt.Sprint(int(rule))] = c.counts[rule]
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return a.At.Compare(b.At) })
	return c.findings, counts
}
