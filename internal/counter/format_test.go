package counter

import (
	"errors"
	"testing"

	"fawnplank/internal/dispatch"
)

func TestCallsInRESP(t *testing.T) {
	want := "*3\r\n$11\r\nINCRBYFLOAT\r\n$2\r\n1f\r\n$4\r\n-2.5\r\n*4\r\n$7\r\nPEXPIRE\r\n$2\r\n1f\r\n$4\r\n4001\r\n$2\r\nNX\r\n"
	if got := string(RESP.write(nil, 0x1f, -2.5, 4_000_000_001)); got != want {
		t.Errorf("%q", got)
	}
	if got := string(Text.write(nil, 0x1f, -2.5, 4_000_000_000)); got != "bump 1f -2.5 4000\r\n" {
		t.Errorf("%q", got)
	}
}

// Answers cut anywhere are waited for; two replies make one answer; what can never become one is seen at once.
func TestAnswersInRESP(t *testing.T) {
	const good = "$4\r\n12.5\r\n:1\r\n$2\r\n-3\r\n:0\r\n-BUSY full\r\n-ERR no such key\r\n"
	for cut := range len(good) + 1 {
		var half reply
		var totals []float64
		var errs []error
		rest := []byte(good[:cut])
		for {
			size, done, spoilt, total, err := RESP.next(rest, &half)
			if spoilt {
				t.Fatalf("cut at %d: %q is taken for spoilt", cut, rest)
			}
			if size == 0 {
				break
			}
			if done {
				totals, errs = append(totals, total), append(errs, err)
			}
			rest = rest[size:]
		}
		if cut == len(good) && (len(totals) != 3 || totals[0] != 12.5 || totals[1] != -3 || errs[0] != nil || errs[2] != dispatch.ErrRejected) {
			t.Errorf("%v %v", totals, errs)
		}
	}
	for _, text := range []string{"HTTP/1.1 400", "*2\r\n", "$-1\r\n:0\r\n", "$99999999999999999999\r\n", "$3\r\nabc\r\n:1\r\n", "+OK\r\n:1\r\n", "$3\r\nNaN\r\n:0\r\n"} {
		var half reply
		rest := []byte(text)
		for {
			size, done, spoilt, _, err := RESP.next(rest, &half)
			var fault *dispatch.NetworkError
			if spoilt || done && errors.As(err, &fault) {
				break
			}
			if size == 0 {
				t.Errorf("%q is waited for", text)
				break
			}
			rest = rest[size:]
		}
	}
}

// FuzzAnswers: no answer of a counter, in either form, makes the reader panic, stand still with room, or run past
// what there is.
func FuzzAnswers(f *testing.F) {
	for _, text := range []string{"ok 3\r\n", "busy\r\nerror\r\n", "$1\r\n3\r\n:1\r\n", "$9223372036854775807\r\n", "-ERR\r\n:1\r\n", "*9\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, form := range []Format{Text, RESP} {
			var half reply
			for rest := text; ; {
				size, _, spoilt, _, _ := form.next(rest, &half)
				if size < 0 || size > len(rest) {
					t.Fatalf("%q: %d", rest, size)
				}
				if spoilt || size == 0 {
					if !spoilt && len(rest) > 2*longestAnswer {
						t.Fatalf("%d bytes are waited behind", len(rest))
					}
					break
				}
				rest = rest[size:]
			}
		}
	})
}
