package main

import (
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/billingbench"
)

// defaultAccountsDuration is how long clients send commands.
const defaultAccountsDuration = 5 * time.Second

// accountsFlags are the flags of "accounts".
type accountsFlags struct {
	clients  []int
	duration time.Duration
}

func accountsCommand() *cobra.Command {
	var flags accountsFlags
	command := &cobra.Command{
		Use:     "accounts",
		Short:   "Measure reservations on three replicas, with and without TLS",
		Args:    cobra.NoArgs,
		Example: "  fawnplank lab accounts --clients 1,8 --span 10s",
		RunE:    func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().IntSliceVar(&flags.clients, "clients", []int{1, 8},
		"connections that send one command after the other")
	command.Flags().DurationVar(&flags.duration, "span", defaultAccountsDuration, "time for which they send")
	return command
}

func (f *accountsFlags) run(command *cobra.Command) error {
	logErrorsOnly()
	var costs []billingbench.Cost
	for _, clients := range f.clients {
		for _, secure := range []bool{false, true} {
			cost, err := billingbench.Measure(command.Context(), billingbench.Options{
				TLS:      secure,
				Clients:  clients,
				Duration: f.duration,
			})
			if err != nil {
				return err
			}
			costs = append(costs, cost)
		}
	}
	return billingbench.WriteTable(command.OutOrStdout(), costs)
}
