// Command fawnplank is a gateway in front of a shared API. It admits clients' requests according to their
// tenant's quota and sends each to a backend. The same program checks and migrates configurations and
// operates the replicated store, the DNS zone and the accounts.
//
// The package parses the command line (command_*.go) and wires the parts together: newGateway constructs them
// in a fixed order, gateway.Run serves and handles signals one at a time, and gateway.Close releases
// everything in reverse order. Package policy makes the decisions; each part around it is a package under
// internal.
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
