package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/internal/store"
	"fawnplank/internal/tlsconfig"
)

// tlsFiles are the flags' certificate, key and authority: of a replica on both its addresses and towards the others, and
// of commands towards replicas and limits' addresses.
var tlsFiles tlsconfig.Files

// storeFlags say where a replica of the store is, and which others there are.
type storeFlags struct {
	dir, me string
	peers   []string
}

func (f *storeFlags) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.dir, "store", "", "folder of this replica of the store; left out: no store")
	c.Flags().StringVar(&f.me, "me", "", "this replica: id@raft-address@api-address")
	c.Flags().StringSliceVar(&f.peers, "peers", nil, "all replicas of the first start, this one too; none: it waits to be added")
}

func (f *storeFlags) options() (o store.Options, err error) {
	o.Dir = f.dir
	if tlsFiles.Enabled() {
		if o.TLS, err = tlsconfig.New(tlsFiles); err != nil {
			return o, err
		}
		if tlsFiles.Authority == "" {
			return o, errors.New("--tls-authority is missing: replicas check each other by it")
		}
	}
	if o.Self, err = store.ParsePeer(f.me); err != nil {
		return o, fmt.Errorf("--me: %w", err)
	}
	found := len(f.peers) == 0
	for _, text := range f.peers {
		p, err := store.ParsePeer(text)
		if err != nil {
			return o, fmt.Errorf("--peers: %w", err)
		}
		found = found || p == o.Self
		o.Peers = append(o.Peers, p)
	}
	if !found {
		return o, fmt.Errorf("--peers: %s is not among them", f.me)
	}
	return o, nil
}

// kept is the front door's replica; a nil one is off.
type kept struct {
	*store.Store
	tls *tlsconfig.Source // nil: none
}

// watch shows until when the replica's certificate holds.
func (k *kept) watch(figures *metrics.Registry) {
	if k != nil && k.tls != nil {
		figures.AddGauges(map[string]metrics.Gauge{"store_certificate_seconds": {Help: "until the replica's certificate runs out",
			Value: func() float64 { return k.tls.ExpiresIn().Seconds() }}})
	}
}

// fullDisks lets a write beyond a limit on file sizes fail as one on a full disk does, with an error that is told, in
// place of ending the process.
func fullDisks() { signal.Ignore(syscall.SIGXFSZ) }

// openStore starts the replica, where there is one. Something comes on edited when a plan or class has changed; zone is
// called when a part of the zone has, and accounts when an account has.
func openStore(f storeFlags, path, operator string, zone func(), accounts func(keys []string)) (*kept, chan struct{}, error) {
	if f.dir == "" {
		return nil, nil, nil
	}
	o, err := f.options()
	if err != nil {
		return nil, nil, err
	}
	fullDisks()
	edited := make(chan struct{}, 1)
	o.OnChange = func(keys []string) {
		if slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, dnsserver.Keys) }) {
			zone()
		}
		accounts(keys)
		for _, k := range keys {
			if strings.HasPrefix(k, config.PlanKey) || strings.HasPrefix(k, config.ClassKey) {
				select {
				case edited <- struct{}{}:
				default:
				}
			}
		}
	}
	// What a replica's own files make of a row is judged before it is written; another's are judged there again.
	o.Validate = func(key string, value json.RawMessage) error {
		var over config.Overlay
		if name, ok := strings.CutPrefix(key, config.PlanKey); ok {
			over.Plans = map[string]json.RawMessage{name: value}
			if err := config.CheckRow(name, value); err != nil {
				return err
			}
		} else if name, ok := strings.CutPrefix(key, config.ClassKey); ok {
			over.Classes = map[string]json.RawMessage{name: value}
			if err := config.CheckRow(name, value); err != nil {
				return err
			}
		} else {
			return nil
		}
		_, _, err := read(path, operator, over)
		return err
	}
	s, err := store.Open(o)
	if err != nil {
		return nil, nil, err
	}
	return &kept{s, o.TLS}, edited, nil
}

// Close ends the replica.
func (k *kept) Close() {
	if k != nil {
		k.Store.Close()
	}
}

// overlay are the plans and classes that the replica has.
func (k *kept) overlay() (o config.Overlay) {
	if k == nil {
		return o
	}
	o.Plans, o.Classes = k.ReadPrefix(config.PlanKey), k.ReadPrefix(config.ClassKey)
	return o
}

// storeCommand is the store's part of the command line.
func storeCommand() *cobra.Command {
	c := &cobra.Command{Use: "store VERB", Short: "Run and mend the replicated store (docs/store.md)"}
	var at string
	c.PersistentFlags().StringVar(&at, "at", "127.0.0.1:7101", "API address of any replica")
	var f storeFlags
	run := &cobra.Command{Use: "run", Short: "Run a replica without a front door, until SIGTERM", Args: cobra.NoArgs,
		Example: "  fawnplank store run --store ./a --me a@127.0.0.1:7001@127.0.0.1:7101 --peers a@127.0.0.1:7001@127.0.0.1:7101",
		RunE: func(*cobra.Command, []string) error {
			if f.dir == "" {
				return errors.New("--store is missing")
			}
			o, err := f.options()
			if err != nil {
				return err
			}
			fullDisks()
			told := make(chan os.Signal, 1)
			signal.Notify(told, syscall.SIGTERM, os.Interrupt)
			s, err := store.Open(o)
			if err != nil {
				return err
			}
			logging.For("store").WithField(logging.Address, o.Self.API).Info("listens")
			<-told
			s.Close()
			return nil
		}}
	f.flags(run)
	c.AddCommand(run)
	verb := func(use, short, example string, n int, do func(args []string) error) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Example: "  fawnplank store " + example, Args: cobra.ExactArgs(n),
			RunE: func(_ *cobra.Command, args []string) error { return do(args) }})
	}
	ask := func(method, path string, body []byte) error {
		text, err := callStore(method, at, path, body)
		if err == nil {
			fmt.Println(strings.TrimSpace(string(text)))
		}
		return err
	}
	verb("status", "Tell of a replica", "status --at 127.0.0.1:7102", 0, func([]string) error { return ask("GET", "/v1/status", nil) })
	verb("keys PREFIX", "List the keys with a prefix, as the replica has them", "keys plans/", 1, func(a []string) error { return ask("GET", "/v1/kv?prefix="+a[0], nil) })
	verb("get KEY", "Read a key; the leader answers", "get plans/team", 1, func(a []string) error { return ask("GET", "/v1/kv/"+a[0], nil) })
	verb("set KEY JSON", "Write a key", `set plans/team '{"name":"team","quota-rate":5,"peak-units":10}'`, 2, func(a []string) error { return ask("PUT", "/v1/kv/"+a[0], []byte(a[1])) })
	verb("delete KEY", "Delete a key", "delete plans/team", 1, func(a []string) error { return ask("DELETE", "/v1/kv/"+a[0], nil) })
	verb("add ID@RAFT@API", "Add a replica, which runs without --peers", "add d@127.0.0.1:7004@127.0.0.1:7104", 1, func(a []string) error {
		p, err := store.ParsePeer(a[0])
		if err != nil {
			return err
		}
		body, _ := json.Marshal(p)
		return ask("POST", "/v1/peers", body)
	})
	verb("remove ID", "Remove a replica", "remove d", 1, func(a []string) error { return ask("DELETE", "/v1/peers/"+a[0], nil) })
	verb("backup FILE", "Write the leader's state to a file, which must not be there yet", "backup store.backup", 1, func(a []string) error {
		text, err := callStore("GET", at, "/v1/backup", nil)
		if err != nil {
			return err
		}
		out, err := os.OpenFile(a[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		if _, err = out.Write(text); err == nil {
			err = out.Sync()
		}
		return errors.Join(err, out.Close())
	})
	verb("restore FILE", "Make the state what a backup held; the replicas stay those there are", "restore store.backup", 1, func(a []string) error {
		text, err := os.ReadFile(a[0])
		if err != nil {
			return err
		}
		return ask("POST", "/v1/restore", text)
	})
	return c
}

// callStore makes one call to a replica's API.
func callStore(method, at, path string, body []byte) ([]byte, error) {
	scheme, way := "http://", &http.Transport{DisableKeepAlives: true}
	if tlsFiles.Enabled() {
		source, err := tlsconfig.New(tlsFiles)
		if err != nil {
			return nil, err
		}
		scheme, way.TLSClientConfig = "https://", source.ClientConfig()
	}
	request, err := http.NewRequest(method, scheme+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := (&http.Client{Timeout: 15 * time.Second, Transport: way}).Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		var x struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(text, &x) == nil && x.Error != "" {
			return nil, fmt.Errorf("%s: %s", answer.Status, x.Error)
		}
		return nil, errors.New(answer.Status)
	}
	return text, nil
}
