package invariants

import (
	"fmt"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// SubmissionID identifies one submission of a request by a client to a gateway instance. Each retry by the client
// is a submission with an ID of its own.
type SubmissionID uint64

// Kind is the kind of an event.
type Kind uint8

// The kinds of event.
const (
	Submitted         Kind = iota // a client sent a complete request to an instance
	Succeeded                     // the client received the backend's answer
	Rejected                      // the client received an answer that permits a retry
	Aborted                       // the client received any other final answer
	Abandoned                     // the client gave up or its instance died, so no answer is due
	AttemptSent                   // an instance sent an attempt; observed only in the model
	AttemptArrived                // a complete attempt arrived at a backend
	AttemptRefused                // the backend confirmed that it did not run the attempt
	EndpointDelivered             // discovery delivered a backend's state to an instance
	InstanceDied
)

var kindNames = [...]string{
	Submitted:         "submitted",
	Succeeded:         "succeeded",
	Rejected:          "rejected",
	Aborted:           "aborted",
	Abandoned:         "abandoned",
	AttemptSent:       "attempt sent",
	AttemptArrived:    "attempt arrived",
	AttemptRefused:    "attempt refused",
	EndpointDelivered: "endpoint delivered",
	InstanceDied:      "instance died",
}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("Kind(%d)", uint8(k))
}

// Event is one observation. Which fields are used depends on its kind. Instances, backends, tenants, classes and
// plans are numbered from 0.
type Event struct {
	At          monotime.Instant // all events of a run are timed by the same clock
	Kind        Kind
	Submission  SubmissionID
	Instance    int
	Backend     int
	Tenant      int
	Class       int
	Plan        int
	Units       float64
	Due         monotime.Instant     // Submitted: scheduled time of sending, from which latencies are measured
	IsRetry     bool                 // Submitted
	Deadline    monotime.Instant     // Submitted: until when the client waits for the answer
	State       policy.EndpointState // EndpointDelivered
	StartedAt   monotime.Instant     // EndpointDelivered, AttemptArrived: start of the backend; zero: long before the run
	WorkSeconds float64              // AttemptArrived: core-seconds of work that the attempt needs
}
