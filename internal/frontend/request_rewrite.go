package frontend

import (
	"bytes"
	"strconv"
	"time"
)

// maxIntegerLineBytes is sufficient for the decimal digits of any 64-bit integer, a sign and a line end.
const maxIntegerLineBytes = 24

// span is a range of bytes in a command: begin is the index of the first byte, end the index after the last byte.
type span struct {
	begin int
	end   int
}

func (s span) size() int { return s.end - s.begin }

// spanOf returns the position of part in raw. part must be a slice of raw whose capacity ends where the capacity of raw
// ends.
func spanOf(raw, part []byte) span {
	begin := cap(raw) - cap(part)
	return span{begin: begin, end: begin + len(part)}
}

// Parts implements backend.Command. It returns the command with the value of d replaced by remaining, the time for
// which the dispatcher waits for the attempt. The value is in whole milliseconds and at least 1.
func (p *pendingCommand) Parts(remaining time.Duration) [][]byte {
	p.attemptBegun.Store(true)
	milliseconds := max(int64(remaining/time.Millisecond), 1)
	value := strconv.AppendInt(make([]byte, 0, maxIntegerLineBytes), milliseconds, decimalBase)
	fieldsLength := p.fields.size() + len(value) - p.remaining.size()
	lengthLine := strconv.AppendInt(make([]byte, 0, maxIntegerLineBytes), int64(fieldsLength), decimalBase)
	lengthLine = append(lengthLine, "\r\n"...)
	// The line with the length of the fields begins with a dollar sign and ends immediately before the fields.
	dollar := bytes.LastIndexByte(p.raw[:p.fields.begin], '$')
	before := p.raw[p.fields.begin:p.remaining.begin]
	after := p.raw[p.remaining.end:]
	return [][]byte{p.raw[:dollar+1], lengthLine, before, value, after}
}

// Size implements backend.Command.
func (p *pendingCommand) Size() int { return len(p.raw) }
