package main

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

// TestGoldenStream pins the bytes that answer a recorded stream. A hash that changes means that a decision or
// the wire changed.
func TestGoldenStream(t *testing.T) {
	const (
		wantIn  = "a4ffec7482804808dd351b4832ce457d1d93f1d0f116ad7f0d7434b449bc1c6c"
		wantOut = "8885b942c903ed6342b5cca175e09d0e8db8102f86a771267d3df5cf4c8eb148"
	)
	stream := recordedStream(t)
	if got := hash(stream); got != wantIn {
		t.Fatalf("the recorded stream of %d bytes has the hash\n%s, want\n%s: it must stay as it was recorded", len(stream), got, wantIn)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(stream), &out); err != nil {
		t.Fatal(err)
	}
	if got := hash(out.Bytes()); got != wantOut {
		t.Errorf("%d bytes of answers have the hash\n%s, want\n%s", out.Len(), got, wantOut)
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
		"cut within a header":    {stream[:middle+7], "734831f312a1a8f6f20afeff45c00f1c150447763ba2238cf1eac54af4e841d8"},
		"cut within a body":      {stream[:middle+19], "734831f312a1a8f6f20afeff45c00f1c150447763ba2238cf1eac54af4e841d8"},
		"a byte lost":            {append(bytes.Clone(stream[:middle+20]), stream[middle+21:]...), "734831f312a1a8f6f20afeff45c00f1c150447763ba2238cf1eac54af4e841d8"},
		"an unknown event":       {changed(16, 99), "734831f312a1a8f6f20afeff45c00f1c150447763ba2238cf1eac54af4e841d8"},
		"one record too many":    {changed(4, stream[middle+4]+1), "734831f312a1a8f6f20afeff45c00f1c150447763ba2238cf1eac54af4e841d8"},
		"an impossible length":   {append(bytes.Clone(stream), bytes.Repeat([]byte{0xff}, 16)...), "8885b942c903ed6342b5cca175e09d0e8db8102f86a771267d3df5cf4c8eb148"},
		"a clock that is no one": {append(bytes.Clone(stream), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xf8, 0x7f), "8885b942c903ed6342b5cca175e09d0e8db8102f86a771267d3df5cf4c8eb148"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(bytes.NewReader(c.stream), &out)
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
