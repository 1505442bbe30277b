// Command fawnplank-lab is the laboratory's program: it plays scenarios on the model or between emulated
// services, sends their requests to running gateways, measures single parts, and draws reports. "fawnplank lab"
// runs it. It is a separate program because a gateway's memory is bounded, and a gateway needs no fonts and plots.
//
// Each command has its own file, command_*.go, and is a value that holds its flags.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit status. It is separate from main because os.Exit skips
// deferred calls.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fawnplank lab:", err)
		return 1
	}
	return 0
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "lab",
		Short: "Try designs and faults on the model or between emulated services",
		Long: `The laboratory plays scenarios: TOML files that say what is balanced, which requests come, and
which faults when. On sockets, real gateways run between emulated services on loopback; on the model, the real
decisions run in simulated time, at sizes that sockets do not reach. The five rules are checked in every run.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		runCommand(),
		checkCommand(),
		loadCommand(),
		reportCommand(),
		sweepCommand(),
		standInsCommand(),
		zoneCommand(),
		accountsCommand(),
	)
	return root
}

// printf prints to the output of a command. It ignores errors: the output is for a reader, and a failed write
// must not end a run whose results go to files.
func printf(command *cobra.Command, format string, values ...any) {
	_, _ = fmt.Fprintf(command.OutOrStdout(), format, values...)
}

// deprecateFlag hides a flag and warns whoever uses it.
func deprecateFlag(command *cobra.Command, name, advice string) {
	if err := command.Flags().MarkDeprecated(name, advice); err != nil {
		panic(err) // the command has no such flag: a mistake in this package
	}
}

// requireFlag makes a flag required.
func requireFlag(command *cobra.Command, name string) {
	if err := command.MarkFlagRequired(name); err != nil {
		panic(err) // the command has no such flag: a mistake in this package
	}
}
