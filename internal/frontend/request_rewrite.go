package frontend

import (
	"bytes"
	"strconv"
	"time"
)

// integerLineBytes is enough for the decimal digits of any 64-bit integer, its sign, and the end of its line.
const integerLineBytes = 24

// span is a part of a command: begin is the index of its first byte, end the index after its last.
type span struct {
	begin int
	end   int
}

func (s span) size() int { return s.end - s.begin }

// spanOf returns the position of part in raw. part must be a slice of raw whose capacity ends where raw's
// does.
func spanOf(raw, part []byte) span {
	begin := cap(raw) - cap(part)
	return span{begin: begin, end: begin + len(part)}
}

// rewritten returns the command with the value of d replaced by remaining, which is how long the dispatcher
// waits for the attempt, in whole milliseconds but at least one. The command is returned in pieces to be written one
// after another.
func (p *pendingCommand) rewritten(remaining time.Duration) [][]byte {
	milliseconds := max(int64(remaining/time.Millisecond), 1)
	value := strconv.AppendInt(make([]byte, 0, integerLineBytes), milliseconds, decimalBase)
	fieldsSize := p.fields.size() + len(value) - p.remaining.size()
	sizeLine := strconv.AppendInt(make([]byte, 0, integerLineBytes), int64(fieldsSize), decimalBase)
	sizeLine = append(sizeLine, "\r\n"...)
	// The line with the size of the fields begins at its dollar sign and ends immediately before the fields.
	dollar := bytes.LastIndexByte(p.raw[:p.fields.begin], '$')
	before := p.raw[p.fields.begin:p.remaining.begin]
	after := p.raw[p.remaining.end:]
	return [][]byte{p.raw[:dollar+1], sizeLine, before, value, after}
}
