package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/miekg/dns"
	"github.com/spf13/cobra"

	"fawnplank/internal/config"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/metrics"
	"fawnplank/internal/store/kv"
	"fawnplank/policy"
)

// names is the zone that the list comes from, where the operator file names one.
type names struct {
	list   *discovery.Client
	set    *config.Operator
	mu     sync.Mutex
	server *dnsserver.Server
	news   chan struct{}
	ended  sync.Once
}

func (n *names) on() bool { return n.set.DNS.ZoneFile != "" }

func (n *names) now() *dnsserver.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// start starts the name server, on the replica where there is one.
func (n *names) start(k *kept, figures *metrics.Registry) error {
	if !n.on() {
		return nil
	}
	o := options(n.set.DNS)
	o.Tell = n.tell
	if k != nil {
		o.Shared = &dnsserver.Shared{Replica: k.Store}
	}
	s, err := dnsserver.Start(o)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.server, n.news = s, make(chan struct{}, 1)
	n.mu.Unlock()
	count := func(i int) func() float64 { return func() float64 { return float64(s.Counts()[i]) } }
	figures.AddGauges(map[string]metrics.Gauge{
		"dns_updates_done":     {Help: "dynamic updates that changed the zone", Value: count(0)},
		"dns_updates_refused":  {Help: "dynamic updates refused for what they ask", Value: count(1)},
		"dns_messages_refused": {Help: "messages refused for their signature, its time, or a replay", Value: count(2)},
		"dns_flooded":          {Help: "messages beyond what is looked at", Value: count(3)},
		"dns_updates_lost":     {Help: "updates that journal or store could not keep", Value: count(4)},
		"dns_serial":           {Help: "serial of the zone in force", Value: func() float64 { return float64(s.Serial()) }}})
	if k != nil {
		go func() {
			for range n.news {
				s.Changed()
			}
		}()
		n.changed() // of what changed before there was somebody to tell
	}
	return nil
}

// changed tells that the store has something new of the zone. It does not block.
func (n *names) changed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case n.news <- struct{}{}:
	default:
	}
}

func (n *names) whole() {
	if s := n.now(); s != nil {
		s.Whole()
	}
}

func (n *names) reload() {
	if s := n.now(); s != nil {
		s.Reload()
	}
}

func (n *names) close() { n.ended.Do(func() { n.now().Close() }) }

// tell brings the zone's list into the form of discovery's.
func (n *names) tell(come []dnszone.Backend, gone []string, whole bool) {
	var all []discovery.Entry
	for _, b := range come {
		e := discovery.Entry{Name: b.Name, Address: b.Addresses[0].String(), Zone: b.Zone, Group: b.Group, Status: "up", Weight: b.Size,
			SinceMs: float64(b.Started()) / 1e6}
		if b.Draining {
			e.Status = "draining"
		}
		if len(b.Addresses) > 1 || !b.Addresses[0].Addr().Is4() {
			e.Addresses = b.Addresses
		}
		all = append(all, e)
	}
	for _, name := range gone {
		all = append(all, discovery.Entry{Name: name, Status: "removed"})
	}
	how := policy.Delta
	if whole {
		how = policy.FullSnapshot
	}
	n.list.Publish(how, all)
}

func options(d config.DNS) dnsserver.Options {
	o := dnsserver.Options{Settings: d.Settings(), File: d.ZoneFile, Journal: d.Journal, Listen: d.Listen, Rate: d.MaxUpdatesPerSecond, Notify: d.Notify}
	for _, k := range d.Keys {
		o.Keys = append(o.Keys, k.Key)
	}
	return o
}

// checkZone says what is wrong with the zone file of an operator file.
func checkZone(o *config.Operator) error {
	if o.DNS.ZoneFile == "" {
		return nil
	}
	_, _, err := dnsserver.ReadFile(o.DNS.ZoneFile, o.DNS.Settings())
	return err
}

// dnsCommand is the zone's part of the command line.
func dnsCommand(operator *string) *cobra.Command {
	c := &cobra.Command{Use: "dns VERB", Short: "Show the zone that backends come from, and update it (docs/dns.md)"}
	var api string
	list := &cobra.Command{Use: "list", Short: "Show the list in force, and where each entry came from", Args: cobra.NoArgs,
		Long: `Shows the list of backends in force and where each entry came from, as the zone file and the journal have it, or, with
--store, a replica of the store. A door that runs is not asked, and not disturbed.`,
		Example: "  fawnplank dns list --operator deploy/fawnplank.toml\n  fawnplank dns list --operator deploy/fawnplank.toml --store 127.0.0.1:7101",
		RunE: func(c *cobra.Command, _ []string) error {
			o, err := config.ReadOperator(*operator)
			if err != nil {
				return err
			}
			if o.DNS.ZoneFile == "" {
				return errors.New("the operator file names no zone (dns.zone_file)")
			}
			of := options(o.DNS)
			if api != "" {
				of.Shared = &dnsserver.Shared{Replica: far{api}}
			}
			z, source, err := dnsserver.InForce(of)
			if err != nil {
				return err
			}
			return show(c.OutOrStdout(), z, source)
		}}
	list.Flags().StringVar(&api, "store", "", "API address of a replica, where the zone is kept in the store")
	var at, name, algorithm, file string
	var add, del, without []string
	update := &cobra.Command{Use: "update", Short: "Send one signed update: all of it is done, or nothing", Args: cobra.NoArgs,
		Example: `  fawnplank dns update --at 127.0.0.1:5353 --key deploy. --secret-file deploy.key --zone calc.example. \
    --delete '_calc._tcp.calc.example. SRV 0 100 7000 n1.calc.example.'
  fawnplank dns update ... --delete-name n1.calc.example. --add 'n1.calc.example. A 127.0.0.11'`,
		RunE: func(c *cobra.Command, _ []string) error {
			k, err := dnsserver.ReadKey(name, algorithm, file)
			if err != nil {
				return err
			}
			origin, _ := c.Flags().GetString("zone")
			m := new(dns.Msg).SetUpdate(dns.Fqdn(origin))
			for _, n := range without {
				m.RemoveName([]dns.RR{&dns.ANY{Hdr: dns.RR_Header{Name: dns.Fqdn(n)}}})
			}
			for _, part := range []struct {
				texts []string
				do    func([]dns.RR)
			}{{del, m.Remove}, {add, m.Insert}} {
				for _, text := range part.texts {
					rr, err := dns.NewRR(text)
					if err != nil || rr == nil {
						return fmt.Errorf("%q is no record: %v", text, err)
					}
					part.do([]dns.RR{rr})
				}
			}
			return dnsserver.Send(m, at, k, 5*time.Second)
		}}
	update.Flags().StringVar(&at, "at", "127.0.0.1:5353", "address of the front door's name server")
	update.Flags().String("zone", "", "the zone's name")
	update.Flags().StringVar(&name, "key", "", "name of the key")
	update.Flags().StringVar(&algorithm, "algorithm", "hmac-sha256", "the key's algorithm")
	update.Flags().StringVar(&file, "secret-file", "", "file with the key's secret in base64")
	update.Flags().StringArrayVar(&without, "delete-name", nil, "name to take all records from, as often as wanted")
	update.Flags().StringArrayVar(&del, "delete", nil, "record to take away, in master form, as often as wanted")
	update.Flags().StringArrayVar(&add, "add", nil, "record to add, in master form, as often as wanted")
	c.AddCommand(list, update)
	return c
}

// far is a replica's API.
type far struct{ api string }

func (f far) ReadLocal(key string) (e kv.Entry, ok bool) {
	text, err := callStore("GET", f.api, "/v1/kv/"+key+"?stale=1", nil)
	return e, err == nil && json.Unmarshal(text, &e) == nil
}

func (f far) Edit(edits []kv.Edit) error {
	body, err := json.Marshal(edits)
	if err == nil {
		_, err = callStore("POST", f.api, "/v1/edits", body)
	}
	if err != nil && strings.HasPrefix(err.Error(), "409") {
		return kv.ConflictError{}
	}
	return err
}

// show writes the list, an entry a line.
func show(out io.Writer, z *dnszone.Zone, source string) error {
	fmt.Fprintf(out, "zone %s, serial %d, from %s; %d backends in the list\n", z.Origin, z.Serial(), source, len(z.Backends()))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESSES\tSTATUS\tSIZE\tZONE\tGROUP\tSINCE\tFROM")
	for _, b := range z.Backends() {
		status, since, from := "up", "-", fmt.Sprintf("%s:%d", b.Born.File, b.Born.Line)
		if b.Draining {
			status = "draining"
		}
		if t := b.Started(); t > 0 {
			since = time.Unix(0, t).UTC().Format(time.RFC3339)
		}
		if b.Born.Key != "" {
			from = "update by " + b.Born.Key
		}
		var at []string
		for _, a := range b.Addresses {
			at = append(at, a.String())
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%s\t%d\t%s\t%s, serial %d\n", b.Name, strings.Join(at, ","), status, b.Size, b.Zone, b.Group, since, from, b.Born.Serial)
	}
	return w.Flush()
}
