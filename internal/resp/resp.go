// Package resp parses and validates commands, lines, lengths and bulk strings of RESP2, the protocol of clients and
// backends. It validates each length before the caller stores or waits for the bytes that the length counts. It keeps
// no input and no state, so all its functions are safe for concurrent use.
//
// The functions report input as incomplete only if further bytes could complete it. The parsers of redcon are not used,
// because they return the same result for incomplete and malformed input, and panic on some lengths.
package resp

import (
	"bytes"
	"strconv"
)

const (
	// MaxValueBytes is the maximum size of a value. The protocol specifies 64 KiB, but according to the operators'
	// documentation values of up to 4 MiB occur.
	MaxValueBytes = 4 << 20
	// maxArguments is how many arguments a command may have, including its name. The longest command has five.
	maxArguments = 16
	// maxLengthLineBytes is the maximum size of a line that holds a length. It allows more digits than any valid
	// length has.
	maxLengthLineBytes = 16
	// lineTerminator ends each line and the payload of each bulk string.
	lineTerminator = "\r\n"
)

// ProtocolError is the error for input that cannot be the beginning of a command.
type ProtocolError struct {
	Reason string // sent to the client unchanged
}

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol error: " + e.Reason }

// The errors of a malformed command. Their reasons are sent to the client, and call the arguments of a command words.
var (
	errArrayExpected        = &ProtocolError{Reason: "expected an array of a few words"}
	errBulkStringLength     = &ProtocolError{Reason: "invalid length of a word"}
	errBulkStringTerminator = &ProtocolError{Reason: "a word does not fit its length"}
)

// Line is a line of the protocol. The zero value represents an incomplete line.
type Line struct {
	Text []byte // the line without its first byte, which is the type, and without its terminator
	Size int    // bytes of the whole line, with its type and its terminator
}

// IsComplete reports whether the line's terminator has been received.
func (l Line) IsComplete() bool { return l.Size > 0 }

// ParseLine returns the line at the beginning of input. ok is false if input cannot begin with a valid line or if the
// line is larger than maxBytes.
func ParseLine(input []byte, maxBytes int) (line Line, ok bool) {
	newline := bytes.IndexByte(input, '\n')
	if newline < 0 {
		return Line{}, len(input) <= maxBytes
	}
	// At least the type byte and the carriage return must precede the newline.
	if newline < 2 || newline > maxBytes || input[newline-1] != '\r' {
		return Line{}, false
	}
	return Line{Text: input[1 : newline-1], Size: newline + 1}, true
}

// Length is a line that holds the length of a bulk string or of an array. The length of null is -1. The zero value
// represents an incomplete line.
type Length struct {
	Value int
	Size  int // bytes of the line
}

// IsComplete reports whether the line's terminator has been received.
func (l Length) IsComplete() bool { return l.Size > 0 }

// ParseLength returns the length in the line at the beginning of input, which must begin with typeByte and hold a
// number from -1 to maxValue. ok is false if input cannot begin with such a line. input must not be empty.
func ParseLength(input []byte, typeByte byte, maxValue int) (length Length, ok bool) {
	if input[0] != typeByte {
		return Length{}, false
	}
	line, ok := ParseLine(input, maxLengthLineBytes)
	if !ok || !line.IsComplete() {
		return Length{}, ok
	}
	value, err := strconv.Atoi(string(line.Text))
	inRange := value >= -1 && value <= maxValue
	return Length{Value: value, Size: line.Size}, err == nil && inRange && line.Text[0] != '+'
}

// ParseCommand returns the arguments of the command at the beginning of input, with the command's name as the first,
// and the size of the command in bytes, which is 0 if the command is incomplete. The arguments are slices of input, and
// the returned slice reuses the memory of args. Any error is a *ProtocolError.
func ParseCommand(input []byte, args [][]byte) (size int, _ [][]byte, err error) {
	count, ok := ParseLength(input, '*', maxArguments)
	if !ok || count.IsComplete() && count.Value < 1 {
		return 0, nil, errArrayExpected
	}
	if !count.IsComplete() {
		return 0, args[:0], nil
	}
	offset := count.Size
	args = args[:0]
	for len(args) < count.Value {
		arg, err := ParseBulkString(input[offset:])
		if err != nil {
			return 0, nil, err
		}
		if !arg.IsComplete() {
			return 0, args, nil
		}
		if arg.IsNull() {
			return 0, nil, errBulkStringLength
		}
		args = append(args, arg.Payload)
		offset += arg.Size
	}
	return offset, args, nil
}

// IncompleteCommand describes the beginning of a command.
type IncompleteCommand struct {
	// Args are the arguments that are complete, with the command's name as the first. They are slices of the input.
	Args [][]byte
	// LeastSize is the least size that the whole command can have by the lengths received so far, in bytes. It is
	// above the size of the input.
	LeastSize int
	// OnlyLastMissing means that the length of the last argument has been received and that all arguments before it are
	// complete, so that LeastSize is the size of the command.
	OnlyLastMissing bool
}

// ParseIncompleteCommand returns what is known of the incomplete command at the beginning of input. It reuses the
// memory of args. Any error is a *ProtocolError.
func ParseIncompleteCommand(input []byte, args [][]byte) (IncompleteCommand, error) {
	size, args, err := ParseCommand(input, args)
	if err != nil || size > 0 {
		return IncompleteCommand{Args: args, LeastSize: size}, err
	}
	incomplete := IncompleteCommand{Args: args, LeastSize: len(input) + 1}
	count, _ := ParseLength(input, '*', maxArguments)
	offset := count.Size
	for range args {
		arg, _ := ParseBulkString(input[offset:])
		offset += arg.Size
	}
	if offset == len(input) {
		return incomplete, nil
	}
	length, _ := ParseLength(input[offset:], '$', MaxValueBytes)
	if !length.IsComplete() {
		return incomplete, nil
	}
	incomplete.LeastSize = offset + length.Size + length.Value + len(lineTerminator)
	incomplete.OnlyLastMissing = len(args) == count.Value-1
	return incomplete, nil
}

// BulkString is a bulk string. The zero value represents an incomplete bulk string.
type BulkString struct {
	Payload []byte // a slice of the parsed input; nil if the bulk string is null
	Size    int    // bytes of the length line, the payload and its terminator
}

// IsComplete reports whether the whole bulk string has been received.
func (b BulkString) IsComplete() bool { return b.Size > 0 }

// IsNull reports whether a complete bulk string is null, which differs from an empty one.
func (b BulkString) IsNull() bool { return b.Payload == nil }

// ParseBulkString returns the bulk string at the beginning of input. Its payload may have up to MaxValueBytes bytes.
// Any error is a *ProtocolError and means that input cannot begin with a bulk string.
func ParseBulkString(input []byte) (BulkString, error) {
	if len(input) == 0 {
		return BulkString{}, nil
	}
	length, ok := ParseLength(input, '$', MaxValueBytes)
	if !ok {
		return BulkString{}, errBulkStringLength
	}
	if !length.IsComplete() {
		return BulkString{}, nil
	}
	if length.Value < 0 {
		return BulkString{Size: length.Size}, nil
	}
	payloadEnd := length.Size + length.Value
	size := payloadEnd + len(lineTerminator)
	if len(input) < size {
		return BulkString{}, nil
	}
	if string(input[payloadEnd:size]) != lineTerminator {
		return BulkString{}, errBulkStringTerminator
	}
	return BulkString{Payload: input[length.Size:payloadEnd], Size: size}, nil
}
