package main

import (
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/billingbench"
)

// defaultAccountsDuration is the default time for which each client sends commands.
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
		Short:   "Measure reservations on a cluster of three replicas, with and without TLS",
		Args:    cobra.NoArgs,
		Example: "  fawnplank lab accounts --clients 1,8 --span 10s",
		RunE:    func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().IntSliceVar(&flags.clients, "clients", []int{1, 8},
		"numbers of concurrent clients to measure, each of which sends one command at a time")
	command.Flags().DurationVar(&flags.duration, "span", defaultAccountsDuration,
		"time for which the clients send commands")
	return command
}

func (f *accountsFlags) run(command *cobra.Command) error {
	logErrorsOnly()
	var costs []billingbench.Cost
	for _, clients := range f.clients {
		for _, withTLS := range []bool{false, true} {
			cost, err := billingbench.Measure(command.Context(), billingbench.Options{
				TLS:      withTLS,
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
