package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/plots"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/testbed"
)

// loadFlags are the flags of "load".
type loadFlags struct {
	scenario   scenarioFlags
	addresses  []string
	outputFile string
}

func loadCommand() *cobra.Command {
	var flags loadFlags
	command := &cobra.Command{
		Use:   "load SCENARIO --to ADDRESS",
		Short: "Send a scenario's requests to running gateways",
		Long: `Sends the scenario's requests to gateways that are already running, in an open loop that is
bounded by the scenario's duration, number of requests and number of connections. The scenario's classes and
plans must exist under the same names in the gateways' configuration. The scenario's faults are not injected.
Data that only backends record (attempts, quotas) is not reported. All addresses must be on loopback.`,
		Args: cobra.ExactArgs(1),
		Example: "  fawnplank lab load lab/scenarios/calm.toml --to 127.0.0.1:6379 " +
			"--set load.rate=500",
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.scenario.register(command)
	command.Flags().StringSliceVar(&flags.addresses, "to", nil, "addresses of the gateways, on loopback")
	addResultsFlag(command, &flags.outputFile)
	requireFlag(command, "to")
	return command
}

func (f *loadFlags) run(command *cobra.Command, path string) error {
	s, err := f.scenario.loadAndWarn(command, path,
		fmt.Sprintf("gateways.count=%d", len(f.addresses)),
		fmt.Sprintf("load.entry_points=%d", max(len(f.addresses), 1)))
	if err != nil {
		return err
	}
	for _, address := range f.addresses {
		if !isLoopback(address) {
			return fmt.Errorf("--to %s is not a loopback address: must be in 127.0.0.0/8 or [::1]", address)
		}
	}
	run, err := f.send(command.Context(), s)
	if err != nil {
		return err
	}
	if err := writeResults(f.outputFile, run); err != nil {
		return err
	}
	return plots.WriteTable(command.OutOrStdout(), run)
}

// send sends the scenario's requests until all are answered or ctx is done, and returns the results that the clients
// recorded.
func (f *loadFlags) send(ctx context.Context, s *scenario.Scenario) (*results.Run, error) {
	eventLog, err := testbed.NewEventLog(s)
	if err != nil {
		return nil, err
	}
	eventLog.Begin()
	tool := load.New(s, eventLog, f.addresses)
	tool.Run(ctx)
	run := eventLog.Finish()
	run.Environment = results.EnvironmentClients
	run.LagP50, run.LagP99 = tool.Lag()
	return run, nil
}

// isLoopback reports whether an address is on this machine's loopback interface. The load command sends to no other
// address, so that it cannot put load on services of others.
func isLoopback(address string) bool {
	for _, prefix := range []string{"127.", "[::1]:", "localhost:"} {
		if strings.HasPrefix(address, prefix) {
			return true
		}
	}
	return false
}
