package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/billingservice"
)

// exampleTenant is the tenant in the examples of the help.
const exampleTenant = "0000000000000005"

// billingSubcommands are the verbs that each send one limit command, with their arguments, to a limits address.
type billingSubcommands struct{ client func() limitsClient }

// plans returns the verbs for changes of a tenant's plan.
func (v billingSubcommands) plans() []subcommand {
	return []subcommand{
		{
			use:     "change TENANT ID PLAN AT",
			short:   "Change a plan from a moment on (ms since 1970, or +ms)",
			example: "change " + exampleTenant + " spring-1 large +60000",
			run:     v.sendFunc("PLAN.CHANGE"),
		},
		{
			use:     "take-back TENANT ID",
			short:   "Withdraw a change that no gateway applies yet",
			example: "take-back " + exampleTenant + " spring-1",
			run:     v.sendFunc("PLAN.TAKEBACK"),
		},
		{
			use:     "changes TENANT",
			short:   "List plan changes",
			example: "changes " + exampleTenant,
			run:     v.sendFunc("PLAN.LIST"),
		},
	}
}

// reservations returns the verbs for the units that are set aside for a holder.
func (v billingSubcommands) reservations() []subcommand {
	return []subcommand{
		{
			use:     "reserve TENANT ID HOLDER PLAN UNITS LEASE-MS",
			short:   "Reserve units; prints the epoch, the units reserved, and until when",
			example: "reserve " + exampleTenant + " b1 batch-host team 500 60000",
			run:     v.sendFunc("RESERVE.NEW"),
		},
		{
			use:     "commit TENANT ID EPOCH UNITS",
			short:   "Turn reserved units into usage",
			example: "commit " + exampleTenant + " b1 7 20",
			run:     v.sendFunc("RESERVE.COMMIT"),
		},
		{
			use:     "renew TENANT ID EPOCH LEASE-MS",
			short:   "Extend the lease of a reservation",
			example: "renew " + exampleTenant + " b1 8 60000",
			run:     v.sendFunc("RESERVE.RENEW"),
		},
		{
			use:     "take TENANT ID HOLDER LEASE-MS",
			short:   "Move a reservation from its holder to another",
			example: "take " + exampleTenant + " b1 other-host 60000",
			run:     v.sendFunc("RESERVE.TAKE"),
		},
		{
			use:     "release TENANT ID EPOCH",
			short:   "Release what is left of a reservation",
			example: "release " + exampleTenant + " b1 9",
			run:     v.sendFunc("RESERVE.RELEASE"),
		},
		{
			use:     "reservations TENANT",
			short:   "List reservations",
			example: "reservations " + exampleTenant,
			run:     v.sendFunc("RESERVE.LIST"),
		},
		{
			use:     "room TENANT PLAN",
			short:   "Show how much may still be reserved",
			example: "room " + exampleTenant + " team",
			run:     v.sendFunc("RESERVE.ROOM"),
		},
	}
}

// sendFunc returns what sends a limit command, with the arguments of a verb, and writes its answer.
func (v billingSubcommands) sendFunc(name string) func(context.Context, io.Writer, []string) error {
	return func(ctx context.Context, out io.Writer, args []string) error {
		answer, err := v.client().call(ctx, append([]string{name}, args...))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, answer)
		return err
	}
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
	subcommands := billingSubcommands{client: func() limitsClient {
		client.tls = globals.tls
		return client
	}}
	for _, subcommand := range append(subcommands.plans(), subcommands.reservations()...) {
		command.AddCommand(subcommand.newCommand(command.Name()))
	}
	command.AddCommand(billingResumeCommand(globals))
	return command
}

// billingResumeFlags holds the flags of "billing resume".
type billingResumeFlags struct {
	store      string
	after      uint64
	dropBefore string
}

func billingResumeCommand(globals *globalFlags) *cobra.Command {
	var r billingResumeFlags
	command := &cobra.Command{
		Use: "resume", Short: "Export again, after the store was restored from an old backup", Args: cobra.NoArgs,
		Long: `Continues with sequences behind those that the receiver has, and drops usage of windows that began
before a moment: the lost state may have exported it, and it must not be billed twice. Gateways should be stopped
meanwhile; "fawnplank store run" then runs the replica that --store names.`,
		Example: "  fawnplank billing resume --store 127.0.0.1:7101 --after 812 --drop-before 2026-04-01T12:00:00Z",
		RunE: func(command *cobra.Command, _ []string) error {
			return r.run(command.OutOrStdout(), globals.storeClient(r.store, "--store"))
		},
	}
	flags := command.Flags()
	flags.StringVar(&r.store, "store", "127.0.0.1:7101", "API address of a replica")
	flags.Uint64Var(&r.after, "after", 0, "last sequence that the receiver has")
	flags.StringVar(&r.dropBefore, "drop-before", "", "moment, as in RFC 3339, since which nothing was exported")
	return command
}

// run resumes the export and prints what was dropped. The sequence printed is --after's. The next one is that of
// the store instead if the store has numbered later ones.
func (r billingResumeFlags) run(out io.Writer, client storeClient) error {
	exportedBefore, err := time.Parse(time.RFC3339, r.dropBefore)
	if err != nil {
		return fmt.Errorf("--drop-before: %w", err)
	}
	dropped, err := billingservice.Resume(client, r.after, exportedBefore)
	if err = cmp.Or(client.readFailure.Err(), err); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d records and %d windows dropped; the next sequence follows %d\n",
		dropped.Records, dropped.Windows, r.after)
	return err
}
