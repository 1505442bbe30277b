// Package invariants checks the five rules of the gateway from outside, by what clients, backends and
// discovery saw, whether on the model or with instances on sockets. It takes events in order of time and
// returns findings. The package is pure and shares no code with the decisions that it judges.
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
	RuleNoDuplicateExecution                 // nothing runs twice that must not, nor is rejected after it may have run
	RuleDrain                                // no attempt to a leaving backend after its grace
	RuleSlowStart                            // no overload of a backend that warms up
	RuleHardQuota                            // no admission beyond a hard quota
	ruleEnd
)

// Settings are the parameters of the rules. The functions map a backend's number to that of its zone or group.
type Settings struct {
	Classes           []policy.ClassSettings
	Plans             []policy.PlanSettings
	HardQuotaSlack    []float64     // by plan, in units
	AnswerGrace       time.Duration // of an answer after the client's deadline
	DrainGrace        time.Duration // of an attempt after the instance had the backend's new state
	TransitSlack      time.Duration // for unobserved transit from an instance to a backend or client
	Cores             float64       // of a backend that has warmed up
	SlowStartShare    float64       // of a backend that starts, as a share
	SlowStartDuration time.Duration
	OverloadMultiple  float64 // of its capacity that a backend bears over the window
	OverloadWindow    time.Duration
	Zone              func(backend int) int
	Group             func(backend int) int
}

// Finding is one violation of a rule; What says in words how it was broken.
type Finding struct {
	Rule        Rule             `json:"rule"`
	At          monotime.Instant `json:"at_ns"` // since the run's start
	Description string           `json:"what"`
}

const (
	// maxFindings bounds how many findings of each rule are reported; later ones are only counted.
	maxFindings = 20
	// retention is how long a submission is remembered after its end. By then no attempt of it is left
	// anywhere.
	retention = 30 * time.Second
)

// attempt is an attempt that arrived at a backend.
type attempt struct {
	backend int
	at      monotime.Instant
	refused bool // the backend proved that it did not run the attempt
}

// submission is what has been seen of a submission.
type submission struct {
	Event
	answeredAt monotime.Instant // when the client had its answer; zero: not yet
	answerDue  bool
	attempts   []attempt
	drawn      bool             // from the hard quota
	endedAt    monotime.Instant // when it was answered or abandoned; zero: not yet
}

// Route is an instance and a backend that it sends to.
type Route struct{ Instance, Backend int }

// Checker finds violations in events that come in order of time.
type Checker struct {
	settings    Settings
	submissions map[SubmissionID]*submission
	ended       []SubmissionID  // in order of their end
	delivered   map[Route]Event // the last EndpointDelivered
	arrivals    map[int][]arrival
	overloaded  map[int]monotime.Instant // by backend, the start after which it was found overloaded
	quotas      map[int]*hardQuota
	findings    []Finding
	counts      [ruleEnd]int
}

// New returns a checker that has seen nothing.
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

// report adds a finding, or only counts it if there are enough of its rule.
func (c *Checker) report(rule Rule, at monotime.Instant, format string, args ...any) {
	c.counts[rule]++
	if c.counts[rule] <= maxFindings {
		what := fmt.Sprintf(format, args...)
		c.findings = append(c.findings, Finding{Rule: rule, At: at, Description: what})
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
		event.At = old.At // the grace counts from the first state that forbids new attempts
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
		c.report(RuleOneAnswer, event.At, "submission %d: its id was used before", event.Submission)
		return
	}
	c.submissions[event.Submission] = &submission{Event: event, answerDue: true}
}

// observeSubmissionEvent checks an event that belongs to a submission.
func (c *Checker) observeSubmissionEvent(event Event) {
	s := c.submissions[event.Submission]
	if s == nil {
		if event.Kind != Abandoned && event.Kind != AttemptRefused {
			c.report(RuleOneAnswer, event.At,
				"submission %d: no client sent it, or it ended long ago", event.Submission)
		}
		return
	}
	switch event.Kind {
	case Succeeded, Rejected, Aborted:
		c.checkAnswer(s, event)
	case Abandoned:
		s.answerDue = false
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
		s.refuseLast(event.Backend)
	}
}

// refuseLast marks the last attempt at a backend as one that the backend proved not to have run.
func (s *submission) refuseLast(backend int) {
	for n := len(s.attempts) - 1; n >= 0; n-- {
		if s.attempts[n].backend == backend && !s.attempts[n].refused {
			s.attempts[n].refused = true
			return
		}
	}
}

func formatMillis(span time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(span)/float64(time.Millisecond))
}

// checkAnswer checks a final answer against the rules of answers and, if it is a rejection, of reruns.
func (c *Checker) checkAnswer(s *submission, event Event) {
	if !s.answeredAt.IsZero() {
		c.report(RuleOneAnswer, event.At, "submission %d: a second final answer", event.Submission)
		return
	}
	late := event.At.Sub(s.Deadline) - c.settings.AnswerGrace
	if s.answerDue && late > 0 {
		c.report(RuleOneAnswer, event.At, "submission %d: answered %s after its deadline and grace",
			event.Submission, formatMillis(late))
	}
	s.answeredAt = event.At
	s.answerDue = false
	c.end(s, event.At)
	if event.Kind == Rejected && !isSafeToRetry(c.settings.Classes[s.Class]) {
		c.checkRejection(s, event)
	}
}

// isSafeToRetry reports whether a request of a class may run again wherever and whenever the client retries.
func isSafeToRetry(class policy.ClassSettings) bool {
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.IdempotentWithKey:
		return class.DedupScope == policy.DedupByAll
	}
	return false
}

// checkRejection reports attempts that may have run if the client may now retry their request.
func (c *Checker) checkRejection(s *submission, event Event) {
	for _, attempt := range s.attempts {
		if !attempt.refused {
			c.report(RuleNoDuplicateExecution, event.At,
				"submission %d: rejected though its attempt at backend %d may have run",
				event.Submission, attempt.backend)
		}
	}
}

// end records, once, that a submission has ended, and forgets submissions that ended long ago.
func (c *Checker) end(s *submission, at monotime.Instant) {
	if !s.endedAt.IsZero() { // its client had left before the answer: it is in the order already
		return
	}
	s.endedAt = at
	c.ended = append(c.ended, s.Submission)
	for len(c.ended) > 0 && at.Sub(c.submissions[c.ended[0]].endedAt) > retention {
		delete(c.submissions, c.ended[0])
		c.ended = c.ended[1:]
	}
}

// End ends the run. It returns the findings in order of time, and the number of violations by rule.
// Submissions past their deadline without an answer are lost.
func (c *Checker) End(at monotime.Instant) (findings []Finding, counts map[string]int) {
	var lost []SubmissionID
	for id, s := range c.submissions {
		if s.answerDue && at.After(s.Deadline.Add(c.settings.AnswerGrace)) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
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
