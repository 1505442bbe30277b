package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/billingservice"
)

// billingVerb describes a subcommand that sends one limit command to a limits address.
type billingVerb struct {
	use, word, short, example string
	args                      int
}

// exampleTenant is the tenant in the examples of the help.
const exampleTenant = "0000000000000005"

var billingVerbs = []billingVerb{
	{
		use: "change TENANT ID PLAN AT", word: "PLAN.CHANGE", args: 4,
		short:   "Change a plan from a moment on (ms since 1970, or +ms)",
		example: "change " + exampleTenant + " spring-1 large +60000",
	},
	{
		use: "take-back TENANT ID", word: "PLAN.TAKEBACK", args: 2,
		short:   "Withdraw a change that no gateway applies yet",
		example: "take-back " + exampleTenant + " spring-1",
	},
	{
		use: "changes TENANT", word: "PLAN.LIST", args: 1,
		short:   "List plan changes",
		example: "changes " + exampleTenant,
	},
	{
		use: "reserve TENANT ID HOLDER PLAN UNITS LEASE-MS", word: "RESERVE.NEW", args: 6,
		short:   "Reserve units; prints the epoch, the units reserved, and until when",
		example: "reserve " + exampleTenant + " b1 batch-host team 500 60000",
	},
	{
		use: "commit TENANT ID EPOCH UNITS", word: "RESERVE.COMMIT", args: 4,
		short:   "Turn reserved units into usage",
		example: "commit " + exampleTenant + " b1 7 20",
	},
	{
		use: "renew TENANT ID EPOCH LEASE-MS", word: "RESERVE.RENEW", args: 4,
		short:   "Extend the lease of a reservation",
		example: "renew " + exampleTenant + " b1 8 60000",
	},
	{
		use: "take TENANT ID HOLDER LEASE-MS", word: "RESERVE.TAKE", args: 4,
		short:   "Move a reservation from its holder to another",
		example: "take " + exampleTenant + " b1 other-host 60000",
	},
	{
		use: "release TENANT ID EPOCH", word: "RESERVE.RELEASE", args: 3,
		short:   "Release what is left of a reservation",
		example: "release " + exampleTenant + " b1 9",
	},
	{
		use: "reservations TENANT", word: "RESERVE.LIST", args: 1,
		short:   "List reservations",
		example: "reservations " + exampleTenant,
	},
	{
		use: "room TENANT PLAN", word: "RESERVE.ROOM", args: 2,
		short:   "Show how much may still be reserved",
		example: "room " + exampleTenant + " team",
	},
}

// billingCommand returns the command group for the accounts.
func billingCommand(globals *globalFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "billing VERB",
		Short: "Change plans, reserve units, repair the export (docs/billing.md)",
	}
	var client limitsClient
	flags := command.PersistentFlags()
	flags.StringVar(&client.address, "at", "127.0.0.1:6390", "limits address of any gateway")
	flags.StringVar(&client.keyName, "key", "", "name of the key to authenticate with")
	flags.StringVar(&client.secretFile, "secret-file", "", "file with the key's secret")
	for _, verb := range billingVerbs {
		command.AddCommand(&cobra.Command{
			Use:     verb.use,
			Short:   verb.short,
			Example: "  fawnplank billing " + verb.example,
			Args:    cobra.ExactArgs(verb.args),
			RunE: func(command *cobra.Command, args []string) error {
				client.tls = globals.tls
				answer, err := client.call(command.Context(), append([]string{verb.word}, args...))
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(command.OutOrStdout(), answer)
				return err
			},
		})
	}
	command.AddCommand(billingResumeCommand(globals))
	return command
}

// billingResume holds the flags of "billing resume".
type billingResume struct {
	store      string
	after      uint64
	dropBefore string
}

func billingResumeCommand(globals *globalFlags) *cobra.Command {
	var r billingResume
	command := &cobra.Command{
		Use: "resume", Short: "Export again, after the store was restored from an old backup", Args: cobra.NoArgs,
		Long: `Continues with sequences behind those that the receiver has, and drops usage of windows that began
before a moment: the lost state may have exported it, and it must not be billed twice. Gateways should be stopped
meanwhile.`,
		Example: "  fawnplank billing resume --store 127.0.0.1:7101 --after 812 --drop-before 2026-04-01T12:00:00Z",
		RunE: func(command *cobra.Command, _ []string) error {
			client := storeClient{address: r.store, flag: "--store", tls: globals.tls}
			return r.run(command.OutOrStdout(), client)
		},
	}
	flags := command.Flags()
	flags.StringVar(&r.store, "store", "127.0.0.1:7101", "API address of a replica")
	flags.Uint64Var(&r.after, "after", 0, "last sequence that the receiver has")
	flags.StringVar(&r.dropBefore, "drop-before", "", "moment, as in RFC 3339, since which nothing was exported")
	return command
}

func (r billingResume) run(out io.Writer, client storeClient) error {
	moment, err := time.Parse(time.RFC3339, r.dropBefore)
	if err != nil {
		return fmt.Errorf("--drop-before: %w", err)
	}
	dropped, err := billingservice.Resume(client, r.after, moment)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d records and %d windows dropped; the next sequence follows %d\n",
		dropped.Records, dropped.Windows, r.after)
	return err
}
