package invariants

import (
	"fmt"

	"fawnplank/internal/monotime"
	"fawnplank/policy"
)

// SubmissionID identifies one submission of a request by a client to a gateway instance. A client's retry has
// another one.
type SubmissionID uint64

// Kind says what happened.
type Kind uint8

// The kinds of event.
const (
	Submitted         Kind = iota // a client wrote a whole request to an instance
	Succeeded                     // the client had the backend's answer
	Rejected                      // the client was answered that a retry does no harm
	Aborted                       // any other final answer
	Abandoned                     // the client gave up, or its instance died: no answer is due
	AttemptSent                   // an instance sent an attempt; only the model sees this
	AttemptArrived                // a whole attempt arrived at a backend
	AttemptRefused                // the backend proved that it did not run the attempt
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

// Event is one thing that was seen. Only the fields of its kind are read. Instances, backends, tenants, classes
// and plans are numbered from 0.
type Event struct {
	At          monotime.Instant // on one clock for all events
	Kind        Kind
	Submission  SubmissionID
	Instance    int
	Backend     int
	Tenant      int
	Class       int
	Plan        int
	Units       float64
	Due         monotime.Instant     // Submitted: when it was due; latencies count from here
	IsRetry     bool                 // Submitted
	Deadline    monotime.Instant     // Submitted: until when the client waits
	State       policy.EndpointState // EndpointDelivered
	StartedAt   monotime.Instant     // EndpointDelivered, AttemptArrived: of the backend; zero: long ago
	WorkSeconds float64              // AttemptArrived: time of one core that the attempt costs
}
