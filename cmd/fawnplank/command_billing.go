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

// exampleTenant is the tenant in the examples of the help texts.
const exampleTenant = "0000000000000005"

// billingSubcommands constructs the subcommands of "billing" that send one limit command, with the subcommand's
// arguments, to a limits address.
type billingSubcommands struct{ client func() limitsClient }

// plans returns the subcommands that change a tenant's plan.
func (s billingSubcommands) plans() []subcommand {
	return []subcommand{
		{
			use:     "change TENANT ID PLAN AT",
			short:   "Change a plan at a time (ms since 1970, or +ms from now)",
			example: "change " + exampleTenant + " spring-1 large +60000",
			run:     s.sendFunc("PLAN.CHANGE"),
		},
		{
			use:     "take-back TENANT ID",
			short:   "Withdraw a change that no gateway has applied yet",
			example: "take-back " + exampleTenant + " spring-1",
			run:     s.sendFunc("PLAN.TAKEBACK"),
		},
		{
			use:     "changes TENANT",
			short:   "List plan changes",
			example: "changes " + exampleTenant,
			run:     s.sendFunc("PLAN.LIST"),
		},
	}
}

// reservations returns the subcommands that reserve units for a holder.
func (s billingSubcommands) reservations() []subcommand {
	return []subcommand{
		{
			use:     "reserve TENANT ID HOLDER PLAN UNITS LEASE-MS",
			short:   "Reserve units; prints the epoch, the reserved units and the end of the lease",
			example: "reserve " + exampleTenant + " b1 batch-host team 500 60000",
			run:     s.sendFunc("RESERVE.NEW"),
		},
		{
			use:     "commit TENANT ID EPOCH UNITS",
			short:   "Record reserved units as used",
			example: "commit " + exampleTenant + " b1 7 20",
			run:     s.sendFunc("RESERVE.COMMIT"),
		},
		{
			use:     "renew TENANT ID EPOCH LEASE-MS",
			short:   "Extend the lease of a reservation",
			example: "renew " + exampleTenant + " b1 8 60000",
			run:     s.sendFunc("RESERVE.RENEW"),
		},
		{
			use:     "take TENANT ID HOLDER LEASE-MS",
			short:   "Move a reservation to another holder",
			example: "take " + exampleTenant + " b1 other-host 60000",
			run:     s.sendFunc("RESERVE.TAKE"),
		},
		{
			use:     "release TENANT ID EPOCH",
			short:   "Release the remaining units of a reservation",
			example: "release " + exampleTenant + " b1 9",
			run:     s.sendFunc("RESERVE.RELEASE"),
		},
		{
			use:     "reservations TENANT",
			short:   "List reservations",
			example: "reservations " + exampleTenant,
			run:     s.sendFunc("RESERVE.LIST"),
		},
		{
			use:     "room TENANT PLAN",
			short:   "Show how many units may still be reserved",
			example: "room " + exampleTenant + " team",
			run:     s.sendFunc("RESERVE.ROOM"),
		},
	}
}

// sendFunc returns the run function of a subcommand that sends the named limit command with the subcommand's
// arguments and writes the answer.
func (s billingSubcommands) sendFunc(name string) func(context.Context, io.Writer, []string) error {
	return func(ctx context.Context, out io.Writer, args []string) error {
		answer, err := s.client().call(ctx, append([]string{name}, args...))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, answer)
		return err
	}
}

// billingCommand returns the command group for plan changes, reservations and the export of usage.
func billingCommand(globals *globalFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "billing VERB",
		Short: "Change plans, reserve units and resume the export (docs/billing.md)",
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
		Use: "resume", Short: "Resume the export after the store was restored from an old backup", Args: cobra.NoArgs,
		Long: `Continues the export with sequence numbers after the last one that the receiver has. Drops the usage of
windows that began before --drop-before, in accounts and in reports, because the lost state may have exported it already
and it must not be billed twice. Ends the reservations in these windows, which may be committed already.
Stop the gateways first; "fawnplank store run" runs the replica that --store names.`,
		Example: "  fawnplank billing resume --store 127.0.0.1:7101 --after 812 --drop-before 2026-04-01T12:00:00Z",
		RunE: func(command *cobra.Command, _ []string) error {
			return r.run(command.OutOrStdout(), globals.storeClient(r.store, "--store"))
		},
	}
	flags := command.Flags()
	flags.StringVar(&r.store, "store", "127.0.0.1:7101", "API address of a replica")
	flags.Uint64Var(&r.after, "after", 0, "last sequence number that the receiver has")
	flags.StringVar(&r.dropBefore, "drop-before", "", "time (RFC 3339) after which nothing was exported")
	return command
}

// run resumes the export and prints what was dropped. It prints the sequence number given by --after, although the
// export continues after the store's own last number if that is higher.
func (r billingResumeFlags) run(out io.Writer, client storeClient) error {
	exportedBefore, err := time.Parse(time.RFC3339, r.dropBefore)
	if err != nil {
		return fmt.Errorf("--drop-before: %w", err)
	}
	dropped, err := billingservice.Resume(client, r.after, exportedBefore)
	if err = cmp.Or(client.readFailure.Err(), err); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d records, %d windows and %d items of reports dropped, %d reservations ended; "+
		"the next sequence follows %d\n",
		dropped.Records, dropped.Windows, dropped.ReportItems, dropped.Reservations, r.after)
	return err
}
