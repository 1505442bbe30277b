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

// Line returns the text of the line at the beginning of b, without the line's first byte, and the size of the
// whole line, which is 0 while the line is incomplete. ok is false if b does not begin with a valid line or
// if the line is larger than maxSize.
func Line(b []byte, maxSize int) (text []byte, size int, ok bool) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return nil, 0, len(b) <= maxSize
	}
	if end < 2 || end > maxSize || b[end-1] != '\r' {
		return nil, 0, false
	}
	return b[1 : end-1], end + 1, true
}

// Length returns the number in the line at the beginning of b, which must begin with kind and hold a number
// from -1 to maxValue. It also returns the size of the line, which is 0 while the line is incomplete. ok is
// false if b does not begin with such a line.
func Length(b []byte, kind byte, maxValue int) (value, size int, ok bool) {
	if b[0] != kind {
		return 0, 0, false
	}
	text, size, ok := Line(b, maxLengthLine)
	if !ok || size == 0 {
		return 0, 0, ok
	}
	value, err := strconv.Atoi(string(text))
	inRange := value >= -1 && value <= maxValue
	return value, size, err == nil && inRange && text[0] != '+'
}

// Command returns the words of the command at the beginning of b, and the command's size, which is 0 while
// the command is incomplete. The words are slices of b, and the returned slice reuses the memory of words.
// Any error is a *ProtocolError.
func Command(b []byte, words [][]byte) (size int, _ [][]byte, err error) {
	count, at, ok := Length(b, '*', maxWords)
	if !ok || at > 0 && count < 1 {
		return 0, nil, errArrayExpected
	}
	if at == 0 {
		return 0, words[:0], nil
	}
	words = words[:0]
	for len(words) < count {
		word, wordSize, err := bulkString(b[at:])
		if err != nil {
			return 0, nil, err
		}
		if wordSize == 0 {
			return 0, words, nil
		}
		words = append(words, word)
		at += wordSize
	}
	return at, words, nil
}

// bulkString returns the word at the beginning of b, and its size including its length line, which is 0 while
// the word is incomplete.
func bulkString(b []byte) (word []byte, size int, err error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	length, start, ok := Length(b, '$', MaxValue)
	if !ok || length < 0 {
		return nil, 0, errWordLength
	}
	end := start + length + len("\r\n")
	if start == 0 || len(b) < end {
		return nil, 0, nil
	}
	if string(b[end-2:end]) != "\r\n" {
		return nil, 0, errWordEnd
	}
	return b[start : end-2], end, nil
}
