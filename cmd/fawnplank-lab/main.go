// Command fawnplank-lab is the laboratory: it runs scenarios on the model or with real gateways and emulated services,
// sends the requests of scenarios to running gateways, benchmarks single components, and plots results. The command
// "fawnplank lab" executes it. It is a separate program because a gateway's memory is bounded, and a gateway does not
// need the fonts and the plotting code.
//
// Each command is defined in its own file, command_*.go. A command with several flags keeps them in a struct.
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

// run executes the command line and returns the exit status. It is a function of its own because os.Exit in main skips
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
		Short: "Test designs and faults on the model or with emulated services",
		Long: `The laboratory runs scenarios: TOML files that define the gateways and services, the requests that
clients send, and the faults with their times. On sockets, real gateways run with emulated services on loopback. On
the model, the gateway's decision code runs in simulated time, at sizes that sockets do not reach. Every run is
checked against the five rules.`,
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

// printf prints to the output of a command. It ignores write errors, because the output is only informative: a failed
// write must not end a run whose results are written to files.
func printf(command *cobra.Command, format string, values ...any) {
	_, _ = fmt.Fprintf(command.OutOrStdout(), format, values...)
}

// deprecateFlag hides a flag from the help text. Use of the flag prints a warning with the given message.
func deprecateFlag(command *cobra.Command, name, message string) {
	if err := command.Flags().MarkDeprecated(name, message); err != nil {
		panic(err) // programming error: the command has no such flag
	}
}

func requireFlag(command *cobra.Command, name string) {
	if err := command.MarkFlagRequired(name); err != nil {
		panic(err) // programming error: the command has no such flag
	}
}
