package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

const labProgram = "fawnplank-lab"

func labCommand() *cobra.Command {
	return &cobra.Command{
		Use: "lab VERB", Short: "Try designs and faults: run, check, load, report, sweep, stand-ins",
		Long: `Passes its arguments on to the laboratory's own program, fawnplank-lab, which lies beside this one: plots
and stand-ins are no part of a gateway, whose memory is bounded.`,
		Example:            "  fawnplank lab run lab/scenarios/calm.toml\n  fawnplank lab --help",
		DisableFlagParsing: true,
		PersistentPreRunE:  func(*cobra.Command, []string) error { return nil },
		RunE:               func(_ *cobra.Command, args []string) error { return execLab(args) },
	}
}

// execLab replaces the current process with the laboratory's program.
func execLab(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), labProgram)
	if _, err := os.Stat(program); err != nil {
		if program, err = exec.LookPath(labProgram); err != nil {
			return errors.New("lab: fawnplank-lab is neither beside this program nor on PATH; " +
				"build it with 'go build -o bin/ ./cmd/...'")
		}
	}
	return syscall.Exec(program, append([]string{program}, args...), os.Environ())
}
