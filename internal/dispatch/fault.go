package dispatch

import (
	"errors"
	"fmt"

	"fawnplank/policy"
)

// This file holds the errors of the network as values. It must only translate them.

// Stage is how far a shot or a call had come.
type Stage uint8

const (
	Dialling  Stage = iota
	Writing         // some of it, perhaps
	Written         // its last byte
	Answering       // some of the answer had come
)

func (s Stage) String() string {
	return [...]string{"dialling", "writing", "written", "answering"}[s]
}

// Fault is a failure of the network, with how far the shot had come.
type Fault struct {
	Came Stage
	Err  error
}

func (e *Fault) Error() string { return fmt.Sprintf("%s: %v", e.Came, e.Err) }
func (e *Fault) Unwrap() error { return e.Err }

var (
	// TurnedAway is the answer that proves that nothing ran.
	TurnedAway = errors.New("turned away")
	// Answered is an answer with an error, or with anything that has no meaning.
	Answered = errors.New("answered with an error")
	// Unanswered is a call or a probe that nothing came back for.
	Unanswered = errors.New("no answer in time")
)

// outcome is what an error says of whether the shot has run.
func outcome(err error) policy.Outcome {
	if err == nil {
		return policy.Fulfilled
	}
	var fault *Fault
	switch {
	case errors.Is(err, TurnedAway):
		return policy.Rejected
	case errors.Is(err, Answered):
		return policy.Errored
	case errors.Is(err, Unanswered):
		return policy.TimedOut
	case errors.As(err, &fault) && fault.Came < Written:
		return policy.Unreached
	}
	return policy.CutOff
}
