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
	// MaxValue is the size of the largest value: the protocol says 64 KiB, but the operators' page says that
	// values of up to 4 MiB occur.
	MaxValue = 4 << 20
	// maxWords is how many words a command may have; the longest has five.
	maxWords = 16
	// maxLengthLine is the maximum size of a line that holds a length: it allows more digits than any length
	// needs.
	maxLengthLine = 16
)

// ProtocolError says why bytes cannot be the beginning of a command.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "protocol error: " + e.Reason }

// The errors of a command. Their reasons are sent on the wire.
var (
	errArrayExpected = &ProtocolError{"expected an array of a few words"}
	errWordLength    = &ProtocolError{"invalid length of a word"}
	errWordEnd       = &ProtocolError{"a word does not fit its length"}
)

// Line is a line of the protocol. The zero value stands for one that is incomplete.
type Line struct {
	Text []byte // without the line's first byte and its end
	Size int    // of the whole line, in bytes
}

// IsComplete reports whether the line's end has been received.
func (l Line) IsComplete() bool { return l.Size > 0 }

// ParseLine returns the line at the beginning of input. ok is false if input does not begin with a valid line
// or if the line is larger than maxSize.
func ParseLine(input []byte, maxSize int) (line Line, ok bool) {
	end := bytes.IndexByte(input, '\n')
	if end < 0 {
		return Line{}, len(input) <= maxSize
	}
	if end < 2 || end > maxSize || input[end-1] != '\r' {
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

// Command returns the words of the command at the beginning of input, and the command's size, which is 0
// while the command is incomplete. The words are slices of input, and the returned slice reuses the memory of
// words. Any error is a *ProtocolError.
func Command(input []byte, words [][]byte) (size int, _ [][]byte, err error) {
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
		word, wordSize, err := bulkString(input[offset:])
		if err != nil {
			return 0, nil, err
		}
		if wordSize == 0 {
			return 0, words, nil
		}
		words = append(words, word)
		offset += wordSize
	}
	return offset, words, nil
}

// bulkString returns the word at the beginning of input, and its size including its length line, which is 0
// while the word is incomplete.
func bulkString(input []byte) (word []byte, size int, err error) {
	if len(input) == 0 {
		return nil, 0, nil
	}
	length, ok := ParseLength(input, '$', MaxValue)
	if !ok || length.Value < 0 {
		return nil, 0, errWordLength
	}
	end := length.Size + length.Value + len("\r\n")
	if !length.IsComplete() || len(input) < end {
		return nil, 0, nil
	}
	if string(input[end-2:end]) != "\r\n" {
		return nil, 0, errWordEnd
	}
	return input[length.Size : end-2], end, nil
}
