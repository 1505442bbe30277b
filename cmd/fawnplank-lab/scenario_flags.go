package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/scenario"
)

// scenarioFlags are the flags that override values of a scenario.
type scenarioFlags struct {
	on   string
	seed uint64
	set  []string
}

func (f *scenarioFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.on, "on", "", "model or sockets, in place of the scenario's own")
	command.Flags().Uint64Var(&f.seed, "seed", 0, "seed in place of the scenario's own")
	command.Flags().StringArrayVar(&f.set, "set", nil, "key=value laid over the scenario, as often as wanted")
}

// load reads a scenario as read does, and warns of the old names that it uses.
func (f *scenarioFlags) load(
	command *cobra.Command, path string, commandOverrides ...string,
) (*scenario.Scenario, error) {
	s, err := f.read(path, commandOverrides...)
	if err != nil {
		return nil, err
	}
	warnOfDeprecations(command, s)
	return s, nil
}

// read reads a scenario and applies, in this order, --set, the command's own overrides, --on and --seed.
func (f *scenarioFlags) read(path string, commandOverrides ...string) (*scenario.Scenario, error) {
	overrides := slices.Concat(f.set, commandOverrides)
	if f.on != "" {
		overrides = append(overrides, "on="+f.on)
	}
	if f.seed != 0 {
		overrides = append(overrides, fmt.Sprintf("seed=%d", f.seed))
	}
	return scenario.Load(path, overrides...)
}

// warnOfDeprecations prints the old names that a scenario uses, each with the new one, as warnings. It ignores
// errors, as printf does.
func warnOfDeprecations(command *cobra.Command, s *scenario.Scenario) {
	for _, deprecation := range s.Deprecations {
		_, _ = fmt.Fprintln(command.ErrOrStderr(), "warning:", deprecation)
	}
}
