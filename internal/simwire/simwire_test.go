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

// frameOf puts a reply's body behind the header of a frame, as the simulator would send it.
func frameOf(t *testing.T, clock float64, records uint32, reply *Reply) []byte {
	t.Helper()
	var packed bytes.Buffer
	if _, err := reply.WriteTo(&packed); err != nil {
		t.Fatal(err)
	}
	body := packed.Bytes()[replyHeaderBytes:]
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, records)
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(clock))
	return append(frame, body...)
}

func TestFrame_ReadsWhatReplyWrites(t *testing.T) {
	reply := (&Reply{}).Record(7).Uint16(300).Uint32(70000).Uint64(1 << 40).Float32(0.5).Float64(-2.25).Text("abc")
	var f Frame
	if err := ReadFrame(bytes.NewReader(frameOf(t, 12.5, 1, reply)), &f); err != nil {
		t.Fatal(err)
	}
	if f.Clock != 12.5 || f.Records != 1 || f.Offset() != 0 {
		t.Errorf("clock %v, %d records, at byte %d", f.Clock, f.Records, f.Offset())
	}
	code, a, b, c := f.Uint8(), f.Uint16(), f.Uint32(), f.Uint64()
	if code != 7 || a != 300 || b != 70000 || c != 1<<40 {
		t.Errorf("whole numbers %d %d %d %d", code, a, b, c)
	}
	if a, b := f.Float32(), f.Float64(); a != 0.5 || b != -2.25 {
		t.Errorf("real numbers %v %v", a, b)
	}
	if text := string(f.Bytes(int(f.Uint16()))); text != "abc" || f.Remaining() != 0 || f.Err() != nil {
		t.Errorf("text %q, %d bytes left, %v", text, f.Remaining(), f.Err())
	}
}

func TestFrame_FirstFaultSticks(t *testing.T) {
	var f Frame
	reply := (&Reply{}).Record(7).Float32(math.Inf(1)).Uint8(1)
	if err := ReadFrame(bytes.NewReader(frameOf(t, 0, 1, reply)), &f); err != nil {
		t.Fatal(err)
	}
	f.Uint8()
	f.Float32()
	if f.Uint8() != 0 || f.Count(1, 1) != 0 || f.Bytes(9) != nil {
		t.Error("a read after a fault gave something")
	}
	if err := f.Err(); err == nil || err.Error() != "byte 5: no finite number" {
		t.Error(err)
	}
}

func TestReadFrame_EndOfInput(t *testing.T) {
	var f Frame
	if err := ReadFrame(strings.NewReader(""), &f); !errors.Is(err, ErrEnd) {
		t.Errorf("between two frames: %v", err)
	}
	err := ReadFrame(strings.NewReader("abc"), &f)
	if !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrEnd) {
		t.Errorf("within a header: %v", err)
	}
	frame := frameOf(t, 0, 1, (&Reply{}).Record(1))
	if err := ReadFrame(bytes.NewReader(frame[:frameHeaderBytes]), &f); err == nil || errors.Is(err, ErrEnd) {
		t.Errorf("behind a header: %v", err)
	}
}

func TestReply_IsEmptyOnceWritten(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	if _, err := r.Record(1).Text(strings.Repeat("x", math.MaxUint16+1)).WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	if want := replyHeaderBytes + 1 + 2 + math.MaxUint16; out.Len() != want {
		t.Errorf("%d bytes, want %d: a text is cut to what its length can say", out.Len(), want)
	}
	out.Reset()
	if _, err := r.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, replyHeaderBytes)) {
		t.Errorf("%v, %v", out.Bytes(), err)
	}
}
