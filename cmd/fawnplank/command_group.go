package main

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// subcommand is a subcommand of a command group that takes a fixed number of arguments and has no flags of its own.
type subcommand struct {
	use     string // the verb and its arguments, separated by spaces, as the help shows them
	short   string // what it does, in one line of the help
	example string // without the names of the program and the group
	// run does the work and writes the answer to out.
	run func(ctx context.Context, out io.Writer, args []string) error
}

// newCommand returns the verb as a subcommand of a group.
func (v subcommand) newCommand(group string) *cobra.Command {
	arguments := strings.Fields(v.use)[1:]
	return &cobra.Command{
		Use:     v.use,
		Short:   v.short,
		Example: "  fawnplank " + group + " " + v.example,
		Args:    cobra.ExactArgs(len(arguments)),
		RunE: func(command *cobra.Command, args []string) error {
			return v.run(command.Context(), command.OutOrStdout(), args)
		},
	}
}
