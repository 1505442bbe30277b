// The stand-ins and the cases of the second review. A case's run.sh calls it with the name of the case and the case's
// folder.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the name of each case to its course, which reports whether the rule was broken. Each case adds itself.
var cases = map[string]func(w *world) bool{}

// helpers maps the names of the processes that a case starts beside the project's programs to what they do. Each gets
// its arguments.
var helpers = map[string]func(args []string){}

func main() {
	if len(os.Args) > 1 && helpers[os.Args[1]] != nil {
		helpers[os.Args[1]](os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	run(folder, cases[os.Args[1]])
}
