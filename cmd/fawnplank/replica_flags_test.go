package main

import (
	"strings"
	"testing"

	"fawnplank/internal/tlsconfig"
)

// Faults of the replica's flags are named by flag; a replica alone need not be among peers.
func TestReplicaFlags_Options(t *testing.T) {
	const self, other = "a@127.0.0.1:1@127.0.0.1:2", "b@127.0.0.1:3@127.0.0.1:4"
	for _, test := range []struct {
		flags replicaFlags
		fault string
	}{
		{flags: replicaFlags{self: self}},
		{flags: replicaFlags{self: self, peers: []string{self, other}}},
		{flags: replicaFlags{self: "a@x"}, fault: "--me: "},
		{flags: replicaFlags{self: self, peers: []string{self, "b"}}, fault: "--peers: "},
		{flags: replicaFlags{self: self, peers: []string{other}}, fault: "--peers: " + self + " is not among them"},
	} {
		options, err := test.flags.options(tlsconfig.Files{})
		if test.fault == "" {
			if err != nil || options.Self.ID != "a" || len(options.Peers) != len(test.flags.peers) {
				t.Errorf("%+v: %+v, %v", test.flags, options, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), test.fault) {
			t.Errorf("%+v: %v, want %q", test.flags, err, test.fault)
		}
	}
}
