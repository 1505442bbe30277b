package main

import (
	"github.com/spf13/cobra"

	"fawnplank/internal/lab/plots"
	"fawnplank/internal/lab/results"
)

func reportCommand() *cobra.Command {
	var pictureFile string
	command := &cobra.Command{
		Use:     "report RUN...",
		Short:   "Tabulate and draw recorded runs, up to four side by side",
		Args:    cobra.RangeArgs(1, plots.MaxRuns),
		Example: "  fawnplank lab report before.json after.json -o change.png",
		RunE: func(command *cobra.Command, args []string) error {
			return report(command, args, pictureFile)
		},
	}
	command.Flags().StringVarP(&pictureFile, "output", "o", "", "picture to draw, .png or .svg")
	return command
}

func report(command *cobra.Command, paths []string, pictureFile string) error {
	var runs []*results.Run
	for _, path := range paths {
		run, err := results.Read(path)
		if err != nil {
			return err
		}
		runs = append(runs, run)
	}
	if pictureFile != "" {
		if err := plots.Draw(pictureFile, runs...); err != nil {
			return err
		}
	}
	return plots.Table(command.OutOrStdout(), runs...)
}
