// Command drill connects the policy engine to the operators' simulator: it reads batches of events from standard
// input and writes one reply per batch to standard output. Package internal/simadapter does the work.
//
// The name of the program is fixed: the operators' deploy page runs it as bin/drill.
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
