package main

import (
	"strings"
	"testing"

	"fawnplank/internal/tlsconfig"
)

// TestReplicaFlags_Options checks that errors in the replica's flags name the flag, and that a single replica needs no
// list of peers.
func TestReplicaFlags_Options(t *testing.T) {
	const self, other = "a@127.0.0.1:1@127.0.0.1:2", "b@127.0.0.1:3@127.0.0.1:4"
	for _, test := range []struct {
		flags     replicaFlags
		wantError string
	}{
		{flags: replicaFlags{self: self}},
		{flags: replicaFlags{self: self, peers: []string{self, other}}},
		{flags: replicaFlags{self: "a@x"}, wantError: "--me: "},
		{flags: replicaFlags{self: self, peers: []string{self, "b"}}, wantError: "--peers: "},
		{flags: replicaFlags{self: self, peers: []string{other}}, wantError: "--peers: " + self + " is not among them"},
	} {
		options, err := test.flags.options(tlsconfig.Files{})
		if test.wantError == "" {
			if err != nil || options.Self.ID != "a" || len(options.Peers) != len(test.flags.peers) {
				t.Errorf("%+v: %+v, %v", test.flags, options, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%+v: %v, want %q", test.flags, err, test.wantError)
		}
	}
}
