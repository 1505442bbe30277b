package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labProgram is the name of the separate program that executes the lab commands.
const labProgram = "fawnplank-lab"

func labCommand() *cobra.Command {
	return &cobra.Command{
		Use: "lab VERB", Short: "Simulate designs and faults: run, check, load, report, sweep, stand-ins",
		Long: `Passes its arguments to the program fawnplank-lab in the directory of this program. The lab is a separate
program because a gateway, whose memory is bounded, needs neither plots nor stand-ins.`,
		Example:            "  fawnplank lab run lab/scenarios/calm.toml\n  fawnplank lab --help",
		DisableFlagParsing: true,
		PersistentPreRunE:  func(*cobra.Command, []string) error { return nil },
		RunE:               func(_ *cobra.Command, args []string) error { return execLab(args) },
	}
}

// execLab replaces the current process with the program fawnplank-lab.
func execLab(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("lab: find the directory of this program: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), labProgram)
	if _, err := os.Stat(program); err != nil {
		if program, err = exec.LookPath(labProgram); err != nil {
			return fmt.Errorf("lab: %s is neither in the directory of this program nor on PATH; "+
				"build it with 'go build -o bin/ ./cmd/...'", labProgram)
		}
	}
	err = syscall.Exec(program, append([]string{program}, args...), os.Environ()) // returns only if it fails
	return fmt.Errorf("lab: run %s: %w", program, err)
}
