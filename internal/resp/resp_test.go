package resp

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"github.com/tidwall/redcon"
)

// TestParseCommand_MatchesRedcon checks that a complete command is parsed into the same arguments as by redcon, and
// that each truncation of it is incomplete.
func TestParseCommand_MatchesRedcon(t *testing.T) {
	matchesRedcon := func(args [][]byte) bool {
		args = append(args, []byte("x"))[:min(len(args)+1, maxArguments)]
		text := redcon.AppendArray(nil, len(args))
		for _, arg := range args {
			text = redcon.AppendBulk(text, arg)
		}
		size, got, err := ParseCommand(append(text, "*1"...), nil)
		_, want, _, _, _ := redcon.ReadNextCommand(text, nil)
		for n := 1; n < len(text); n++ {
			if size, _, err := ParseCommand(text[:n], nil); size != 0 || err != nil {
				return false
			}
		}
		separator := []byte{0}
		sameArgs := bytes.Equal(bytes.Join(got, separator), bytes.Join(want, separator))
		return err == nil && size == len(text) && sameArgs
	}
	if err := quick.Check(matchesRedcon, &quick.Config{Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// TestParseCommand_RejectsMalformedInputAtOnce guards against waiting for input that cannot become valid: for a value
// of 60 MB, and for a line without an end, the parser wanted more input up to the size of the largest command.
func TestParseCommand_RejectsMalformedInputAtOnce(t *testing.T) {
	for _, text := range []string{
		"*1\r\n$60000000\r\n", fmt.Sprintf("*1\r\n$%d\r\n", MaxValueBytes+1), "*1\r\n$-1\r\n", "*1\r\n$-5\r\n",
		"*0\r\n", "*-1\r\n", "*17\r\n", "*9223372036854775807\r\n", "*x\r\n", "*\r\n", "*1\n",
		"*1\r\n$\r\n", "*1\r\n:4\r\n", "*1\r\n$9223372036854775807\r\nx", "*1\r\n$2\r\nabc\r\n",
		"*" + strings.Repeat("1", 20), "PING\r\n", "\x00", "\r\n", "*1\r\n$+4\r\nPING\r\n",
		"*1\r\n$" + strings.Repeat("0", 20), "$5 hello\r\n",
	} {
		size, _, err := ParseCommand([]byte(text), nil)
		if size != 0 || err == nil {
			t.Errorf("%.30q: size %d, error %v", text, size, err)
		}
		var malformed *ProtocolError
		if !errors.As(err, &malformed) {
			t.Errorf("%.30q: error %v is not a ProtocolError", text, err)
		}
	}
}

func TestParseCommand_AcceptsLargestValue(t *testing.T) {
	largest := fmt.Appendf(nil, "*1\r\n$%d\r\n%s\r\n", MaxValueBytes, make([]byte, MaxValueBytes))
	if size, _, err := ParseCommand(largest, nil); size == 0 {
		t.Errorf("value of the maximum size is not parsed: %v", err)
	}
}

// TestParseCommand_DoesNotPanic parses arbitrary bytes after the beginning of a bulk string.
func TestParseCommand_DoesNotPanic(t *testing.T) {
	parses := func(suffix []byte) bool {
		_, _, err := ParseCommand(append([]byte("*2\r\n$"), suffix...), nil)
		return err == nil || err != nil
	}
	config := &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(3))}
	if err := quick.Check(parses, config); err != nil {
		t.Error(err)
	}
}

func BenchmarkParseCommand(b *testing.B) {
	const text = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$1\r\n1\r\n$20\r\nc=lookup,t=team,d=90\r\n"
	command := []byte(text)
	args := make([][]byte, 0, maxArguments)
	b.ReportAllocs()
	for b.Loop() {
		if size, _, err := ParseCommand(command, args); size != len(command) || err != nil {
			b.Fatal(size, err)
		}
	}
}
