package backend

import (
	"bytes"
	"errors"
	"math/rand"
	"strconv"
	"strings"
	"testing"
	"testing/quick"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/resp"
)

func TestParseResponse_CompleteAndTruncated(t *testing.T) {
	largest := "$" + strconv.Itoa(resp.MaxValueBytes) + "\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n"
	for text, want := range map[string]struct {
		value string
		units float64
		err   error
	}{
		"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n":                    {value: "$2\r\nok\r\n"},
		"*3\r\n$0\r\n\r\n$14\r\nused=86,cost=3\r\n$-1\r\n":    {value: "$0\r\n\r\n", units: 3},
		"*3\r\n$4\r\n\r\n\r\n\r\n$6\r\ncost=x\r\n$-1\r\n":     {value: "$4\r\n\r\n\r\n\r\n"},
		"*3\r\n$2\r\nok\r\n$8\r\ncost=NaN\r\n$5\r\nqps=4\r\n": {value: "$2\r\nok\r\n"},
		"*3\r\n$2\r\nok\r\n$-1\r\n$3\r\n\x00\n\xff\r\n":       {value: "$2\r\nok\r\n"},
		"*3\r\n$2\r\nok\r\n:5\r\n+x\r\n":                      {value: "$2\r\nok\r\n"},
		"*1\r\n$2\r\nok\r\n":                                  {value: "$2\r\nok\r\n"},
		"*1\r\n" + largest:                                    {value: largest},
		"-BUSY\r\n":                                           {err: dispatch.ErrRejected},
		"-BUSY inflight=7,queue=2\r\n":                        {err: dispatch.ErrRejected},
		"-ERR failed inflight=7\r\n":                          {err: dispatch.ErrBackendFailed},
	} {
		r, err := parseResponse([]byte(text))
		matches := string(r.value) == want.value && r.units == want.units && errors.Is(err, want.err)
		if r.size != len(text) || !matches {
			t.Errorf("%.50q: size %d, value %.50q, units %v, error %v", text, r.size, r.value, r.units, err)
		}
		for n := 1; n < len(text); n += 1 + n/100 { // a truncated response is incomplete, not an error
			if r, err := parseResponse([]byte(text[:n])); r.size != 0 || err != nil {
				t.Errorf("truncated to %.50q: size %d, error %v", text[:n], r.size, err)
			}
		}
	}
}

// TestParseResponse_MalformedIsDetectedImmediately guards against two faults: the reader waited for the rest of bytes
// that cannot become a response until the attempt timed out, and a negative length ended the reader.
func TestParseResponse_MalformedIsDetectedImmediately(t *testing.T) {
	for _, text := range []string{"*3\r\n$-1\r\n", "*0\r\n", "*-1\r\n", "*-7\r\n", "*3\r\n$-5\r\n",
		"*9999999999999999999\r\n", "*1000000\r\n", "*3\r\n$3221225472\r\nxxxx",
		"*3\r\n$" + strconv.Itoa(resp.MaxValueBytes+1) + "\r\n",
		"*3\r\n$two\r\n", "*3\r\n$+2\r\n", "*3\n", "*\r\n", "*3\r\n:5\r\n", "*3\r\n$2\r\nokay\r\n",
		"*3\r\n$4\r\nok\r\n$-1",
		"*3\r\n$2\r\nok\r\n$x\r\n", "*3\r\n$2\r\nok\r\nnoise\r\n", "*" + strings.Repeat("3", 50),
		"-" + strings.Repeat("E", 2000), "-BUSYBODY\r\n", "-\r\n", "-SYNTAX\r\n", "$2\r\nok\r\n",
		"+OK\r\n", ":1\r\n", "HTTP/1.1 200 OK\r\n", "\x00", "\r\n"} {
		if r, err := parseResponse([]byte(text)); r.size != 0 || !errors.Is(err, dispatch.ErrBackendFailed) {
			t.Errorf("%.40q: size %d, error %v; want ErrBackendFailed", text, r.size, err)
		}
	}
	// A valid response with one byte changed causes neither a panic nor a value without its line end.
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		text := []byte("*3\r\n$5\r\nvalue\r\n$7\r\nused=12\r\n$5\r\nqps=4\r\n")
		text[random.Intn(len(text))] = byte(random.Intn(256))
		r, err := parseResponse(text)
		return r.size == 0 || err == nil && r.size <= len(text) && bytes.HasSuffix(r.value, []byte("\r\n"))
	}
	config := &quick.Config{MaxCount: 20000, Rand: rand.New(rand.NewSource(3))}
	if err := quick.Check(property, config); err != nil {
		t.Error(err)
	}
}

func BenchmarkParseResponse(b *testing.B) {
	received := []byte("*3\r\n$5\r\nvalue\r\n$14\r\nused=86,cost=3\r\n+x\r\n")
	b.ReportAllocs()
	for b.Loop() {
		if r, err := parseResponse(received); r.size != len(received) || err != nil {
			b.Fatal(r, err)
		}
	}
}
