package backend

import "fmt"

// connState is the state of a connection. The doc comment of conn has the table of transitions.
type connState uint8

const (
	// stateReserved: one goroutine owns the connection. Either that goroutine has acquired the connection to write
	// an attempt, or it is the reader, about to close the connection.
	stateReserved connState = iota
	// stateIdle: the connection is one of its endpoint's idle connections.
	stateIdle
	// stateWriting: an attempt is being written. Only the writer can tell how much was written, so the writer
	// reports the result.
	stateWriting
	// stateAwaitingResponse: the attempt is completely written. The reader reports the result.
	stateAwaitingResponse
	// stateRespondedEarly: the response arrived before the writer was done. The connection becomes idle when the
	// writer is done.
	stateRespondedEarly
	// stateAbandoned: the attempt was abandoned. The reader discards the response, then closes the connection.
	stateAbandoned
	// stateClosedWhileWriting: the connection was closed while an attempt was being written. The writer still reports
	// the result. This state is final.
	stateClosedWhileWriting
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
	case stateClosedWhileWriting:
		return "closed while writing"
	case stateClosed:
		return "closed"
	}
	return fmt.Sprintf("connState(%d)", uint8(s))
}

// isClosed reports whether the connection is closed.
func (s connState) isClosed() bool { return s == stateClosedWhileWriting || s == stateClosed }

// afterResponse says whether a connection can be reused after a response.
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
