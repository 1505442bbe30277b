package main

import (
	"bufio"
	"strings"
	"testing"
)

// TestReadAnswer checks that the values of an answer are separated by spaces, that nested arrays become one line each,
// and that error answers and invalid RESP are returned as errors.
func TestReadAnswer(t *testing.T) {
	for _, test := range []struct{ text, want, wantError string }{
		{text: "+OK\r\n", want: "OK"},
		{text: ":5\r\n", want: "5"},
		{text: "$3\r\nabc\r\n", want: "abc"},
		{text: "$0\r\n\r\n", want: ""},
		{text: "*0\r\n", want: ""},
		{text: "*2\r\n:1\r\n$1\r\nx\r\n", want: "1 x"},
		{text: "*2\r\n*2\r\n:1\r\n:2\r\n*2\r\n:3\r\n:4\r\n", want: "1 2\n3 4"},
		{text: "-NOPERM no right\r\n", wantError: "NOPERM no right"},
		{text: "*2\r\n:1\r\n-ERR x\r\n", wantError: "ERR x"},
		{text: "\r\n", wantError: "no answer in RESP"},
		{text: "$-1\r\n", wantError: "no answer in RESP"},
		{text: "$2000000\r\n", wantError: "no answer in RESP"},
		{text: "*70000\r\n", wantError: "no answer in RESP"},
		{text: "*x\r\n", wantError: "no answer in RESP"},
		{text: "$5\r\nab", wantError: "unexpected EOF"},
		{text: "", wantError: "EOF"},
	} {
		got, err := readAnswer(bufio.NewReader(strings.NewReader(test.text)))
		if test.wantError == "" {
			if err != nil || got != test.want {
				t.Errorf("%q: %q, %v", test.text, got, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%q: %q, %v, want an error with %q", test.text, got, err, test.wantError)
		}
	}
}
