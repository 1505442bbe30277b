// Command fawnplank is a gateway in front of a shared API. It admits clients' requests according to the quota of their
// tenant and sends each admitted request to a backend. The same program checks and migrates configurations and operates
// the replicated store, the DNS zone and the accounts.
//
// The package parses the command line (command_*.go) and connects the parts of a gateway (gateway*.go): newGateway
// constructs the parts in a fixed order, gateway.Run serves and handles signals one at a time, and gateway.Close stops
// the parts in reverse order. The package also handles the signals of the process, sets up its log, and divides memory
// and file descriptors between the parts (resources.go). Package policy makes the decisions on requests; every other
// part is a package under internal.
//
// Only the goroutine of gateway.Run applies reloads and begins a shutdown. A type whose methods other goroutines may
// call is documented as safe for concurrent use.
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
