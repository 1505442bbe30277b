package counter

import (
	"errors"
	"time"

	"fawnplank/policy"
)

// Format is a wire format of the counter service.
type Format uint8

const (
	// Text is the platform's own format: a line "bump KEY UNITS LIFETIME-MS", answered with "ok TOTAL", "busy"
	// or "error".
	Text Format = iota
	// RESP is for services that speak RESP2: INCRBYFLOAT adds the units, and PEXPIRE with NX sets the lifetime
	// of a new count without changing that of an existing one. These are two commands and not a script: if the
	// connection ends between them, the next call for the key sets the lifetime.
	RESP
)

func (f Format) String() string {
	if f == Text {
		return "text"
	}
	return "resp"
}

// maxAnswerBytes is several times the size of a total in any format. A longer answer is malformed.
const maxAnswerBytes = 128

// errNoTotal means that an answer has no total, but does not prove that nothing was added.
var errNoTotal = errors.New("no total")

// answerStatus describes the beginning of the received bytes.
type answerStatus uint8

const (
	answerIncomplete answerStatus = iota // more bytes are needed
	answerPart                           // a complete reply, but not the last one of its answer
	answerComplete
	answerMalformed // these bytes can never become an answer
)

// answer is the result of parseAnswer.
type answer struct {
	status answerStatus
	size   int // in bytes; 0 unless status is answerPart or answerComplete
	// total or err is the result in a complete answer.
	total float64
	err   error
}

// increment is what a call adds to a count.
type increment struct {
	key      policy.CounterKey
	units    float64
	lifetime time.Duration // after which the service deletes the count
}

// Both formats have the key in hexadecimal digits and the lifetime in decimal ones.
const (
	keyBase      = 16
	lifetimeBase = 10
)

// lifetimeMillis returns the lifetime on the wire, in milliseconds: rounded up and above 0, since a lifetime of 0
// deletes the count at once.
func (i increment) lifetimeMillis() int64 {
	roundedUp := i.lifetime + time.Millisecond - 1
	return max(int64(roundedUp/time.Millisecond), 1)
}

// appendCall appends the encoding of one call to buf.
func (f Format) appendCall(buf []byte, addition increment) []byte {
	if f == Text {
		return appendTextCall(buf, addition)
	}
	return appendRESPCall(buf, addition)
}

// parseAnswer parses the first answer in data. If an answer consists of two replies, pending carries the
// first one to the call that parses the second.
func (f Format) parseAnswer(data []byte, pending *respReply) answer {
	if len(data) == 0 {
		return answer{}
	}
	if f == Text {
		return parseTextAnswer(data)
	}
	return parseRESPAnswer(data, pending)
}
