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

// Complete commands are read as redcon reads them, and truncated ones are incomplete.
func TestCommand_ReadsAsRedcon(t *testing.T) {
	same := func(words [][]byte) bool {
		words = append(words, []byte("x"))[:min(len(words)+1, maxWords)]
		text := redcon.AppendArray(nil, len(words))
		for _, word := range words {
			text = redcon.AppendBulk(text, word)
		}
		size, got, err := ParseCommand(append(text, "*1"...), nil)
		_, want, _, _, _ := redcon.ReadNextCommand(text, nil)
		for n := 1; n < len(text); n++ {
			if size, _, err := ParseCommand(text[:n], nil); size != 0 || err != nil {
				return false
			}
		}
		separator := []byte{0}
		sameWords := bytes.Equal(bytes.Join(got, separator), bytes.Join(want, separator))
		return err == nil && size == len(text) && sameWords
	}
	if err := quick.Check(same, &quick.Config{Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// Failure: a value of 60 MB was waited for up to the size of the largest command, an endless line likewise.
func TestCommand_JudgesLengthsBeforeWhatTheyCount(t *testing.T) {
	for _, text := range []string{
		"*1\r\n$60000000\r\n", fmt.Sprintf("*1\r\n$%d\r\n", MaxValueBytes+1), "*1\r\n$-1\r\n", "*1\r\n$-5\r\n",
		"*0\r\n", "*-1\r\n", "*17\r\n", "*9223372036854775807\r\n", "*x\r\n", "*\r\n", "*1\n",
		"*1\r\n$\r\n", "*1\r\n:4\r\n", "*1\r\n$9223372036854775807\r\nx", "*1\r\n$2\r\nabc\r\n",
		"*" + strings.Repeat("1", 20), "PING\r\n", "\x00", "\r\n", "*1\r\n$+4\r\nPING\r\n",
		"*1\r\n$" + strings.Repeat("0", 20), "$5 hello\r\n",
	} {
		size, _, err := ParseCommand([]byte(text), nil)
		if size != 0 || err == nil {
			t.Errorf("%.30q: %d, %v", text, size, err)
		}
		var malformed *ProtocolError
		if !errors.As(err, &malformed) {
			t.Errorf("%.30q: %v is no ProtocolError", text, err)
		}
	}
}

func TestCommand_ReadsLargestValue(t *testing.T) {
	largest := fmt.Appendf(nil, "*1\r\n$%d\r\n%s\r\n", MaxValueBytes, make([]byte, MaxValueBytes))
	if size, _, err := ParseCommand(largest, nil); size == 0 {
		t.Errorf("the largest value: %v", err)
	}
}

// No bytes make it panic.
func TestCommand_AnyBytes(t *testing.T) {
	safe := func(b []byte) bool {
		_, _, err := ParseCommand(append([]byte("*2\r\n$"), b...), nil)
		return err == nil || err != nil
	}
	config := &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(3))}
	if err := quick.Check(safe, config); err != nil {
		t.Error(err)
	}
}

func BenchmarkCommand(b *testing.B) {
	const text = "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000000b4d65521\r\n$1\r\n1\r\n$20\r\nc=lookup,t=team,d=90\r\n"
	command := []byte(text)
	words := make([][]byte, 0, maxWords)
	b.ReportAllocs()
	for b.Loop() {
		if size, _, err := ParseCommand(command, words); size != len(command) || err != nil {
			b.Fatal(size, err)
		}
	}
}
