package main

import (
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"fawnplank/internal/lab/results"
)

// addResultsFlag adds the flag --output (-o), which names a file for the results.
func addResultsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "output", "o", "", "file that the results are written to, as JSON")
}

// addPictureFlag adds the flag --output (-o), which names an image file for a plot.
func addPictureFlag(command *cobra.Command, file *string) {
	command.Flags().StringVarP(file, "output", "o", "", "file that a plot of the results is written to, .png or .svg")
}

// writeResults writes the results of a run to the given file. An empty name means that the flag was not set; then
// writeResults does nothing.
func writeResults(file string, run *results.Run) error {
	if file == "" {
		return nil
	}
	return run.Write(file)
}

// drawPicture calls draw with the given file. An empty name means that the flag was not set; then drawPicture does
// nothing.
func drawPicture(file string, draw func(file string) error) error {
	if file == "" {
		return nil
	}
	return draw(file)
}

// logErrorsOnly suppresses log entries below the error level, so that log entries of the measured component neither mix
// with the printed table nor add to the measured time.
func logErrorsOnly() { logrus.SetLevel(logrus.ErrorLevel) }
