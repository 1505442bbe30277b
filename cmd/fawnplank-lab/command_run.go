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

// oldGatewayFlag is the name that --gateway had before. It is still read, with a warning.
const oldGatewayFlag = "door"

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
		Short: "Play a scenario and print its results",
		Args:  cobra.ExactArgs(1),
		Example: `  fawnplank lab run lab/scenarios/calm.toml
  fawnplank lab run lab/scenarios/counter-lost.toml --on model -o lost.json --plot lost.png
  fawnplank lab run lab/scenarios/hundred-gateways.toml --set gateways.count=200 --label 200-instances`,
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.scenario.register(command)
	addResultsFlag(command, &flags.outputFile)
	command.Flags().StringVar(&flags.label, "label", "", "what to call this run in tables and plots")
	command.Flags().StringVar(&flags.pictureFile, "plot", "", "picture to draw, .png or .svg")
	command.Flags().StringVar(&flags.logFolder, "logs", "", "sockets: folder for the gateways' logs")
	program := defaultGatewayProgram()
	command.Flags().StringVar(&flags.gatewayProgram, "gateway", program, "sockets: the gateway's program")
	command.Flags().StringVar(&flags.gatewayProgram, oldGatewayFlag, program, "use --gateway")
	deprecateFlag(command, oldGatewayFlag, "use --gateway")
	command.MarkFlagsMutuallyExclusive("gateway", oldGatewayFlag)
	return command
}

// defaultGatewayProgram returns the path of the gateway's program, which is next to this one.
func defaultGatewayProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "fawnplank"
	}
	return filepath.Join(filepath.Dir(self), "fawnplank")
}

// run plays a scenario and reports on it. A run that ended with an error, such as a crashed gateway, is
// printed but not written, so that no file of results holds a run cut short.
func (f *runFlags) run(command *cobra.Command, path string) error {
	s, err := f.scenario.load(command, path)
	if err != nil {
		return err
	}
	start := time.Now()
	run, err := f.play(command.Context(), s)
	if run == nil {
		return err
	}
	run.Label = f.label
	seconds := time.Since(start).Seconds()
	_ = plots.WriteTable(command.OutOrStdout(), run) // as in printf
	printf(command, "%d events in %.2f s, %.0f a second\n", run.Events, seconds, float64(run.Events)/seconds)
	if err != nil {
		return err
	}
	return f.write(s.Name, run)
}

// play plays a scenario on the model or on sockets, as the scenario says.
func (f *runFlags) play(ctx context.Context, s *scenario.Scenario) (*results.Run, error) {
	if s.Environment == scenario.EnvironmentModel {
		return model.Run(s)
	}
	return testbed.Run(ctx, s, testbed.Options{
		GatewayCommand: []string{f.gatewayProgram},
		LogFolder:      f.logFolder,
	})
}

// write writes the files that the flags ask for, and fails if a rule was broken.
func (f *runFlags) write(name string, run *results.Run) error {
	if err := writeResults(f.outputFile, run); err != nil {
		return err
	}
	err := drawPicture(f.pictureFile, func(file string) error { return plots.DrawRuns(file, run) })
	if err != nil {
		return err
	}
	return checkRules(name, run)
}

// checkRules returns an error if a run broke a rule.
func checkRules(name string, run *results.Run) error {
	violations := run.Violations()
	if violations == 0 {
		return nil
	}
	return fmt.Errorf("%s: rules broken %d times; the findings below the table say when and how",
		name, violations)
}
