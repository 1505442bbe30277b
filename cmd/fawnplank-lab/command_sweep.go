package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fawnplank/internal/lab/model"
	"fawnplank/internal/lab/plots"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

// defaultParallelRuns leaves half of the cores of an eight-core machine free for other work.
const defaultParallelRuns = 4

// sweepFlags are the flags of "sweep".
type sweepFlags struct {
	scenario     scenarioFlags
	pictureFile  string
	parallelRuns int
}

func sweepCommand() *cobra.Command {
	var flags sweepFlags
	command := &cobra.Command{
		Use:   "sweep SCENARIO KEY=VALUE,VALUE,...",
		Short: "Run a scenario on the model once for each of several values of a key",
		Args:  cobra.ExactArgs(2),
		Example: "  fawnplank lab sweep lab/scenarios/counter-lost.toml " +
			"gateways.count=2,5,10,20,50 -o instances.png",
		RunE: func(command *cobra.Command, args []string) error {
			return flags.run(command, args[0], args[1])
		},
	}
	flags.scenario.register(command)
	addPictureFlag(command, &flags.pictureFile)
	command.Flags().IntVar(&flags.parallelRuns, "parallel", defaultParallelRuns,
		"maximum number of concurrent runs")
	return command
}

func (f *sweepFlags) run(command *cobra.Command, path, assignment string) error {
	key, valueList, ok := strings.Cut(assignment, "=")
	if !ok || valueList == "" {
		return fmt.Errorf("%q is not of the form key=value,value", assignment)
	}
	values := strings.Split(valueList, ",")
	runs, err := f.runScenarios(command, path, key, values)
	if err != nil {
		return err
	}
	err = drawPicture(f.pictureFile, func(file string) error { return plots.DrawSweep(file, key, values, runs) })
	if err != nil {
		return err
	}
	if err := plots.WriteTable(command.OutOrStdout(), runs...); err != nil {
		return err
	}
	for _, run := range runs {
		if err := checkViolations(run.Label, run); err != nil {
			return err
		}
	}
	return nil
}

// runScenarios runs the scenario once for each value and returns the results in the order of the values. It validates
// all values before the first run, so that an invalid value is reported before any time is spent on runs.
func (f *sweepFlags) runScenarios(
	command *cobra.Command, path, key string, values []string,
) ([]*results.Run, error) {
	scenarios := make([]*scenario.Scenario, len(values))
	for n, value := range values {
		s, err := f.scenario.read(path, key+"="+value, "on=model")
		if err != nil {
			return nil, err
		}
		scenarios[n] = s
	}
	printDeprecationWarnings(command, scenarios[0]) // the other scenarios differ only in the value of the key
	runs := make([]*results.Run, len(values))
	var group errgroup.Group
	group.SetLimit(f.parallelRuns)
	for n, s := range scenarios {
		group.Go(func() error {
			run, err := model.Run(s)
			if err != nil {
				return err
			}
			run.Label = key + "=" + values[n]
			runs[n] = run
			return nil
		})
	}
	return runs, group.Wait()
}
