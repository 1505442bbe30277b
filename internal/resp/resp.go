// Package resp judges lines and lengths of the clients' and backends' protocol, each before what it counts is
// kept or waited for. It must never hold bytes, and never take what cannot be meant for what has not come yet.
// (The parsers of redcon give one answer for both, and panic on some lengths.)
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxValue is the largest value: the protocol says 64 KiB, the operators' page that values of up to 4 MiB
// occur.
const MaxValue = 4 << 20

// Line gives the text of a line behind its first byte, and the whole line's size, 0 where its end has not come;
// false says that it is none, or longer than most.
func Line(b []byte, most int) (text []byte, size int, ok bool) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return nil, 0, len(b) <= most
	}
	if end < 2 || end > most || b[end-1] != '\r' {
		return nil, 0, false
	}
	return b[1 : end-1], end + 1, true
}

// Length gives the number of a line that begins with kind, from -1 to most, and the line's size.
func Length(b []byte, kind byte, most int) (n, size int, ok bool) {
	if b[0] != kind {
		return 0, 0, false
	}
	text, size, ok := Line(b, 16)
	if !ok || size == 0 {
		return 0, 0, ok
	}
	n, err := strconv.Atoi(string(text))
	return n, size, err == nil && n >= -1 && n <= most && text[0] != '+'
}

const mostWords = 16 // of a command: the longest has five

// Command gives the words of the command that b begins with, in place, and its size, 0 where it is not whole.
func Command(b []byte, words [][]byte) (size int, _ [][]byte, err error) {
	count, at, ok := Length(b, '*', mostWords)
	if !ok || at > 0 && count < 1 {
		return 0, nil, errors.New("Protocol error: expected an array of a few words")
	}
	for words = words[:0]; at > 0 && len(words) < count; {
		if at == len(b) {
			return 0, words, nil
		}
		n, start, ok := Length(b[at:], '$', MaxValue)
		if !ok || n < 0 {
			return 0, nil, errors.New("Protocol error: invalid length of a word")
		}
		end := at + start + n + 2
		if start == 0 || len(b) < end {
			return 0, words, nil
		}
		if string(b[end-2:end]) != "\r\n" {
			return 0, nil, errors.New("Protocol error: a word does not fit its length")
		}
		words, at = append(words, b[at+start:end-2]), end
	}
	return at, words, nil
}
