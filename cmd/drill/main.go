// Command drill runs the engine on the operators' simulator: it reads batches of events from standard input
// and writes one reply per batch to standard output, as internal/simadapter does it.
//
// The program keeps this name because the operators' deploy page runs it as bin/drill.
package main

import (
	"fmt"
	"os"

	"fawnplank/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
