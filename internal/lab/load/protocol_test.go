package load

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/workload"
)

func TestGenerator_FormatCommand(t *testing.T) {
	g, _ := newGenerator(t, "")
	g.workload.Tenants[0].FirstInstance = 0
	for class, want := range []string{
		"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000001\r\n$16\r\n000000000000abcd\r\n" +
			"$50\r\nc=calc,t=despacho,d=250,units=2.5,spread=1,first=0\r\n",
		"*4\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000000000000001\r\n$16\r\n000000000000abcd\r\n" +
			"$52\r\nc=submit,t=despacho,d=250,units=2.5,spread=1,first=0\r\n",
	} {
		request := workload.Request{Class: class, Units: 2.5}
		s := submission{request: request, id: 0xabcd, remaining: 250 * time.Millisecond}
		if got := g.formatCommand(s); got != want {
			t.Errorf("class %d: %q, want %q", class, got, want)
		}
	}
}

func TestReadAnswer(t *testing.T) {
	for written, want := range map[string]string{
		"+OK\r\n":            "+OK",
		"-BUSY 20\r\n":       "-BUSY 20",
		"$5\r\nhello\r\n":    "$hello",
		"$4\r\n\r\n\r\n\r\n": "$\r\n\r\n",
		"$0\r\n\r\n":         "$",
		"$-1\r\n":            "$-1",
		"$x\r\n":             "$x",
		"$99999999999\r\n":   "$99999999999",
	} {
		got, err := readAnswer(bufio.NewReader(strings.NewReader(written)))
		if err != nil || got != want {
			t.Errorf("%q: %q, %v, want %q", written, got, err, want)
		}
	}
	for _, written := range []string{"", "+O", "$5\r\nhel", "$5\r\nhello"} {
		if got, err := readAnswer(bufio.NewReader(strings.NewReader(written))); err == nil {
			t.Errorf("truncated answer %q was accepted as %q", written, got)
		}
	}
}

func TestParseOutcome(t *testing.T) {
	for answer, want := range map[string]outcome{
		"$hello":      {kind: invariants.Succeeded, sent: true},
		"$":           {kind: invariants.Succeeded, sent: true},
		"$-1":         {kind: invariants.Aborted, sent: true},
		"":            {kind: invariants.Aborted, sent: true},
		"+OK":         {kind: invariants.Aborted, sent: true},
		"-TIMEOUT":    {kind: invariants.Aborted, sent: true},
		"-BUSYNESS":   {kind: invariants.Aborted, sent: true},
		"-BUSY":       {kind: invariants.Rejected, sent: true},
		"-BUSY soon":  {kind: invariants.Rejected, sent: true},
		"-BUSY 20":    {kind: invariants.Rejected, retryAfter: 20 * time.Millisecond, sent: true},
		"-BUSY 20 ms": {kind: invariants.Rejected, retryAfter: 20 * time.Millisecond, sent: true},
	} {
		if got := parseOutcome(answer); got != want {
			t.Errorf("%q: %+v, want %+v", answer, got, want)
		}
	}
}
