// Package wire frames and packs the simulator's binary records: little-endian, no padding.
package simwire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

const (
	headBytes = 16
	// MaxBytes bounds a frame, so that a damaged length is an error and not a huge allocation.
	MaxBytes = 1 << 30
)

// Frame is one batch of events, read field by field. The first fault sticks: all later reads give zero.
type Frame struct {
	Clock   float64 // milliseconds
	Records int
	body    []byte
	at      int
	err     error
}

// ReadFrame reads the next frame into f, whose body is used again. At the end of input between frames it
// gives io.EOF.
func ReadFrame(r io.Reader, f *Frame) error {
	var head [headBytes]byte
	if n, err := io.ReadFull(r, head[:]); err == io.EOF {
		return io.EOF
	} else if err != nil {
		return fmt.Errorf("frame header: %d of %d bytes: %w", n, headBytes, err)
	}
	size := binary.LittleEndian.Uint32(head[0:])
	count := binary.LittleEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[8:]))
	if size > MaxBytes {
		return fmt.Errorf("frame header: impossible length %d", size)
	}
	if count > size { // a record has one byte at the least
		return fmt.Errorf("frame header: impossible count of %d records in %d bytes", count, size)
	}
	if math.IsNaN(clock) || math.Abs(clock) > 1e12 {
		return fmt.Errorf("frame header: impossible clock %v", clock)
	}
	if cap(f.body) < int(size) {
		f.body = make([]byte, size)
	}
	*f = Frame{Clock: clock, Records: int(count), body: f.body[:size]}
	if n, err := io.ReadFull(r, f.body); err != nil {
		return fmt.Errorf("frame body: %d of %d bytes: %w", n, size, err)
	}
	return nil
}

// At is the position of the next field in the frame's body.
func (f *Frame) At() int { return f.at }

// Left is the number of bytes not yet read.
func (f *Frame) Left() int { return len(f.body) - f.at }

// Err is the first fault met, if any.
func (f *Frame) Err() error { return f.err }

func (f *Frame) take(n int) []byte {
	if f.err == nil && n > f.Left() {
		f.err = fmt.Errorf("byte %d: field of %d bytes, %d left", f.at, n, f.Left())
	}
	if f.err != nil {
		return nil
	}
	f.at += n
	return f.body[f.at-n : f.at]
}

func (f *Frame) U8() uint8 {
	if b := f.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *Frame) U16() uint16 {
	if b := f.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *Frame) U32() uint32 {
	if b := f.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *Frame) U64() uint64 {
	if b := f.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

// F32 and F64 read a number; one that is none (NaN or infinite) is a fault.
func (f *Frame) F32() float64 { return f.real(float64(math.Float32frombits(f.U32()))) }
func (f *Frame) F64() float64 { return f.real(math.Float64frombits(f.U64())) }

func (f *Frame) real(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		if f.err == nil {
			f.err = fmt.Errorf("byte %d: no finite number", f.at)
		}
		return 0
	}
	return x
}

// Bytes reads n bytes; they are the frame's own and last until the next frame.
func (f *Frame) Bytes(n int) []byte {
	if f.err == nil && n > f.Left() {
		f.err = fmt.Errorf("byte %d: impossible count %d, %d bytes left", f.at, n, f.Left())
	}
	return f.take(n)
}

// Count checks that n entries of size bytes each can still follow.
func (f *Frame) Count(n, size int) int {
	if f.err == nil && n > f.Left()/size {
		f.err = fmt.Errorf("byte %d: impossible count of %d entries, %d bytes left", f.at, n, f.Left())
	}
	if f.err != nil {
		return 0
	}
	return n
}

// Reply gathers the records of one answer.
type Reply struct {
	buf     []byte
	records uint32
}

// Record starts a record; its fields follow.
func (r *Reply) Record(code uint8) *Reply {
	if len(r.buf) == 0 {
		r.buf = append(r.buf, make([]byte, 8)...)
	}
	r.records++
	return r.U8(code)
}

func (r *Reply) U8(v uint8) *Reply {
	r.buf = append(r.buf, v)
	return r
}

func (r *Reply) U16(v uint16) *Reply {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, v)
	return r
}

func (r *Reply) U32(v uint32) *Reply {
	r.buf = binary.LittleEndian.AppendUint32(r.buf, v)
	return r
}

func (r *Reply) U64(v uint64) *Reply {
	r.buf = binary.LittleEndian.AppendUint64(r.buf, v)
	return r
}

func (r *Reply) F32(v float64) *Reply { return r.U32(math.Float32bits(float32(v))) }
func (r *Reply) F64(v float64) *Reply { return r.U64(math.Float64bits(v)) }

// Text packs a text, cut to what its length field can say.
func (r *Reply) Text(s string) *Reply {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.U16(uint16(len(s)))
	r.buf = append(r.buf, s...)
	return r
}

// WriteTo writes the answer with its header and empties the reply.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	if len(r.buf) == 0 {
		r.buf = append(r.buf, make([]byte, 8)...)
	}
	binary.LittleEndian.PutUint32(r.buf[0:], r.records)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	n, err := w.Write(r.buf)
	r.buf, r.records = r.buf[:0], 0
	return int64(n), err
}
