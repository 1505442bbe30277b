package main

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/redcon"

	"fawnplank/internal/billing"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/config"
	"fawnplank/internal/metrics"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/tlsconfig"
)

// accounts are gestorías' accounts in the store, where the operator file switches them on; without a desk they are off.
type accounts struct {
	mu    sync.Mutex
	desk  *billingservice.Service
	terms atomic.Pointer[billing.Settings]
	news  chan struct{}
	on    bool
	keys  []string // that changed, and the desk was not told of
}

func newAccounts() *accounts { return &accounts{news: make(chan struct{}, 1)} }

// start starts them on the replica.
func (a *accounts) start(k *kept, start *config.Config, set *config.Operator, figures *metrics.Registry) error {
	if !set.Billing.Enabled {
		return nil
	}
	if k == nil {
		return errors.New("is on, and needs the replicated store (--store)")
	}
	a.retune(start, set)
	a.mu.Lock()
	a.on = true
	a.mu.Unlock()
	o := billingservice.Options{Replica: k.Store, Instance: start.Name, Settings: func() billing.Settings { return *a.terms.Load() }, ReportInterval: time.Duration(set.Billing.ReportInterval)}
	if set.Billing.ExportFolder != "" {
		o.Sink = billingservice.Folder(set.Billing.ExportFolder)
	} else if set.Billing.ExportURL != "" {
		o.Sink = billingservice.NewReceiver(set.Billing.ExportURL)
	}
	d := billingservice.Start(o)
	a.mu.Lock()
	a.desk = d
	a.mu.Unlock()
	go func() {
		for range a.news {
			a.mu.Lock()
			keys := a.keys
			a.keys = nil
			a.mu.Unlock()
			d.KeysChanged(keys)
		}
	}()
	count := func(n func(*billingservice.Stats) *atomic.Uint64) func() float64 {
		return func() float64 { return float64(n(d.Stats()).Load()) }
	}
	figures.AddGauges(map[string]metrics.Gauge{
		"billing_steps":    {Help: "plan changes and steps of reservations that landed", Value: count(func(c *billingservice.Stats) *atomic.Uint64 { return &c.Operations })},
		"billing_refused":  {Help: "those refused", Value: count(func(c *billingservice.Stats) *atomic.Uint64 { return &c.Rejected })},
		"billing_reports":  {Help: "reports of this door's use that landed", Value: count(func(c *billingservice.Stats) *atomic.Uint64 { return &c.Reports })},
		"billing_exported": {Help: "records that this door had acknowledged", Value: count(func(c *billingservice.Stats) *atomic.Uint64 { return &c.Exported })},
		"billing_failures": {Help: "tries that store or receiver did not take", Value: count(func(c *billingservice.Stats) *atomic.Uint64 { return &c.Failures })},
		"billing_waiting":  {Help: "records not exported yet", Value: func() float64 { return float64(d.PendingRecords()) }},
		"billing_halted": {Help: "1 while nothing is exported for a fault", Value: func() float64 {
			if d.HaltReason() != "" {
				return 1
			}
			return 0
		}}})
	return nil
}

// retune takes the plans of a configuration read anew.
func (a *accounts) retune(start *config.Config, set *config.Operator) {
	t := set.Billing.Settings()
	t.Plans = map[string]billing.Quota{}
	for name, id := range start.Plans {
		t.Plans[name] = billing.Quota{Rate: start.Settings.Plans[id].Rate, Peak: start.Settings.Plans[id].Burst}
	}
	a.terms.Store(&t)
}

// changed tells which keys of theirs have changed in the store. It does not block.
func (a *accounts) changed(keys []string) {
	a.mu.Lock()
	for _, k := range keys {
		if a.on && strings.HasPrefix(k, billingservice.KeyPrefix) {
			a.keys = append(a.keys, k)
		}
	}
	a.mu.Unlock()
	select {
	case a.news <- struct{}{}:
	default:
	}
}

func (a *accounts) close() { a.desk.Close() }

// billingCommand is the accounts' part of the command line.
func billingCommand() *cobra.Command {
	c := &cobra.Command{Use: "billing VERB", Short: "Change plans, reserve allowance, mend the export (docs/billing.md)"}
	var at, name, file string
	c.PersistentFlags().StringVar(&at, "at", "127.0.0.1:6390", "the limits' address of any front door")
	c.PersistentFlags().StringVar(&name, "key", "", "name of the key to show")
	c.PersistentFlags().StringVar(&file, "secret-file", "", "file with its secret")
	verb := func(use, word, short, example string, n int) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Example: "  fawnplank billing " + example, Args: cobra.ExactArgs(n),
			RunE: func(c *cobra.Command, args []string) error {
				return say(c.OutOrStdout(), at, name, file, tlsFiles, append([]string{word}, args...))
			}})
	}
	const g = "0000000000000005 "
	verb("change GESTORIA ID PLAN AT", "PLAN.CHANGE", "Change a plan from a moment on (ms since 1970, or +ms)", "change "+g+"spring-1 large +60000", 4)
	verb("take-back GESTORIA ID", "PLAN.TAKEBACK", "Take a change back that no door goes by yet", "take-back "+g+"spring-1", 2)
	verb("changes GESTORIA", "PLAN.LIST", "List plan changes", "changes "+g, 1)
	verb("reserve GESTORIA ID HOLDER PLAN UNITS LEASE-MS", "RESERVE.NEW", "Reserve units; tells the epoch, what is held, until when", "reserve "+g+"b1 batch-host team 500 60000", 6)
	verb("commit GESTORIA ID EPOCH UNITS", "RESERVE.COMMIT", "Turn reserved units into use", "commit "+g+"b1 7 20", 4)
	verb("renew GESTORIA ID EPOCH LEASE-MS", "RESERVE.RENEW", "Hold a reservation for longer", "renew "+g+"b1 8 60000", 4)
	verb("take GESTORIA ID HOLDER LEASE-MS", "RESERVE.TAKE", "Take a reservation over from its holder", "take "+g+"b1 other-host 60000", 4)
	verb("release GESTORIA ID EPOCH", "RESERVE.RELEASE", "Give back what is left of a reservation", "release "+g+"b1 9", 3)
	verb("reservations GESTORIA", "RESERVE.LIST", "List reservations", "reservations "+g, 1)
	verb("room GESTORIA PLAN", "RESERVE.ROOM", "Tell what may still be reserved", "room "+g+"team", 2)
	var api, before string
	var after uint64
	resume := &cobra.Command{Use: "resume", Short: "Export again, after the store was put back to an old copy", Args: cobra.NoArgs,
		Long: `Goes on with sequences behind those that the receiver has, and drops use of windows that began before a moment: the
lost state may have exported it, and it must not be billed twice. Front doors should be stopped meanwhile.`,
		Example: "  fawnplank billing resume --store 127.0.0.1:7101 --after 812 --drop-before 2026-04-01T12:00:00Z",
		RunE: func(c *cobra.Command, _ []string) error {
			moment, err := time.Parse(time.RFC3339, before)
			if err != nil {
				return fmt.Errorf("--drop-before: %w", err)
			}
			records, windows, err := billingservice.Resume(far{api}, after, moment)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%d records and %d windows dropped; the next sequence follows %d\n", records, windows, after)
			}
			return err
		}}
	resume.Flags().StringVar(&api, "store", "127.0.0.1:7101", "API address of a replica")
	resume.Flags().Uint64Var(&after, "after", 0, "the last sequence that the receiver has")
	resume.Flags().StringVar(&before, "drop-before", "", "moment, as in RFC 3339, since which nothing was exported")
	c.AddCommand(resume)
	return c
}

// say gives one command to a limits' address, and writes its answer.
func say(out io.Writer, at, name, file string, files tlsconfig.Files, words []string) error {
	conn, err := net.DialTimeout("tcp", at, 5*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if files.Enabled() {
		source, err := tlsconfig.New(files)
		if err != nil {
			return err
		}
		conn = tls.Client(conn, source.ClientConfig())
	}
	conn.SetDeadline(time.Now().Add(15 * time.Second))
	r := bufio.NewReader(conn)
	ask := func(words ...string) (string, error) {
		text := redcon.AppendArray(nil, len(words))
		for _, w := range words {
			text = redcon.AppendBulkString(text, w)
		}
		if _, err := conn.Write(text); err != nil {
			return "", err
		}
		return answerOf(r)
	}
	if name != "" {
		secret, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if _, err := ask("AUTH", name, strings.TrimSpace(string(secret))); err != nil {
			return err
		}
	}
	text, err := ask(words...)
	if err == nil {
		fmt.Fprintln(out, text)
	}
	return err
}

// answerOf reads one answer: simple values as they are, arrays with spaces between, and a line for each array in one.
func answerOf(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" {
		return "", errors.New("no answer in RESP")
	}
	switch line[0] {
	case '-':
		return "", errors.New(line[1:])
	case '$':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<20 {
			return "", fmt.Errorf("no answer in RESP: %.40q", line)
		}
		text := make([]byte, n+2)
		_, err = io.ReadFull(r, text)
		return string(text[:n]), err
	case '*':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<16 {
			return "", fmt.Errorf("no answer in RESP: %.40q", line)
		}
		var all []string
		between := " "
		for range n {
			x, err := answerOf(r)
			if err != nil {
				return "", err
			}
			if strings.Contains(x, " ") {
				between = "\n"
			}
			all = append(all, x)
		}
		return strings.Join(all, between), nil
	}
	return line[1:], nil
}

// ReadPrefix and Fresh make a replica's API one that accounts can be mended by.
func (f far) ReadPrefix(prefix string) map[string]json.RawMessage {
	text, err := callStore("GET", f.api, "/v1/kv?prefix="+prefix, nil)
	var keys []string
	all := map[string]json.RawMessage{}
	if err != nil || json.Unmarshal(text, &keys) != nil {
		return all
	}
	for _, k := range keys {
		if e, ok := f.ReadLocal(k); ok {
			all[strings.TrimPrefix(k, prefix)] = e.Value
		}
	}
	return all
}

// ReadFromLeader reads by way of the leader.
func (f far) ReadFromLeader(key string) (e kv.Entry, ok bool, err error) {
	text, err := callStore("GET", f.api, "/v1/kv/"+key, nil)
	if err != nil && strings.HasPrefix(err.Error(), "404") {
		return e, false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &e)
	}
	return e, err == nil, err
}
