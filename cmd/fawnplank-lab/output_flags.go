package main

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"fawnplank/internal/lab/results"
)

// addResultsFlag adds --output, -o, for a file of results.
func addResultsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "output", "o", "", "file that the results are written to, as JSON")
}

// addPictureFlag adds --output, -o, for a picture.
func addPictureFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "output", "o", "", "picture to draw, .png or .svg")
}

// writeResults writes a run to the file that a flag names, if any.
func writeResults(file string, run *results.Run) error {
	if file == "" {
		return nil
	}
	return run.Write(file)
}

// drawPicture draws into the file that a flag names, if any.
func drawPicture(file string, draw func(file string) error) error {
	if file == "" {
		return nil
	}
	return draw(file)
}

// logErrorsOnly keeps the log entries of what is measured out of the table and out of the measured time.
func logErrorsOnly() { logrus.SetLevel(logrus.ErrorLevel) }
