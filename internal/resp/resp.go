// Package resp judges lines and lengths of the protocol of clients and backends, each before what it counts
// is stored or waited for. It holds no bytes and no state, so all of it is safe for concurrent use, and it
// accepts nothing that could not be completed by bytes that have not come yet. (The parsers of redcon give
// one answer for both incomplete and malformed input, and panic on some lengths.)
package resp

import (
	"bytes"
	"strconv"
)

const (
	// MaxValue is the size of the largest value: the protocol says 64 KiB, the operators' page that values of
	// up to 4 MiB occur.
	MaxValue = 4 << 20
	// maxWords is how many words a command may have: the longest has five.
	maxWords = 16
	// maxLengthLine is the size of the longest line that holds a length: more digits than any length needs.
	maxLengthLine = 16
)

// ProtocolError says why bytes cannot be the beginning of a command.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return "protocol error: " + e.Reason }

// The faults of a command. Their reasons leave on the wire.
var (
	errArrayExpected = &ProtocolError{"expected an array of a few words"}
	errWordLength    = &ProtocolError{"invalid length of a word"}
	errWordEnd       = &ProtocolError{"a word does not fit its length"}
)

// Line returns the text of the line that b begins with, behind the line's first byte, and the size of the
// whole line, 0 where its end has not come. False says that it is no line, or larger than maxSize.
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

// Length returns the number of the line that b begins with, which must begin with kind and hold a number from
// -1 to maxValue, and the size of the line, 0 where its end has not come. False says that it is no such line.
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

// Command returns the words of the command that b begins with, as parts of b in the memory of words, and the
// command's size, 0 where it is not whole. An error is a *ProtocolError.
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

// bulkString returns the word that b begins with, and its size with its length line, 0 where it is not whole.
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
