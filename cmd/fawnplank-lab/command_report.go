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
		Short:   "Print and plot the results of up to four runs side by side",
		Args:    cobra.RangeArgs(1, plots.MaxRuns),
		Example: "  fawnplank lab report before.json after.json -o change.png",
		RunE: func(command *cobra.Command, args []string) error {
			return report(command, args, pictureFile)
		},
	}
	addPictureFlag(command, &pictureFile)
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
	err := drawPicture(pictureFile, func(file string) error { return plots.DrawRuns(file, runs...) })
	if err != nil {
		return err
	}
	return plots.WriteTable(command.OutOrStdout(), runs...)
}
