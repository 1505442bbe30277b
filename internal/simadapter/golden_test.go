package simadapter

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"os"
	"testing"
)

// recordedStream is the simulator's side of a day on the wire: five instances, every kind of event, and some
// events that make no sense.
func recordedStream(t *testing.T) []byte {
	t.Helper()
	f, err := os.Open("testdata/stream.bin.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }() // it was only read
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// The hashes of the answers to the recorded stream.
const (
	allAnswers    = "a0e0dc5421929d9cde23793c28fbd26eeb364970f0a3d2363ff47e840f45c0a3"
	halfOfAnswers = "7e8458e1890535e315ce20aecad6906c4465b1e486e72d3114112d9e6bd24cc9"
)

// TestGoldenStream pins the bytes that answer a recorded stream. A hash that changes means that a decision or
// the wire changed.
func TestGoldenStream(t *testing.T) {
	const wantIn = "35ebe1844df05f1a096f9a1e2ec2ffbf3f7cf6706f20f0ac220eaa16240dc2d0"
	stream := recordedStream(t)
	if got := hash(stream); got != wantIn {
		t.Fatalf("the recorded stream of %d bytes has the hash\n%s, want\n%s: it must stay as it was recorded",
			len(stream), got, wantIn)
	}
	var out bytes.Buffer
	if err := Run(bytes.NewReader(stream), &out); err != nil {
		t.Fatal(err)
	}
	if got := hash(out.Bytes()); got != allAnswers {
		t.Errorf("%d bytes of answers have the hash\n%s, want\n%s", out.Len(), got, allAnswers)
	}
}

// TestGoldenStream_Faulty pins what is still answered of the stream before a fault in it ends the run.
func TestGoldenStream_Faulty(t *testing.T) {
	stream := recordedStream(t)
	middle := 0 // of the frame from which on half of the stream is left
	for middle < len(stream)/2 {
		middle += 16 + int(binary.LittleEndian.Uint32(stream[middle:]))
	}
	for bytes.Equal(stream[middle:middle+4], make([]byte, 4)) {
		middle += 16 // an empty frame
	}
	changed := func(at int, to byte) []byte {
		b := bytes.Clone(stream)
		b[middle+at] = to
		return b
	}
	for name, c := range map[string]struct {
		stream []byte
		want   string
	}{
		"cut within a header":  {stream[:middle+7], halfOfAnswers},
		"cut within a body":    {stream[:middle+19], halfOfAnswers},
		"a byte lost":          {append(bytes.Clone(stream[:middle+20]), stream[middle+21:]...), halfOfAnswers},
		"an unknown event":     {changed(16, 99), halfOfAnswers},
		"one record too many":  {changed(4, stream[middle+4]+1), halfOfAnswers},
		"an impossible length": {append(bytes.Clone(stream), bytes.Repeat([]byte{0xff}, 16)...), allAnswers},
		"a clock that is not a number": {
			append(bytes.Clone(stream), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xf8, 0x7f), allAnswers,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(bytes.NewReader(c.stream), &out)
			if err == nil {
				t.Error("the fault was not found")
			}
			if got := hash(out.Bytes()); got != c.want {
				t.Errorf("%d bytes of answers (%v) have the hash\n%s, want\n%s", out.Len(), err, got, c.want)
			}
		})
	}
}

func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
