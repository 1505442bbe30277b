package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

// frameOf returns a frame as the simulator sends it, with the body of reply.
func frameOf(t *testing.T, clockMillis float64, recordCount uint32, reply *Reply) []byte {
	t.Helper()
	var encoded bytes.Buffer
	if _, err := reply.WriteTo(&encoded); err != nil {
		t.Fatal(err)
	}
	body := encoded.Bytes()[replyHeaderBytes:]
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, recordCount)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(clockMillis))
	return append(frame, body...)
}

func TestFrame_ReadsWhatReplyWrites(t *testing.T) {
	reply := (&Reply{}).Record(7).Uint16(300).Uint32(70000).Uint64(1 << 40).Float32(0.5).Float64(-2.25).Text("abc")
	var frame Frame
	if err := ReadFrame(bytes.NewReader(frameOf(t, 12.5, 1, reply)), &frame); err != nil {
		t.Fatal(err)
	}
	if frame.ClockMillis != 12.5 || frame.RecordCount != 1 || frame.Offset() != 0 {
		t.Errorf("clock %v, %d records, at byte %d", frame.ClockMillis, frame.RecordCount, frame.Offset())
	}
	code, a, b, c := frame.Uint8(), frame.Uint16(), frame.Uint32(), frame.Uint64()
	if code != 7 || a != 300 || b != 70000 || c != 1<<40 {
		t.Errorf("integers %d %d %d %d", code, a, b, c)
	}
	if a, b := frame.Float32(), frame.Float64(); a != 0.5 || b != -2.25 {
		t.Errorf("floating-point numbers %v %v", a, b)
	}
	if text := string(frame.Bytes(int(frame.Uint16()))); text != "abc" || frame.Remaining() != 0 || frame.Err() != nil {
		t.Errorf("text %q, %d bytes left, %v", text, frame.Remaining(), frame.Err())
	}
}

func TestFrame_KeepsFirstError(t *testing.T) {
	var frame Frame
	reply := (&Reply{}).Record(7).Float32(math.Inf(1)).Uint8(1)
	if err := ReadFrame(bytes.NewReader(frameOf(t, 0, 1, reply)), &frame); err != nil {
		t.Fatal(err)
	}
	frame.Uint8()
	frame.Float32()
	if frame.Uint8() != 0 || frame.CheckCount(1, 1) != 0 || frame.Bytes(9) != nil {
		t.Error("a read after an error returned a value other than zero")
	}
	if err := frame.Err(); err == nil || err.Error() != "byte 5: number is not finite" {
		t.Error(err)
	}
}

func TestReadFrame_EndOfInput(t *testing.T) {
	var f Frame
	if err := ReadFrame(strings.NewReader(""), &f); !errors.Is(err, ErrEndOfInput) {
		t.Errorf("end of input between two frames: %v", err)
	}
	err := ReadFrame(strings.NewReader("abc"), &f)
	if !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrEndOfInput) {
		t.Errorf("end of input within a header: %v", err)
	}
	frame := frameOf(t, 0, 1, (&Reply{}).Record(1))
	if err := ReadFrame(bytes.NewReader(frame[:frameHeaderBytes]), &f); err == nil || errors.Is(err, ErrEndOfInput) {
		t.Errorf("end of input after a header: %v", err)
	}
}

func TestReply_IsEmptyAfterWriteTo(t *testing.T) {
	var reply Reply
	var out bytes.Buffer
	if _, err := reply.Record(1).Text(strings.Repeat("x", math.MaxUint16+1)).WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if want := replyHeaderBytes + 1 + 2 + math.MaxUint16; out.Len() != want {
		t.Errorf("%d bytes, want %d: a text longer than its length field can express is truncated", out.Len(), want)
	}
	out.Reset()
	if _, err := reply.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, replyHeaderBytes)) {
		t.Errorf("reply after WriteTo: %v, %v", out.Bytes(), err)
	}
}
