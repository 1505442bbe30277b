// Command fawnplank is a gateway in front of a shared API. It admits clients' requests according to their
// tenant's quota and sends each to a backend. The same program checks and migrates configurations and
// operates the replicated store, the DNS zone and the accounts.
//
// The package parses the command line (command_*.go) and wires the parts of a gateway together (gateway*.go):
// newGateway constructs them in a fixed order, gateway.Run serves and handles signals one at a time, and
// gateway.Close releases everything in reverse order. It owns the process: its signals, its log, and how memory
// and descriptors are divided (resources.go). Package policy makes the decisions; each part around it is a
// package under internal.
//
// The goroutine of gateway.Run alone applies reloads and begins a shutdown. Types whose methods other goroutines
// call say so.
package main

import (
	"fmt"
	"os"
)

// version is the release version. A build may set it with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fawnplank:", err)
		os.Exit(1)
	}
}
