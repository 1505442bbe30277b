package counter

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
)

const (
	// respTypes are the first bytes of the possible replies: bulk strings, integers, errors and simple strings.
	respTypes = "$:-+"
	// maxBulkHeaderBytes is the length of "$128\r\n". It bounds the header of a bulk string, and so the digits of
	// the announced length. A bulk string that announces more than maxAnswerBytes in as many digits is given up once
	// more than maxAnswerBytes have arrived.
	maxBulkHeaderBytes = 6
	// incrementWords and expiryWords are the number of words of the two commands of a call.
	incrementWords = 3 // INCRBYFLOAT key units
	expiryWords    = 4 // PEXPIRE key lifetime NX
)

// respReply is the first of the two replies to a call: the reply to INCRBYFLOAT.
type respReply struct {
	received bool
	total    float64
	err      error
}

// appendRESPCall appends the two commands of a call.
func appendRESPCall(buf []byte, addition increment) []byte {
	name := strconv.FormatUint(uint64(addition.key), keyBase)
	buf = redcon.AppendArray(buf, incrementWords)
	buf = redcon.AppendBulkString(buf, "INCRBYFLOAT")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatFloat(addition.units, 'f', -1, float64Bits))
	buf = redcon.AppendArray(buf, expiryWords)
	buf = redcon.AppendBulkString(buf, "PEXPIRE")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatInt(addition.lifetimeMillis(), lifetimeBase))
	return redcon.AppendBulkString(buf, "NX")
}

// parseRESPAnswer parses one reply. It stores the first reply of an answer in pending. The second reply
// completes the answer, whatever it says.
func parseRESPAnswer(data []byte, pending *respReply) answer {
	if !startsWithShortLine(data) {
		return unfinishedReply(data)
	}
	size, reply := redcon.ReadNextRESP(data)
	if size == 0 {
		if len(data) > maxAnswerBytes || data[0] != '$' {
			return answer{status: answerMalformed}
		}
		return answer{status: answerIncomplete}
	}
	if !pending.received {
		pending.received = true
		pending.total, pending.err = respTotal(reply)
		return answer{status: answerPart, size: size}
	}
	first := *pending
	*pending = respReply{}
	return answer{status: answerComplete, size: size, total: first.total, err: first.err}
}

// startsWithShortLine reports whether a reply's first line has arrived and is not too long.
func startsWithShortLine(data []byte) bool {
	end := bytes.IndexByte(data, '\n')
	if end < 0 || end > maxAnswerBytes {
		return false
	}
	return data[0] != '$' || end < maxBulkHeaderBytes
}

// unfinishedReply returns the answer for a reply whose first line has not arrived or is too long.
func unfinishedReply(data []byte) answer {
	tooLong := len(data) > maxAnswerBytes || data[0] == '$' && len(data) > maxBulkHeaderBytes
	if tooLong || bytes.IndexByte([]byte(respTypes), data[0]) < 0 {
		return answer{status: answerMalformed}
	}
	return answer{status: answerIncomplete}
}

// respTotal returns the total in the reply to INCRBYFLOAT, or an error if there is none.
func respTotal(reply redcon.RESP) (float64, error) {
	if reply.Type == redcon.Error { // the command was refused, and nothing was added
		return 0, dispatch.ErrRejected
	}
	total, err := strconv.ParseFloat(string(reply.Data), float64Bits)
	if err != nil || reply.Type != redcon.Bulk || !isFinite(total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}
