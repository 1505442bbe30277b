package counter

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

const (
	// respTypes are the first bytes of the replies that may come: bulk strings, integers, errors and simple
	// strings.
	respTypes = "$:-+"
	// maxBulkHeaderBytes is the length of "$128\r\n". A bulk string that announces more than maxAnswerBytes,
	// or takes more digits to announce its length, is not waited for.
	maxBulkHeaderBytes = 6
)

// respReply is the first of the two replies to a call, that of INCRBYFLOAT.
type respReply struct {
	received bool
	total    float64
	err      error
}

func appendRESPCall(buf []byte, key policy.CounterKey, units float64, lifetimeMillis int64) []byte {
	name := strconv.FormatUint(uint64(key), 16)
	buf = redcon.AppendArray(buf, 3)
	buf = redcon.AppendBulkString(buf, "INCRBYFLOAT")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatFloat(units, 'f', -1, 64))
	buf = redcon.AppendArray(buf, 4)
	buf = redcon.AppendBulkString(buf, "PEXPIRE")
	buf = redcon.AppendBulkString(buf, name)
	buf = redcon.AppendBulkString(buf, strconv.FormatInt(lifetimeMillis, 10))
	return redcon.AppendBulkString(buf, "NX")
}

// parseRESPAnswer parses one reply. The first of an answer is stored in pending; with the second the answer
// is complete, whatever the second says.
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

// startsWithShortLine reports whether a reply's first line is there, and no longer than it may be.
func startsWithShortLine(data []byte) bool {
	end := bytes.IndexByte(data, '\n')
	if end < 0 || end > maxAnswerBytes {
		return false
	}
	return data[0] != '$' || end < maxBulkHeaderBytes
}

// unfinishedReply is the answer where a reply's first line is not there, or is too long.
func unfinishedReply(data []byte) answer {
	tooLong := len(data) > maxAnswerBytes || data[0] == '$' && len(data) > maxBulkHeaderBytes
	if tooLong || bytes.IndexByte([]byte(respTypes), data[0]) < 0 {
		return answer{status: answerMalformed}
	}
	return answer{status: answerIncomplete}
}

// respTotal returns the total of the reply to INCRBYFLOAT, or why there is none.
func respTotal(reply redcon.RESP) (float64, error) {
	if reply.Type == redcon.Error { // the command was refused, and nothing added
		return 0, dispatch.ErrRejected
	}
	total, err := strconv.ParseFloat(string(reply.Data), 64)
	if err != nil || reply.Type != redcon.Bulk || !isFinite(total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}
