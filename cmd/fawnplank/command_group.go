package main

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// subcommand describes a subcommand of a command group. It takes a fixed number of arguments and has no own flags.
type subcommand struct {
	use     string // name and arguments, separated by spaces, as the help shows them
	short   string // description of one line for the help
	example string // example call, without the names of the program and the group
	// run executes the subcommand and writes its result to out.
	run func(ctx context.Context, out io.Writer, args []string) error
}

// newCommand returns the subcommand as a command of the named group.
func (s subcommand) newCommand(group string) *cobra.Command {
	arguments := strings.Fields(s.use)[1:]
	return &cobra.Command{
		Use:     s.use,
		Short:   s.short,
		Example: "  fawnplank " + group + " " + s.example,
		Args:    cobra.ExactArgs(len(arguments)),
		RunE: func(command *cobra.Command, args []string) error {
			return s.run(command.Context(), command.OutOrStdout(), args)
		},
	}
}
