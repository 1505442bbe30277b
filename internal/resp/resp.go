// Package resp parses and checks lines and lengths of the protocol of clients and backends. It checks each
// length before the caller stores or waits for the bytes that the length counts. It holds no bytes and no
// state, so all its functions are safe for concurrent use. It reports input as incomplete only if further
// bytes could complete it. (The parsers of redcon return the same result for incomplete and malformed input,
// and panic on some lengths.)
package resp

import (
	"bytes"
	"strconv"
)

const (
	// MaxValueBytes is the size of the largest value: the protocol says 64 KiB, but the operators' page says that
	// values of up to 4 MiB occur.
	MaxValueBytes = 4 << 20 // bytes
	// maxWords is how many words a command may have; the longest has five.
	maxWords = 16
	// maxLengthLine is the maximum size in bytes of a line that holds a length: it allows more digits than any
	// length needs.
	maxLengthLine = 16
	// lineEnd ends each line and the payload of each bulk string.
	lineEnd = "\r\n"
)

// ProtocolError says why bytes cannot be the beginning of a command.
type ProtocolError struct {
	Reason string // sent to the client as it stands
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol error: " + e.Reason }

// The errors of a command. Their reasons are sent on the wire.
var (
	errArrayExpected = &ProtocolError{Reason: "expected an array of a few words"}
	errWordLength    = &ProtocolError{Reason: "invalid length of a word"}
	errWordEnd       = &ProtocolError{Reason: "a word does not fit its length"}
)

// Line is a line of the protocol. The zero value stands for one that is incomplete.
type Line struct {
	Text []byte // without the line's first byte and its end
	Size int    // of the whole line, in bytes
}

// IsComplete reports whether the line's end has been received.
func (l Line) IsComplete() bool { return l.Size > 0 }

// ParseLine returns the line at the beginning of input. ok is false if input does not begin with a valid line
// or if the line is larger than maxSize bytes.
func ParseLine(input []byte, maxSize int) (line Line, ok bool) {
	end := bytes.IndexByte(input, '\n')
	if end < 0 {
		return Line{}, len(input) <= maxSize
	}
	if end < 2 || end > maxSize || input[end-1] != '\r' { // at least the kind and the carriage return precede it
		return Line{}, false
	}
	return Line{Text: input[1 : end-1], Size: end + 1}, true
}

// Length is a line that holds the length of a bulk string or of an array; -1 is the length of null. The zero
// value stands for a line that is incomplete.
type Length struct {
	Value int
	Size  int // of the line, in bytes
}

// IsComplete reports whether the line's end has been received.
func (l Length) IsComplete() bool { return l.Size > 0 }

// ParseLength returns the length in the line at the beginning of input, which must begin with kind and hold a
// number from -1 to maxValue. ok is false if input can never begin with such a line. input must not be empty.
func ParseLength(input []byte, kind byte, maxValue int) (length Length, ok bool) {
	if input[0] != kind {
		return Length{}, false
	}
	line, ok := ParseLine(input, maxLengthLine)
	if !ok || !line.IsComplete() {
		return Length{}, ok
	}
	value, err := strconv.Atoi(string(line.Text))
	inRange := value >= -1 && value <= maxValue
	return Length{Value: value, Size: line.Size}, err == nil && inRange && line.Text[0] != '+'
}

// ParseCommand returns the words of the command at the beginning of input, and the command's size, which is 0
// while the command is incomplete. The words are slices of input, and the returned slice reuses the memory of
// words. Any error is a *ProtocolError.
func ParseCommand(input []byte, words [][]byte) (size int, _ [][]byte, err error) {
	count, ok := ParseLength(input, '*', maxWords)
	if !ok || count.IsComplete() && count.Value < 1 {
		return 0, nil, errArrayExpected
	}
	if !count.IsComplete() {
		return 0, words[:0], nil
	}
	offset := count.Size
	words = words[:0]
	for len(words) < count.Value {
		word, err := ParseBulkString(input[offset:])
		if err != nil {
			return 0, nil, err
		}
		if !word.IsComplete() {
			return 0, words, nil
		}
		if word.IsNull() {
			return 0, nil, errWordLength
		}
		words = append(words, word.Payload)
		offset += word.Size
	}
	return offset, words, nil
}

// BulkString is a bulk string with its length line. The zero value stands for one that is incomplete.
type BulkString struct {
	Payload []byte // a slice of the parsed input; nil if the bulk string is null
	Size    int    // of the payload with its length line and end, in bytes
}

// IsComplete reports whether the whole bulk string has been received.
func (b BulkString) IsComplete() bool { return b.Size > 0 }

// IsNull reports whether a complete bulk string is null, which is not the same as empty.
func (b BulkString) IsNull() bool { return b.Payload == nil }

// ParseBulkString returns the bulk string at the beginning of input. Its payload may have up to MaxValueBytes bytes.
// Any error is a *ProtocolError and means that input can never begin with a bulk string.
func ParseBulkString(input []byte) (BulkString, error) {
	if len(input) == 0 {
		return BulkString{}, nil
	}
	length, ok := ParseLength(input, '$', MaxValueBytes)
	if !ok {
		return BulkString{}, errWordLength
	}
	if !length.IsComplete() {
		return BulkString{}, nil
	}
	if length.Value < 0 {
		return BulkString{Size: length.Size}, nil
	}
	payloadEnd := length.Size + length.Value
	size := payloadEnd + len(lineEnd)
	if len(input) < size {
		return BulkString{}, nil
	}
	if string(input[payloadEnd:size]) != lineEnd {
		return BulkString{}, errWordEnd
	}
	return BulkString{Payload: input[length.Size:payloadEnd], Size: size}, nil
}
