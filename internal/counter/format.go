package counter

import (
	"errors"
	"time"

	"fawnplank/policy"
)

// Format is how the service is spoken to.
type Format uint8

const (
	// Text is the platform's own: a line "bump KEY UNITS LIFETIME-MS", answered "ok TOTAL", "busy" or
	// "error".
	Text Format = iota
	// RESP is for services that speak RESP2: INCRBYFLOAT adds, and PEXPIRE with NX gives a new number its
	// lifetime and leaves an old one's alone. These are two commands and no script: if the connection ends
	// between them, the next call for the key sets the lifetime.
	RESP
)

func (f Format) String() string {
	if f == Text {
		return "text"
	}
	return "resp"
}

// maxAnswerBytes is several times a total in any format. A longer answer is malformed.
const maxAnswerBytes = 128

// errNoTotal is an answer without a total that does not prove that nothing was added either.
var errNoTotal = errors.New("no total")

// answerStatus is what stands at the beginning of the bytes received.
type answerStatus uint8

const (
	answerIncomplete answerStatus = iota // more must come
	answerPart                           // a whole reply, but not the last of its answer
	answerComplete
	answerMalformed // what can never become an answer
)

// answer is what parseAnswer found.
type answer struct {
	status answerStatus
	size   int // in bytes; 0 unless it is a part or complete
	// total or err is the meaning of a complete answer.
	total float64
	err   error
}

// appendCall appends one call to buf.
func (f Format) appendCall(buf []byte, key policy.CounterKey, units float64, lifetime time.Duration) []byte {
	lifetimeMillis := max(int64((lifetime+time.Millisecond-1)/time.Millisecond), 1)
	if f == Text {
		return appendTextCall(buf, key, units, lifetimeMillis)
	}
	return appendRESPCall(buf, key, units, lifetimeMillis)
}

// parseAnswer parses the first answer in data. pending carries the first of an answer's replies to the call
// that parses the second.
func (f Format) parseAnswer(data []byte, pending *respReply) answer {
	if len(data) == 0 {
		return answer{}
	}
	if f == Text {
		return parseTextAnswer(data)
	}
	return parseRESPAnswer(data, pending)
}
