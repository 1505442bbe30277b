package backend

import "fmt"

// connState is what a connection is currently used for. The doc comment of conn has the table of transitions.
type connState uint8

const (
	// stateReserved: one goroutine owns the connection: either it got the connection to write an attempt, or it
	// is the reader, about to close it.
	stateReserved connState = iota
	// stateIdle: the connection is in its endpoint's idle pool.
	stateIdle
	// stateWriting: an attempt is being written. Only its writer knows how much was written, and the writer
	// reports the result.
	stateWriting
	// stateAwaitingResponse: the attempt is completely written. The reader reports the result.
	stateAwaitingResponse
	// stateRespondedEarly: the response arrived before the writer was done. The connection becomes idle when the
	// writer is done.
	stateRespondedEarly
	// stateAbandoned: the attempt was given up. The reader discards whatever arrives of its response, then closes
	// the connection.
	stateAbandoned
	// stateClosedInWrite: the connection was closed while an attempt was being written. The writer still reports
	// the result. This state is final.
	stateClosedInWrite
	// stateClosed: the connection has ended. This state is final.
	stateClosed
)

func (s connState) String() string {
	switch s {
	case stateReserved:
		return "reserved"
	case stateIdle:
		return "idle"
	case stateWriting:
		return "writing"
	case stateAwaitingResponse:
		return "awaiting response"
	case stateRespondedEarly:
		return "responded early"
	case stateAbandoned:
		return "abandoned"
	case stateClosedInWrite:
		return "closed in write"
	case stateClosed:
		return "closed"
	}
	return fmt.Sprintf("connState(%d)", uint8(s))
}

// isClosed reports whether the connection has ended.
func (s connState) isClosed() bool { return s == stateClosedInWrite || s == stateClosed }

// afterResponse says what becomes of a connection after a response.
type afterResponse uint8

const (
	connectionReusable afterResponse = iota // it may carry another attempt
	connectionEnds                          // its reader closes it
)

func (a afterResponse) String() string {
	if a == connectionReusable {
		return "reusable"
	}
	return "ends"
}
