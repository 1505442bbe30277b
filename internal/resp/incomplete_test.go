package resp

import "testing"

func TestParseIncompleteCommand(t *testing.T) {
	for _, test := range []struct {
		input           string
		args            int
		leastSize       int
		onlyLastMissing bool
	}{
		{input: "*2\r", leastSize: 4},
		{input: "*2\r\n$4\r\nPING\r\n", args: 1, leastSize: 15},
		{input: "*2\r\n$4\r\nPING\r\n$10", args: 1, leastSize: 18},
		{input: "*2\r\n$4\r\nPING\r\n$10\r\nabc", args: 1, leastSize: 14 + 5 + 10 + 2, onlyLastMissing: true},
		{input: "*3\r\n$4\r\nPING\r\n$10\r\nabc", args: 1, leastSize: 14 + 5 + 10 + 2},
	} {
		incomplete, err := ParseIncompleteCommand([]byte(test.input), nil)
		if err != nil || len(incomplete.Args) != test.args || incomplete.LeastSize != test.leastSize ||
			incomplete.OnlyLastMissing != test.onlyLastMissing {
			t.Errorf("%q: %+v, error %v", test.input, incomplete, err)
		}
	}
	if _, err := ParseIncompleteCommand([]byte("*2\r\n$x\r\n"), nil); err == nil {
		t.Error("a malformed command has no error")
	}
}
