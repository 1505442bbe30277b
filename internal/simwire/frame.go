// Package simwire encodes and decodes the simulator's binary records, which are little-endian and have no padding.
// The simulator sends frames of events, which Frame decodes. Each frame is answered by one Reply, which encodes
// actions.
//
//	frame: uint32 length of the body, uint32 number of records, float64 clock in ms; then the body
//	reply: uint32 number of records, uint32 length of the body; then the body
//
// A record begins with one byte for its kind, which determines the fields that follow; the caller reads and writes
// them. Frame and Reply keep their buffers for reuse. They are not safe for concurrent use.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	frameHeaderBytes = 16
	// maxClockMillis is about thirty years; a frame with a larger clock is treated as corrupt.
	maxClockMillis = 1e12
	// maxBodyBytes bounds a frame's body, so that a corrupt length causes an error instead of a huge allocation.
	maxBodyBytes = 1 << 30
)

// ErrEndOfInput is returned by ReadFrame if the input ends between two frames. It is distinct from io.EOF, which
// ReadFrame also wraps if the input ends directly after a header.
var ErrEndOfInput = errors.New("simwire: end of input")

// Frame is one batch of events, which is read field by field. After the first error, all later reads return zero
// values and Err returns that error, so callers can read a whole record and then check Err once.
type Frame struct {
	ClockMillis float64 // the simulator's time, in ms
	RecordCount int     // number of records in the body
	body        []byte
	offset      int // position of the next field in body
	err         error
}

// ReadFrame reads the next frame into f. It reuses f's buffer and so overwrites slices returned by Bytes. It returns
// ErrEndOfInput if the input ends before the first byte of a frame.
func ReadFrame(r io.Reader, f *Frame) error {
	var header [frameHeaderBytes]byte
	n, err := io.ReadFull(r, header[:])
	if errors.Is(err, io.EOF) {
		return ErrEndOfInput
	}
	if err != nil {
		return fmt.Errorf("frame header: %d of %d bytes: %w", n, frameHeaderBytes, err)
	}
	size := binary.LittleEndian.Uint32(header[0:])
	recordCount := binary.LittleEndian.Uint32(header[4:])
	clockMillis := math.Float64frombits(binary.LittleEndian.Uint64(header[8:]))
	if err := checkHeader(size, recordCount, clockMillis); err != nil {
		return err
	}
	if cap(f.body) < int(size) {
		f.body = make([]byte, size)
	}
	*f = Frame{ClockMillis: clockMillis, RecordCount: int(recordCount), body: f.body[:size]}
	if n, err := io.ReadFull(r, f.body); err != nil {
		return fmt.Errorf("frame body: %d of %d bytes: %w", n, size, err)
	}
	return nil
}

func checkHeader(size, recordCount uint32, clockMillis float64) error {
	if size > maxBodyBytes {
		return fmt.Errorf("frame header: body length %d exceeds the maximum", size)
	}
	if recordCount > size { // a record has at least one byte
		return fmt.Errorf("frame header: %d records do not fit into a body of %d bytes", recordCount, size)
	}
	if math.IsNaN(clockMillis) || math.Abs(clockMillis) > maxClockMillis {
		return fmt.Errorf("frame header: clock %v is not a number or out of range", clockMillis)
	}
	return nil
}

// Offset returns the position of the next field in the frame's body.
func (f *Frame) Offset() int { return f.offset }

// Remaining returns the number of bytes not yet read.
func (f *Frame) Remaining() int { return len(f.body) - f.offset }

// Err returns the first error, or nil if there is none.
func (f *Frame) Err() error { return f.err }

// failf records an error at the next field, unless an error is already recorded.
func (f *Frame) failf(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("byte %d: %s", f.offset, fmt.Sprintf(format, args...))
	}
}

// next returns the next n bytes, or nil after an error.
func (f *Frame) next(n int) []byte {
	if n > f.Remaining() {
		f.failf("field needs %d bytes, %d left", n, f.Remaining())
	}
	if f.err != nil {
		return nil
	}
	f.offset += n
	return f.body[f.offset-n : f.offset]
}

// Uint8 reads an unsigned integer of one byte.
func (f *Frame) Uint8() uint8 {
	if field := f.next(1); field != nil {
		return field[0]
	}
	return 0
}

// Uint16 reads an unsigned integer of two bytes.
func (f *Frame) Uint16() uint16 {
	if field := f.next(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

// Uint32 reads an unsigned integer of four bytes.
func (f *Frame) Uint32() uint32 {
	if field := f.next(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

// Uint64 reads an unsigned integer of eight bytes.
func (f *Frame) Uint64() uint64 {
	if field := f.next(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

// Float32 reads a floating-point number of four bytes. A value that is not finite is an error.
func (f *Frame) Float32() float64 { return f.checkFinite(float64(math.Float32frombits(f.Uint32()))) }

// Float64 reads a floating-point number of eight bytes. A value that is not finite is an error.
func (f *Frame) Float64() float64 { return f.checkFinite(math.Float64frombits(f.Uint64())) }

func (f *Frame) checkFinite(number float64) float64 {
	if math.IsNaN(number) || math.IsInf(number, 0) {
		f.failf("number is not finite")
		return 0
	}
	return number
}

// Bytes reads n bytes. The slice is part of the frame's buffer and is valid until the next ReadFrame.
func (f *Frame) Bytes(n int) []byte {
	if n > f.Remaining() {
		f.failf("count of %d bytes exceeds the %d bytes left", n, f.Remaining())
	}
	return f.next(n)
}

// CheckCount returns count if that many entries of entryBytes each fit into the rest of the body. Otherwise it records
// an error. It returns 0 after an error.
func (f *Frame) CheckCount(count, entryBytes int) int {
	if count > f.Remaining()/entryBytes {
		f.failf("count of %d entries exceeds the %d bytes left", count, f.Remaining())
	}
	if f.err != nil {
		return 0
	}
	return count
}
