package simwire

import (
	"encoding/binary"
	"io"
	"math"
)

const replyHeaderBytes = 8

// Reply collects the records that answer one frame. Its methods return the reply, so that one statement can write a
// whole record:
//
//	reply.Record(code).Uint32(instance).Uint64(id)
//
// The zero value is an empty reply.
type Reply struct {
	buffer      []byte // header and body; empty until the first record
	recordCount uint32
}

// reserveHeader reserves space for the header in an empty buffer.
func (r *Reply) reserveHeader() {
	if len(r.buffer) == 0 {
		r.buffer = append(r.buffer, make([]byte, replyHeaderBytes)...)
	}
}

// Record starts a record; its fields follow.
func (r *Reply) Record(code uint8) *Reply {
	r.reserveHeader()
	r.recordCount++
	return r.Uint8(code)
}

// Uint8 appends an unsigned integer of one byte.
func (r *Reply) Uint8(v uint8) *Reply {
	r.buffer = append(r.buffer, v)
	return r
}

// Uint16 appends an unsigned integer of two bytes.
func (r *Reply) Uint16(v uint16) *Reply {
	r.buffer = binary.LittleEndian.AppendUint16(r.buffer, v)
	return r
}

// Uint32 appends an unsigned integer of four bytes.
func (r *Reply) Uint32(v uint32) *Reply {
	r.buffer = binary.LittleEndian.AppendUint32(r.buffer, v)
	return r
}

// Uint64 appends an unsigned integer of eight bytes.
func (r *Reply) Uint64(v uint64) *Reply {
	r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v)
	return r
}

// Float32 appends a floating-point number of four bytes.
func (r *Reply) Float32(v float64) *Reply { return r.Uint32(math.Float32bits(float32(v))) }

// Float64 appends a floating-point number of eight bytes.
func (r *Reply) Float64(v float64) *Reply { return r.Uint64(math.Float64bits(v)) }

// Text appends a text after its length of two bytes. A text longer than that length can express is truncated.
func (r *Reply) Text(s string) *Reply {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.Uint16(uint16(len(s)))
	r.buffer = append(r.buffer, s...)
	return r
}

// WriteTo writes the reply with its header. It empties the reply whether or not the write succeeds.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	r.reserveHeader()
	binary.LittleEndian.PutUint32(r.buffer[0:], r.recordCount)
	binary.LittleEndian.PutUint32(r.buffer[4:], uint32(len(r.buffer)-replyHeaderBytes))
	n, err := w.Write(r.buffer)
	r.buffer, r.recordCount = r.buffer[:0], 0
	return int64(n), err
}
