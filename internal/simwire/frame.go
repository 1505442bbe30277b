// Package simwire frames and packs the simulator's binary records: little-endian, no padding. The simulator
// sends frames of events, which Frame reads; each is answered by one Reply of actions.
//
//	frame: uint32 length of the body, uint32 records, float64 clock in ms; then the body
//	reply: uint32 records, uint32 length of the body; then the body
//
// A record begins with a byte for its kind; the caller knows which fields follow. A Frame and a Reply each
// belong to one goroutine, which reuses them: they keep their memory.
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
	// maxClockMillis, in ms, is about thirty years: a clock beyond it is damaged.
	maxClockMillis = 1e12
	// maxBodyBytes bounds a frame's body, so that a damaged length is an error and not a huge allocation.
	maxBodyBytes = 1 << 30
)

// ErrEndOfInput is the error of ReadFrame when the input ends between two frames. It differs from io.EOF, which an
// input that ends right after a header gives as well.
var ErrEndOfInput = errors.New("simwire: end of input")

// Frame is one batch of events, which is read field by field. The first fault sticks: all later reads return
// zero, and Err returns the fault. Callers read a whole record and then check once.
type Frame struct {
	ClockMillis float64 // the simulator's time, in ms
	RecordCount int     // how many the body holds
	body        []byte
	offset      int // of the next field in the body
	err         error
}

// ReadFrame reads the next frame into f. It reuses f's memory and so overwrites what Bytes returned before.
// At the end of input between two frames it returns ErrEndOfInput.
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
		return fmt.Errorf("frame header: impossible length %d", size)
	}
	if recordCount > size { // a record has at least one byte
		return fmt.Errorf("frame header: impossible count of %d records in %d bytes", recordCount, size)
	}
	if math.IsNaN(clockMillis) || math.Abs(clockMillis) > maxClockMillis {
		return fmt.Errorf("frame header: impossible clock %v", clockMillis)
	}
	return nil
}

// Offset returns the position of the next field in the frame's body.
func (f *Frame) Offset() int { return f.offset }

// Remaining returns the number of bytes not yet read.
func (f *Frame) Remaining() int { return len(f.body) - f.offset }

// Err returns the first fault, or nil if there is none.
func (f *Frame) Err() error { return f.err }

// failf records a fault at the next field, unless one is recorded already.
func (f *Frame) failf(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("byte %d: %s", f.offset, fmt.Sprintf(format, args...))
	}
}

// next returns the next n bytes, or nil after a fault.
func (f *Frame) next(n int) []byte {
	if n > f.Remaining() {
		f.failf("field of %d bytes, %d left", n, f.Remaining())
	}
	if f.err != nil {
		return nil
	}
	f.offset += n
	return f.body[f.offset-n : f.offset]
}

// Uint8 reads a number of one byte.
func (f *Frame) Uint8() uint8 {
	if field := f.next(1); field != nil {
		return field[0]
	}
	return 0
}

// Uint16 reads a number of two bytes.
func (f *Frame) Uint16() uint16 {
	if field := f.next(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

// Uint32 reads a number of four bytes.
func (f *Frame) Uint32() uint32 {
	if field := f.next(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

// Uint64 reads a number of eight bytes.
func (f *Frame) Uint64() uint64 {
	if field := f.next(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

// Float32 reads a real number of four bytes. One that is not finite is a fault.
func (f *Frame) Float32() float64 { return f.checkFinite(float64(math.Float32frombits(f.Uint32()))) }

// Float64 reads a real number of eight bytes. One that is not finite is a fault.
func (f *Frame) Float64() float64 { return f.checkFinite(math.Float64frombits(f.Uint64())) }

func (f *Frame) checkFinite(number float64) float64 {
	if math.IsNaN(number) || math.IsInf(number, 0) {
		f.failf("no finite number")
		return 0
	}
	return number
}

// Bytes reads n bytes. They belong to the frame and last until the next ReadFrame.
func (f *Frame) Bytes(n int) []byte {
	if n > f.Remaining() {
		f.failf("impossible count %d, %d bytes left", n, f.Remaining())
	}
	return f.next(n)
}

// CheckCount checks that n entries of size bytes each can still follow, and returns n, or 0 after a fault.
func (f *Frame) CheckCount(count, entryBytes int) int {
	if count > f.Remaining()/entryBytes {
		f.failf("impossible count of %d entries, %d bytes left", count, f.Remaining())
	}
	if f.err != nil {
		return 0
	}
	return count
}
