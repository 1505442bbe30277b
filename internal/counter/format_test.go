package counter

import (
	"errors"
	"testing"

	"fawnplank/internal/dispatch"
)

func TestFormat_AppendCall(t *testing.T) {
	want := "*3\r\n$11\r\nINCRBYFLOAT\r\n$2\r\n1f\r\n$4\r\n-2.5\r\n" +
		"*4\r\n$7\r\nPEXPIRE\r\n$2\r\n1f\r\n$4\r\n4001\r\n$2\r\nNX\r\n"
	if got := string(RESP.appendCall(nil, increment{key: 0x1f, units: -2.5, lifetime: 4_000_000_001})); got != want {
		t.Errorf("%q", got)
	}
	want = "bump 1f -2.5 4000\r\n"
	if got := string(Text.appendCall(nil, increment{key: 0x1f, units: -2.5, lifetime: 4_000_000_000})); got != want {
		t.Errorf("%q", got)
	}
}

// parseAll parses RESP answers until the remaining data is incomplete or malformed. It returns the complete answers
// and the last status.
func parseAll(data []byte) (complete []answer, last answerStatus) {
	var pending respReply
	for {
		got := RESP.parseAnswer(data, &pending)
		switch got.status {
		case answerIncomplete, answerMalformed:
			return complete, got.status
		case answerComplete:
			complete = append(complete, got)
		}
		data = data[got.size:]
	}
}

// TestParseRESPAnswer_WaitsForTruncatedAnswer checks that an answer cut off at any byte is incomplete, not malformed,
// and that two replies make up one answer.
func TestParseRESPAnswer_WaitsForTruncatedAnswer(t *testing.T) {
	const data = "$4\r\n12.5\r\n:1\r\n$2\r\n-3\r\n:0\r\n-BUSY full\r\n-ERR no such key\r\n"
	for cut := range len(data) + 1 {
		answers, last := parseAll([]byte(data[:cut]))
		if last == answerMalformed {
			t.Fatalf("the data cut off at %d is malformed", cut)
		}
		if cut < len(data) {
			continue
		}
		if len(answers) != 3 || answers[0].total != 12.5 || answers[1].total != -3 || answers[0].err != nil ||
			!errors.Is(answers[2].err, dispatch.ErrRejected) {
			t.Errorf("%+v", answers)
		}
	}
}

// TestParseRESPAnswer_RejectsMalformedAnswerAtOnce checks that data that cannot become an answer is not treated as
// incomplete.
func TestParseRESPAnswer_RejectsMalformedAnswerAtOnce(t *testing.T) {
	for _, data := range []string{
		"HTTP/1.1 400", "*2\r\n", "$-1\r\n:0\r\n", "$99999999999999999999\r\n", "$3\r\nabc\r\n:1\r\n",
		"+OK\r\n:1\r\n", "$3\r\nNaN\r\n:0\r\n",
	} {
		answers, last := parseAll([]byte(data))
		var networkError *dispatch.NetworkError
		if last != answerMalformed && (len(answers) == 0 || !errors.As(answers[0].err, &networkError)) {
			t.Errorf("%q is incomplete or has a total", data)
		}
	}
}

// FuzzParseAnswer checks for both formats that no data makes the parser panic, return a size beyond the data, or wait
// for more bytes although the data is already longer than an answer may be.
func FuzzParseAnswer(f *testing.F) {
	for _, data := range []string{
		"ok 3\r\n", "busy\r\nerror\r\n",
		"$1\r\n3\r\n:1\r\n", "$9223372036854775807\r\n", "-ERR\r\n:1\r\n", "*9\r\n",
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, format := range []Format{Text, RESP} {
			checkParse(t, format, data)
		}
	})
}

// checkParse parses answers until the remaining data is incomplete or malformed, and checks their sizes.
func checkParse(t *testing.T, format Format, data []byte) {
	t.Helper()
	var pending respReply
	for {
		got := format.parseAnswer(data, &pending)
		if got.size < 0 || got.size > len(data) {
			t.Fatalf("parsing %q: answer size %d", data, got.size)
		}
		if got.status == answerMalformed {
			return
		}
		if got.size == 0 {
			if len(data) > 2*maxAnswerBytes {
				t.Fatalf("%d bytes are an incomplete answer", len(data))
			}
			return
		}
		data = data[got.size:]
	}
}
