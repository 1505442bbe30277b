package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"fawnplank/internal/testutil"
)

func TestCommandLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(configuration, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	writeFile(t, file, text)
	invalidFile := file + ".bad"
	writeFile(t, invalidFile, strings.Replace(text, `"me":0`, `"me":"x"`, 1))
	invalidKnownFile := file + ".known"
	writeFile(t, invalidKnownFile, strings.Replace(text, `"name":"s-1"`, `"name":""`, 1))
	for _, test := range []struct {
		args  string
		want  string
		fails bool
	}{
		{args: "version", want: "fawnplank"},
		{args: "check -c " + file, want: "n0: in order"},
		{args: "--help", want: "serve"},
		{args: "check -c " + invalidFile, want: "settings.me", fails: true},
		{args: "serve -c " + invalidFile, want: "settings.me", fails: true},
		{args: "migrate -c " + file + " --dry-run", want: "1 not carried over; nothing written"},
		{args: "migrate -c " + file + " -o " + file, want: "is there already", fails: true},
		{args: "migrate -c " + file, want: "--dry-run", fails: true},
		{args: "migrate -c " + invalidFile + " --dry-run", want: invalidFile + ": settings: settings.me", fails: true},
		{args: "check -c " + invalidKnownFile, want: "known", fails: true},
		{args: "serve -c " + invalidKnownFile, want: "known", fails: true},
		{args: "check", want: "GW_CONFIG", fails: true},
		{args: "", want: "one command", fails: true},
		{args: "dance", want: "unknown command", fails: true},
		{args: "serve --log-level loud", want: "log-level", fails: true},
	} {
		out, err := runProgram(t, strings.Fields(test.args)...)
		if (err != nil) != test.fails || !strings.Contains(out, test.want) {
			t.Errorf("%s: %v, %q", test.args, err, out)
		}
	}
}

// TestCommandLine_ErrorsNameCauseAndRemedy checks that the error texts name the cause, the file or address, and the
// flag or key to change.
func TestCommandLine_ErrorsNameCauseAndRemedy(t *testing.T) {
	unusedAddress := testutil.FreeAddress(t)
	operator := filepath.Join(t.TempDir(), "op.toml")
	writeFile(t, operator, "")
	for _, test := range []struct {
		args string
		want []string
	}{
		{args: "store status --at " + unusedAddress,
			want: []string{"no replica listens at " + unusedAddress, "--at", "refused"}},
		{args: "billing resume --drop-before 2026-01-01T00:00:00Z --store " + unusedAddress,
			want: []string{"no replica listens at " + unusedAddress, "--store", "refused"}},
		{args: "billing room 0000000000000005 team --at " + unusedAddress,
			want: []string{"no gateway serves limit commands at " + unusedAddress, "--at", "limits.listen"}},
		{args: "billing room 0000000000000005 team --key ops", want: []string{"--secret-file"}},
		{args: "check -c absent.json", want: []string{"absent.json", "--config", "GW_CONFIG"}},
		{args: "check absent.toml", want: []string{"absent.toml", "name an existing file"}},
		{args: "dns list --operator absent.toml", want: []string{"absent.toml", "--operator", "GW_OPERATOR"}},
		{args: "dns list --operator " + operator, want: []string{"names no zone", "dns.zone_file", "--operator"}},
	} {
		out, err := runProgram(t, strings.Fields(test.args)...)
		for _, want := range test.want {
			if err == nil || !strings.Contains(out, want) {
				t.Errorf("%s: the output lacks %q: %v, %q", test.args, want, err, out)
			}
		}
	}
}
