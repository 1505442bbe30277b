package counter

import (
	"bytes"
	"math"
	"strconv"

	"fawnplank/internal/dispatch"
)

// textAnswerStarts contains the first bytes of the possible answers: ok, busy and error.
const textAnswerStarts = "obe"

// float64Bits is the bit size that strconv needs to format and parse units exactly.
const float64Bits = 64

// appendTextCall appends the line of a call.
func appendTextCall(buf []byte, addition increment) []byte {
	buf = append(buf, "bump "...)
	buf = strconv.AppendUint(buf, uint64(addition.key), keyBase)
	buf = append(buf, ' ')
	buf = strconv.AppendFloat(buf, addition.units, 'f', -1, float64Bits)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, addition.lifetimeMillis(), lifetimeBase)
	return append(buf, "\r\n"...)
}

// parseTextAnswer parses a line. A line that cannot become an answer is malformed even before its end has arrived.
func parseTextAnswer(data []byte) answer {
	end := bytes.IndexByte(data, '\n')
	if end >= 0 {
		total, err := parseTextTotal(bytes.TrimSuffix(data[:end], []byte("\r")))
		return answer{status: answerComplete, size: end + 1, total: total, err: err}
	}
	if len(data) > maxAnswerBytes || bytes.IndexByte([]byte(textAnswerStarts), data[0]) < 0 {
		return answer{status: answerMalformed}
	}
	return answer{status: answerIncomplete}
}

// parseTextTotal returns the total in a line, or an error if there is none. After an invalid line, it is unknown
// whether the units have been added.
func parseTextTotal(line []byte) (float64, error) {
	switch string(line) {
	case "busy", "error":
		return 0, dispatch.ErrRejected
	}
	digits, ok := bytes.CutPrefix(line, []byte("ok "))
	total, err := strconv.ParseFloat(string(digits), float64Bits)
	if err != nil || !ok || !isFinite(total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
