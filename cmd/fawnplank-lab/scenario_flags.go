package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/scenario"
)

// scenarioFlags are the flags that override values of a scenario.
type scenarioFlags struct {
	environment string
	seed        uint64
	set         []string
}

func (f *scenarioFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.environment, "on", "", "model or sockets; overrides the scenario's value")
	command.Flags().Uint64Var(&f.seed, "seed", 0, "seed of the run; 0 keeps the scenario's seed")
	command.Flags().StringArrayVar(&f.set, "set", nil, "key=value that overrides a value of the scenario; may be repeated")
}

// loadAndWarn calls read and prints a warning for each deprecated name in the scenario.
func (f *scenarioFlags) loadAndWarn(
	command *cobra.Command, path string, commandOverrides ...string,
) (*scenario.Scenario, error) {
	s, err := f.read(path, commandOverrides...)
	if err != nil {
		return nil, err
	}
	printDeprecationWarnings(command, s)
	return s, nil
}

// read reads a scenario and applies overrides in this order, of which the last takes precedence: --set,
// commandOverrides, --on, --seed.
func (f *scenarioFlags) read(path string, commandOverrides ...string) (*scenario.Scenario, error) {
	overrides := slices.Concat(f.set, commandOverrides)
	if f.environment != "" {
		overrides = append(overrides, "on="+f.environment)
	}
	if f.seed != 0 {
		overrides = append(overrides, fmt.Sprintf("seed=%d", f.seed))
	}
	return scenario.Load(path, overrides...)
}

// printDeprecationWarnings prints a warning for each deprecated name in a scenario, with the name that replaces it. It
// ignores write errors, as printf does.
func printDeprecationWarnings(command *cobra.Command, s *scenario.Scenario) {
	for _, deprecation := range s.Deprecations {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), "warning:", deprecation)
	}
}
