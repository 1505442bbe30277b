package main

import (
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/scenario"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check SCENARIO...",
		Short:   "Validate scenario files",
		Args:    cobra.MinimumNArgs(1),
		Example: "  fawnplank lab check lab/scenarios/*.toml",
		RunE:    checkScenarios,
	}
}

func checkScenarios(command *cobra.Command, paths []string) error {
	for _, path := range paths {
		s, err := scenario.Load(path)
		if err != nil {
			return err
		}
		printDeprecationWarnings(command, s)
		printf(command, "%s: in order; %s, %d instances, %d backends, "+
			"%.0f requests a second for %v, %d faults\n",
			s.Name, s.Environment, s.Instances.Count, s.Backends.Count,
			s.Load.Rate, time.Duration(s.Duration), len(s.Faults))
	}
	return nil
}
