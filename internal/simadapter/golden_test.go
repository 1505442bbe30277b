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

// recordedStream returns the recorded frames of a simulator with five instances. They contain every kind of event, and
// events with unknown ids.
func recordedStream(t *testing.T) []byte {
	t.Helper()
	file, err := os.Open("testdata/stream.bin.gz")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	decompressor, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := io.ReadAll(decompressor)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// SHA-256 hashes of the replies to the recorded stream.
const (
	allRepliesHash       = "a0e0dc5421929d9cde23793c28fbd26eeb364970f0a3d2363ff47e840f45c0a3"
	firstHalfRepliesHash = "7e8458e1890535e315ce20aecad6906c4465b1e486e72d3114112d9e6bd24cc9"
)

// TestGoldenStream compares the bytes of the replies to a recorded stream. Another hash means that a decision of the
// engine or the encoding has changed.
func TestGoldenStream(t *testing.T) {
	const wantStreamHash = "35ebe1844df05f1a096f9a1e2ec2ffbf3f7cf6706f20f0ac220eaa16240dc2d0"
	stream := recordedStream(t)
	if got := hashOf(stream); got != wantStreamHash {
		t.Fatalf("the recorded stream of %d bytes has the hash\n%s, want\n%s: it must stay as it was recorded",
			len(stream), got, wantStreamHash)
	}
	var out bytes.Buffer
	if err := Run(bytes.NewReader(stream), &out); err != nil {
		t.Fatal(err)
	}
	if got := hashOf(out.Bytes()); got != allRepliesHash {
		t.Errorf("%d bytes of replies have the hash\n%s, want\n%s", out.Len(), got, allRepliesHash)
	}
}

// TestGoldenStream_FaultyInput checks that Run replies to all frames before a fault in the stream and then returns an
// error.
func TestGoldenStream_FaultyInput(t *testing.T) {
	stream := recordedStream(t)
	frameOffset := 0 // offset of the first frame in the second half of the stream
	for frameOffset < len(stream)/2 {
		frameOffset += 16 + int(binary.LittleEndian.Uint32(stream[frameOffset:]))
	}
	for bytes.Equal(stream[frameOffset:frameOffset+4], make([]byte, 4)) {
		frameOffset += 16 // skips an empty frame
	}
	withByte := func(offset int, value byte) []byte {
		modified := bytes.Clone(stream)
		modified[frameOffset+offset] = value
		return modified
	}
	for name, test := range map[string]struct {
		stream []byte
		want   string
	}{
		"cut within a header": {stream[:frameOffset+7], firstHalfRepliesHash},
		"cut within a body":   {stream[:frameOffset+19], firstHalfRepliesHash},
		"a byte lost": {
			append(bytes.Clone(stream[:frameOffset+20]), stream[frameOffset+21:]...), firstHalfRepliesHash,
		},
		"an unknown event":     {withByte(16, 99), firstHalfRepliesHash},
		"one record too many":  {withByte(4, stream[frameOffset+4]+1), firstHalfRepliesHash},
		"an impossible length": {append(bytes.Clone(stream), bytes.Repeat([]byte{0xff}, 16)...), allRepliesHash},
		"a clock that is not a number": {
			append(bytes.Clone(stream), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xf8, 0x7f), allRepliesHash,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(bytes.NewReader(test.stream), &out)
			if err == nil {
				t.Error("Run returned no error for the faulty stream")
			}
			if got := hashOf(out.Bytes()); got != test.want {
				t.Errorf("%d bytes of replies (%v) have the hash\n%s, want\n%s", out.Len(), err, got, test.want)
			}
		})
	}
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
