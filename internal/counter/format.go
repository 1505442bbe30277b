package counter

import (
	"errors"
	"time"

	"fawnplank/policy"
)

// Format is a wire format of the counter service.
type Format uint8

const (
	// Text is a line-based format. A call is the line "bump KEY UNITS LIFETIME-MS", and its answer is "ok TOTAL",
	// "busy" or "error".
	Text Format = iota
	// RESP is the format of services that implement RESP2. A call consists of two commands: INCRBYFLOAT adds the
	// units, and PEXPIRE with NX sets the lifetime of a new count without changing that of an existing one. No
	// script is needed to make them atomic: if the connection ends between them, the next call for the key sets
	// the lifetime.
	RESP
)

func (f Format) String() string {
	if f == Text {
		return "text"
	}
	return "resp"
}

// maxAnswerBytes is the maximum size of an answer, several times the size of a total in any format. A longer
// answer is malformed.
const maxAnswerBytes = 128

// errNoTotal means that an answer contains no valid total. The units may have been added nevertheless.
var errNoTotal = errors.New("answer contains no valid total")

// answerStatus describes what the received bytes begin with.
type answerStatus uint8

const (
	answerIncomplete answerStatus = iota // more bytes are needed
	answerFirstReply                     // the complete first reply of an answer that consists of two
	answerComplete
	answerMalformed // bytes that cannot be the beginning of an answer
)

// answer is the result of parseAnswer.
type answer struct {
	status answerStatus
	size   int // in bytes; 0 unless status is answerFirstReply or answerComplete
	// total or err is the result. It is set only if status is answerComplete.
	total float64
	err   error
}

// increment is what a call adds to a count.
type increment struct {
	key      policy.CounterKey
	units    float64
	lifetime time.Duration // after which the service deletes the count
}

// Both formats write the key in hexadecimal and the lifetime in decimal digits.
const (
	keyBase      = 16
	lifetimeBase = 10
)

// lifetimeMillis returns the lifetime on the wire, in milliseconds. It is rounded up and at least 1, since a
// lifetime of 0 deletes the count at once.
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

// parseAnswer parses the first answer in data. If an answer consists of two replies, pendingReply keeps the first
// reply until the second one is parsed.
func (f Format) parseAnswer(data []byte, pendingReply *respReply) answer {
	if len(data) == 0 {
		return answer{}
	}
	if f == Text {
		return parseTextAnswer(data)
	}
	return parseRESPAnswer(data, pendingReply)
}
