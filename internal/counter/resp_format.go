package counter

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
)

const (
	// respTypes contains the first bytes of the possible replies: bulk strings, integers, errors and simple strings.
	respTypes = "$:-+"
	// maxBulkHeaderBytes is the length of "$128\r\n". It limits the header of a bulk string, and with it the number
	// of digits of the announced length. A bulk string that announces more than maxAnswerBytes in as many digits
	// is malformed once more than maxAnswerBytes have arrived.
	maxBulkHeaderBytes = 6
	// incrementArgs and expiryArgs are the array lengths of the two commands of a call, command names included.
	incrementArgs = 3 // INCRBYFLOAT key units
	expiryArgs    = 4 // PEXPIRE key lifetime NX
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
	buf = redcon.AppendArray(buf, incrementArgs)
	buf = redcon.AppendBulkString(buf, "INCRBYFLOAT")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatFloat(addition.units, 'f', -1, float64Bits))
	buf = redcon.AppendArray(buf, expiryArgs)
	buf = redcon.AppendBulkString(buf, "PEXPIRE")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatInt(addition.lifetimeMillis(), lifetimeBase))
	return redcon.AppendBulkString(buf, "NX")
}

// parseRESPAnswer parses one reply. It stores the first reply of an answer in pendingReply. The second reply
// completes the answer, whatever its content.
func parseRESPAnswer(data []byte, pendingReply *respReply) answer {
	if !hasValidFirstLine(data) {
		return parseWithoutFirstLine(data)
	}
	size, reply := redcon.ReadNextRESP(data)
	if size == 0 {
		if len(data) > maxAnswerBytes || data[0] != '$' {
			return answer{status: answerMalformed}
		}
		return answer{status: answerIncomplete}
	}
	if !pendingReply.received {
		pendingReply.received = true
		pendingReply.total, pendingReply.err = respTotal(reply)
		return answer{status: answerFirstReply, size: size}
	}
	firstReply := *pendingReply
	*pendingReply = respReply{}
	return answer{status: answerComplete, size: size, total: firstReply.total, err: firstReply.err}
}

// hasValidFirstLine reports whether a reply's first line has arrived completely and is not too long.
func hasValidFirstLine(data []byte) bool {
	end := bytes.IndexByte(data, '\n')
	if end < 0 || end > maxAnswerBytes {
		return false
	}
	return data[0] != '$' || end < maxBulkHeaderBytes
}

// parseWithoutFirstLine returns the answer for a reply whose first line is incomplete or too long.
func parseWithoutFirstLine(data []byte) answer {
	tooLong := len(data) > maxAnswerBytes || data[0] == '$' && len(data) > maxBulkHeaderBytes
	if tooLong || bytes.IndexByte([]byte(respTypes), data[0]) < 0 {
		return answer{status: answerMalformed}
	}
	return answer{status: answerIncomplete}
}

// respTotal returns the total in the reply to INCRBYFLOAT, or an error if there is none.
func respTotal(reply redcon.RESP) (float64, error) {
	if reply.Type == redcon.Error { // the service rejected the command and added nothing
		return 0, dispatch.ErrRejected
	}
	total, err := strconv.ParseFloat(string(reply.Data), float64Bits)
	if err != nil || reply.Type != redcon.Bulk || !isFinite(total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}
