package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/model"
	"fawnplank/internal/lab/plots"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/testbed"
)

// deprecatedGatewayFlag is the former name of --gateway. The command still accepts it and prints a warning.
const deprecatedGatewayFlag = "door"

// runFlags are the flags of "run".
type runFlags struct {
	scenario       scenarioFlags
	outputFile     string
	label          string
	pictureFile    string
	logFolder      string
	gatewayProgram string
}

func runCommand() *cobra.Command {
	var flags runFlags
	command := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Run a scenario and print its results",
		Args:  cobra.ExactArgs(1),
		Example: `  fawnplank lab run lab/scenarios/calm.toml
  fawnplank lab run lab/scenarios/counter-lost.toml --on model -o lost.json --plot lost.png
  fawnplank lab run lab/scenarios/hundred-gateways.toml --set gateways.count=200 --label 200-instances`,
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.scenario.register(command)
	addResultsFlag(command, &flags.outputFile)
	command.Flags().StringVar(&flags.label, "label", "", "name of this run in tables and plots")
	command.Flags().StringVar(&flags.pictureFile, "plot", "",
		"file that a plot of the results is written to, .png or .svg")
	command.Flags().StringVar(&flags.logFolder, "logs", "", "folder for the logs of the gateways (only on sockets)")
	program := defaultGatewayProgram()
	command.Flags().StringVar(&flags.gatewayProgram, "gateway", program,
		"path of the gateway's executable (only on sockets)")
	command.Flags().StringVar(&flags.gatewayProgram, deprecatedGatewayFlag, program, "use --gateway")
	deprecateFlag(command, deprecatedGatewayFlag, "use --gateway")
	command.MarkFlagsMutuallyExclusive("gateway", deprecatedGatewayFlag)
	return command
}

// defaultGatewayProgram returns the path of the gateway's executable in the folder of this program.
func defaultGatewayProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "fawnplank"
	}
	return filepath.Join(filepath.Dir(self), "fawnplank")
}

// run executes a scenario and prints its results. If the run ends with an error, such as a crashed gateway, the results
// are printed but not written, so that no results file holds an incomplete run.
func (f *runFlags) run(command *cobra.Command, path string) error {
	s, err := f.scenario.loadAndWarn(command, path)
	if err != nil {
		return err
	}
	start := time.Now()
	run, err := f.runScenario(command.Context(), s)
	if run == nil {
		return err
	}
	run.Label = f.label
	seconds := time.Since(start).Seconds()
	_ = plots.WriteTable(command.OutOrStdout(), run) // a failed write is ignored for the reason that printf gives
	printf(command, "%d events in %.2f s, %.0f a second\n", run.Events, seconds, float64(run.Events)/seconds)
	if err != nil {
		return err
	}
	return f.writeOutputs(s.Name, run)
}

// runScenario runs a scenario in the environment that it specifies: the model or sockets.
func (f *runFlags) runScenario(ctx context.Context, s *scenario.Scenario) (*results.Run, error) {
	if s.Environment == scenario.EnvironmentModel {
		return model.Run(s)
	}
	return testbed.Run(ctx, s, testbed.Options{
		GatewayCommand: []string{f.gatewayProgram},
		LogFolder:      f.logFolder,
	})
}

// writeOutputs writes the files that the flags name. It returns an error if the run violated a rule.
func (f *runFlags) writeOutputs(name string, run *results.Run) error {
	if err := writeResults(f.outputFile, run); err != nil {
		return err
	}
	err := drawPicture(f.pictureFile, func(file string) error { return plots.DrawRuns(file, run) })
	if err != nil {
		return err
	}
	return checkViolations(name, run)
}

// checkViolations returns an error if a run violated a rule.
func checkViolations(name string, run *results.Run) error {
	violations := run.Violations()
	if violations == 0 {
		return nil
	}
	return fmt.Errorf("%s: rules broken %d times; the findings below the table list each violation",
		name, violations)
}
