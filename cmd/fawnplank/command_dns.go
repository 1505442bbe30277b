package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/miekg/dns"
	"github.com/spf13/cobra"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
)

// dnsUpdateTimeout bounds an update. The server answers only after it has written its journal or the store.
const dnsUpdateTimeout = 5 * time.Second

// tablePadding is the number of spaces between the columns of a table.
const tablePadding = 2

// dnsCommand returns the command group for the DNS zone of the backends.
func dnsCommand(globals *globalFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "dns VERB",
		Short: "Show and update the DNS zone that lists the backends (docs/dns.md)",
	}
	command.AddCommand(dnsListCommand(globals), dnsUpdateCommand())
	return command
}

func dnsListCommand(globals *globalFlags) *cobra.Command {
	var address string
	command := &cobra.Command{
		Use: "list", Short: "Show the current endpoint list and the source of each entry", Args: cobra.NoArgs,
		Long: `Shows the current endpoint list and the source of each entry, read from the zone file and the journal or,
with --store, from a replica of the store. A running gateway is not contacted and not affected.`,
		Example: "  fawnplank dns list --operator deploy/fawnplank.toml\n" +
			"  fawnplank dns list --operator deploy/fawnplank.toml --store 127.0.0.1:7101",
		RunE: func(command *cobra.Command, _ []string) error {
			var client *storeClient
			if address != "" {
				replica := globals.storeClient(address, "--store")
				client = &replica
			}
			return listZone(command.OutOrStdout(), globals.operator, client)
		},
	}
	command.Flags().StringVar(&address, "store", "", "API address of a replica, if the zone is in the store")
	return command
}

// listZone writes the zone that an operator file names. It reads the zone from the zone file and the journal or, if
// client is not nil, from a replica.
func listZone(out io.Writer, operatorPath string, client *storeClient) error {
	operator, err := readOperator(operatorPath, "name an existing file with --operator or GW_OPERATOR")
	if err != nil {
		return err
	}
	if operator.DNS.ZoneFile == "" {
		return errors.New("the operator file names no zone: set dns.zone_file there, " +
			"or name another file with --operator")
	}
	options := dnsOptions(operator.DNS)
	if client != nil {
		options.ReplicatedStore = &dnsserver.ReplicatedZone{Replica: *client}
	}
	zone, source, err := dnsserver.ReadCurrentZone(options)
	if client != nil {
		err = cmp.Or(client.readFailure.Err(), err) // a failed read must not be reported as a missing zone
	}
	if err != nil {
		return err
	}
	return writeZone(out, zone, source)
}

// writeZone writes the endpoint list, one line per entry.
func writeZone(out io.Writer, zone *dnszone.Zone, source string) error {
	table := tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
	lines := []string{
		fmt.Sprintf("zone %s, serial %d, from %s; %d backends in the list", zone.Origin, zone.Serial(), source,
			len(zone.Backends())),
		"NAME\tADDRESSES\tSTATUS\tWEIGHT\tZONE\tGROUP\tSINCE\tFROM",
	}
	for _, backend := range zone.Backends() {
		lines = append(lines, zoneRow(backend))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// zoneRow returns the row of one backend, with its cells separated by tabs.
func zoneRow(backend dnszone.Backend) string {
	status := "up"
	if backend.Draining {
		status = "draining"
	}
	since := "-"
	if started := backend.StartNanos(); started > 0 {
		since = time.Unix(0, started).UTC().Format(time.RFC3339)
	}
	source := fmt.Sprintf("%s:%d", backend.Provenance.File, backend.Provenance.Line)
	if backend.Provenance.Key != "" {
		source = "update by " + backend.Provenance.Key
	}
	var addresses []string
	for _, address := range backend.Addresses {
		addresses = append(addresses, address.String())
	}
	return fmt.Sprintf("%s\t%s\t%s\t%g\t%s\t%d\t%s\t%s, serial %d", backend.Name, strings.Join(addresses, ","),
		status, backend.Weight, backend.Zone, backend.Group, since, source, backend.Provenance.Serial)
}

// dnsUpdateFlags holds the flags of "dns update".
type dnsUpdateFlags struct {
	server      string   // host and port of the name server
	zone        string   // with or without the trailing dot
	keyName     string   // name of the TSIG key
	algorithm   string   // algorithm of the TSIG key
	secretFile  string   // file with the key's secret in base64
	deleteNames []string // names whose records are all deleted
	deletes     []string // records to delete, in master file format
	adds        []string // records to add, in master file format
}

func dnsUpdateCommand() *cobra.Command {
	var u dnsUpdateFlags
	command := &cobra.Command{
		Use: "update", Short: "Send one signed dynamic update, which is applied completely or not at all", Args: cobra.NoArgs,
		Example: `  fawnplank dns update --at 127.0.0.1:5353 --key deploy. --secret-file deploy.key \
    --zone calc.example. --delete '_calc._tcp.calc.example. SRV 0 100 7000 n1.calc.example.'
  fawnplank dns update ... --delete-name n1.calc.example. --add 'n1.calc.example. A 127.0.0.11'`,
		RunE: func(*cobra.Command, []string) error { return u.run() },
	}
	flags := command.Flags()
	flags.StringVar(&u.server, "at", "127.0.0.1:5353", "address of the gateway's name server")
	flags.StringVar(&u.zone, "zone", "", "name of the zone")
	flags.StringVar(&u.keyName, "key", "", "name of the TSIG key")
	flags.StringVar(&u.algorithm, "algorithm", "hmac-sha256", "algorithm of the TSIG key")
	flags.StringVar(&u.secretFile, "secret-file", "", "file with the key's secret in base64")
	flags.StringArrayVar(&u.deleteNames, "delete-name", nil,
		"name whose records are all deleted; may be repeated")
	flags.StringArrayVar(&u.deletes, "delete", nil, "record to delete, in master file format; may be repeated")
	flags.StringArrayVar(&u.adds, "add", nil, "record to add, in master file format; may be repeated")
	return command
}

func (u dnsUpdateFlags) run() error {
	key, err := dnsserver.ReadKey(u.keyName, u.algorithm, u.secretFile)
	if err != nil {
		return err
	}
	message := new(dns.Msg).SetUpdate(dns.Fqdn(u.zone))
	for _, name := range u.deleteNames {
		message.RemoveName([]dns.RR{&dns.ANY{Hdr: dns.RR_Header{Name: dns.Fqdn(name)}}})
	}
	deletes, err := parseRecords(u.deletes)
	if err != nil {
		return err
	}
	adds, err := parseRecords(u.adds)
	if err != nil {
		return err
	}
	message.Remove(deletes)
	message.Insert(adds)
	if err := dnsserver.SendUpdate(message, u.server, key, dnsUpdateTimeout); err != nil {
		return fmt.Errorf("update of zone %q at %s (--zone, --at): %w", u.zone, u.server, err)
	}
	return nil
}

// parseRecords parses records in master file format.
func parseRecords(texts []string) ([]dns.RR, error) {
	var records []dns.RR
	for _, text := range texts {
		record, err := dns.NewRR(text)
		if err != nil {
			return nil, fmt.Errorf("%q is no record: %w", text, err)
		}
		if record == nil { // text is empty or contains only a comment
			return nil, fmt.Errorf("%q is no record: it is empty", text)
		}
		records = append(records, record)
	}
	return records, nil
}
