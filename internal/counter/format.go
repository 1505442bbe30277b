package counter

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// Format is how the counter is spoken to.
type Format uint8

const (
	// Text is the platform's: a line "bump NAME UNITS LIFE-MS", answered "ok TOTAL", "busy" or "error".
	Text Format = iota
	// RESP is for counters that speak RESP2: INCRBYFLOAT adds, and PEXPIRE with NX gives a new name its life
	// and leaves an old one's alone. Two commands and no script: if the connection ends between them, the next
	// call to the name gives it its life.
	RESP
)

// write appends one call.
func (f Format) write(buf []byte, name policy.CounterKey, units float64, lifetime time.Duration) []byte {
	ms := max(int64((lifetime+999_999)/1_000_000), 1)
	if f == Text {
		buf = append(buf, "bump "...)
		buf = strconv.AppendUint(buf, uint64(name), 16)
		buf = append(buf, ' ')
		buf = strconv.AppendFloat(buf, units, 'f', -1, 64)
		buf = append(buf, ' ')
		buf = strconv.AppendInt(buf, ms, 10)
		return append(buf, "\r\n"...)
	}
	key := strconv.FormatUint(uint64(name), 16)
	buf = redcon.AppendArray(buf, 3)
	buf = redcon.AppendBulkString(buf, "INCRBYFLOAT")
	buf = redcon.AppendBulkString(buf, key)
	buf = redcon.AppendBulkString(buf, strconv.FormatFloat(units, 'f', -1, 64))
	buf = redcon.AppendArray(buf, 4)
	buf = redcon.AppendBulkString(buf, "PEXPIRE")
	buf = redcon.AppendBulkString(buf, key)
	buf = redcon.AppendBulkString(buf, strconv.FormatInt(ms, 10))
	return redcon.AppendBulkString(buf, "NX")
}

// next gives the length of the first whole answer in buf, and what it means; 0 says that more must come. spoilt says
// that what is there can never become an answer. half is how far a line is within an answer of two replies.
func (f Format) next(buf []byte, half *reply) (size int, done, spoilt bool, total float64, err error) {
	if len(buf) == 0 {
		return 0, false, false, 0, nil
	}
	if f == Text {
		end := bytes.IndexByte(buf, '\n')
		if end < 0 {
			return 0, false, len(buf) > longestAnswer || bytes.IndexByte([]byte("obe"), buf[0]) < 0, 0, nil
		}
		total, err = meaning(bytes.TrimSuffix(buf[:end], []byte("\r")))
		return end + 1, true, false, total, err
	}
	end := bytes.IndexByte(buf, '\n')
	if end < 0 || buf[0] == '$' && end > 5 || end > longestAnswer {
		return 0, false, len(buf) > longestAnswer || buf[0] == '$' && len(buf) > 6 || bytes.IndexByte([]byte("$:-+"), buf[0]) < 0, 0, nil
	}
	size, got := redcon.ReadNextRESP(buf)
	if size == 0 {
		return 0, false, len(buf) > longestAnswer || buf[0] != '$', 0, nil
	}
	if !half.there { // the first of the two: the total
		half.there = true
		half.total, half.err = sum(got)
		return size, false, false, 0, nil
	}
	*half, total, err = reply{}, half.total, half.err
	return size, true, false, total, err
}

// reply is the first of the two replies of a call in RESP.
type reply struct {
	there bool
	total float64
	err   error
}

func sum(got redcon.RESP) (float64, error) {
	if got.Type == redcon.Error { // not added: the command was turned down
		return 0, dispatch.ErrRejected
	}
	total, err := strconv.ParseFloat(string(got.Data), 64)
	if err != nil || got.Type != redcon.Bulk || math.IsNaN(total-total) {
		return 0, &dispatch.NetworkError{Progress: dispatch.Answering, Err: errNoTotal}
	}
	return total, nil
}
