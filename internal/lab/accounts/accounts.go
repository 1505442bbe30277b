// Package accounts measures what plan changes and reservations cost: three replicas in this process on loopback, the
// limits' commands before one of them, with and without TLS on all ways.
package accounts

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/lab/testca"
	"fawnplank/internal/limitserver"
	"fawnplank/internal/store"
	"fawnplank/internal/tlsconfig"
)

// Cost is what was measured. Times are milliseconds, but for the last.
type Cost struct {
	TLS       bool
	Clients   int
	PerSecond float64 // commands: a reservation, then a commit
	P50, P99  float64
	Return    float64 // of a reservation left alone, after its lease's end; the worst of those tried
	Bound     float64 // what is stated for that
	Path      float64 // nanoseconds that the ordinary path takes for a transaction
}

func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

const skew = 50 * time.Millisecond

func terms() billing.Settings {
	return billing.Settings{WindowNanos: 3600e9, ChangeNoticeNanos: 2e9, ClockSkewNanos: int64(skew), MaxLeaseNanos: 60e9, ExportDelayNanos: 1e9, Plans: map[string]billing.Quota{"team": {Rate: 1e5, Peak: 1e5}}}
}

// Measure measures one form.
func Measure(ctx context.Context, secure bool, clients int, span time.Duration) (c Cost, err error) {
	c.TLS, c.Clients = secure, clients
	folder, err := os.MkdirTemp("", "fawnplank-accounts-")
	if err != nil {
		return c, err
	}
	defer os.RemoveAll(folder)
	var source *tlsconfig.Source
	if secure {
		a, err := testca.New("laboratory")
		if err != nil {
			return c, err
		}
		files, err := a.Write(folder, "replica", time.Hour)
		if err != nil {
			return c, err
		}
		if source, err = tlsconfig.New(files); err != nil {
			return c, err
		}
	}
	var peers []store.Peer
	for _, id := range []string{"a", "b", "c"} {
		at, err := free()
		if err != nil {
			return c, err
		}
		api, err := free()
		if err != nil {
			return c, err
		}
		peers = append(peers, store.Peer{ID: id, Raft: at, API: api})
	}
	var desks []*billingservice.Service
	for _, p := range peers {
		s, err := store.Open(store.Options{Dir: filepath.Join(folder, p.ID), Self: p, Peers: peers, TLS: source})
		if err != nil {
			return c, err
		}
		defer s.Close()
		d := billingservice.Start(billingservice.Options{Replica: s, Instance: p.ID, Settings: terms, ReportInterval: time.Second})
		defer d.Close()
		desks = append(desks, d)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	if secure {
		l = tls.NewListener(l, source.ServerConfig())
	}
	server := limitserver.New(limitserver.Options{
		MaxConnections: clients + 8,
		Accounts:       desks[0],
		Keys: map[string]authz.Key{"lab": {Secret: []byte("laboratory"),
			Rights: authz.Read | authz.Reserve | authz.Change}},
	})
	go server.Serve(l)
	defer server.Close()
	if err := c.commands(ctx, l.Addr().String(), source, span); err != nil {
		return c, err
	}
	if err := c.returns(ctx, desks[1]); err != nil {
		return c, err
	}
	began := time.Now()
	const times = 1_000_000
	for n := range times {
		g := gestoria(n % 100)
		desks[2].TenantPlan(g)
		desks[2].RecordUsage(g, "team", began, 1)
	}
	c.Path = float64(time.Since(began)) / times
	return c, nil
}

func gestoria(n int) string { return fmt.Sprintf("%016x", n) }

// commands has clients reserve and commit, each for gestorías of its own.
func (c *Cost) commands(ctx context.Context, at string, source *tlsconfig.Source, span time.Duration) error {
	var mu sync.Mutex
	var all []time.Duration
	var failed error
	var wg sync.WaitGroup
	ready := time.Now().Add(10 * time.Second) // for an election
	for n := range c.Clients {
		wg.Go(func() {
			took, err := client(ctx, n, at, source, ready, span)
			mu.Lock()
			defer mu.Unlock()
			all, failed = append(all, took...), errors.Join(failed, err)
		})
	}
	wg.Wait()
	if failed != nil || len(all) == 0 {
		return errors.Join(failed, ctx.Err())
	}
	slices.Sort(all)
	c.PerSecond = float64(len(all)) / span.Seconds()
	c.P50, c.P99 = ms(all[len(all)/2]), ms(all[len(all)*99/100])
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

func client(ctx context.Context, n int, at string, source *tlsconfig.Source, ready time.Time, span time.Duration) (all []time.Duration, err error) {
	conn, err := net.Dial("tcp", at)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if source != nil {
		conn = tls.Client(conn, source.ClientConfig())
	}
	in := bufio.NewReader(conn)
	ask := func(text string) (string, error) {
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.WriteString(conn, text+"\r\n"); err != nil {
			return "", err
		}
		line, err := in.ReadString('\n')
		if err != nil || line[0] == '-' {
			return line, err
		}
		epoch := ""
		if line[0] == '*' { // epoch, units, until: four lines
			for i := range 4 {
				x, err := in.ReadString('\n')
				if err != nil {
					return "", err
				}
				if i == 0 {
					epoch = strings.TrimSpace(x[1:])
				}
			}
		}
		return epoch, nil
	}
	if _, err := ask("AUTH lab laboratory"); err != nil {
		return nil, err
	}
	var began time.Time
	for i := 0; began.IsZero() || time.Since(began) < span && ctx.Err() == nil; i++ {
		g := gestoria(n*1000 + i%100)
		start := time.Now()
		epoch, err := ask(fmt.Sprintf("RESERVE.NEW %s r%d lab team 1 30000", g, i))
		if err != nil {
			return all, err
		}
		if _, bad := strconv.Atoi(epoch); bad != nil {
			if time.Now().After(ready) {
				return all, errors.New(strings.TrimSpace(epoch))
			}
			time.Sleep(100 * time.Millisecond)
			continue // no leader yet
		}
		middle := time.Now()
		if answer, err := ask(fmt.Sprintf("RESERVE.COMMIT %s r%d %s 1", g, i, epoch)); err != nil || strings.HasPrefix(answer, "-") {
			return all, fmt.Errorf("%s%w", answer, err)
		}
		if began.IsZero() {
			began = time.Now()
			continue
		}
		all = append(all, middle.Sub(start), time.Since(middle))
	}
	return all, nil
}

// returns leaves reservations alone, and times their return.
func (c *Cost) returns(ctx context.Context, d *billingservice.Service) error {
	c.Bound = ms(skew + billingservice.CompactionInterval)
	for n := range 5 {
		g := gestoria(0xf000 + n)
		h, err := d.Reserve(g, "left", "lab", "team", 1e6, 200*time.Millisecond)
		if err != nil {
			return err
		}
		for ctx.Err() == nil {
			a, _, err := d.Account(g, "team")
			if err == nil && len(a.Reservations) == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Return = max(c.Return, ms(time.Duration(time.Now().UnixNano()-h.ExpiresNanos)))
	}
	return ctx.Err()
}

// Table writes costs.
func Table(w io.Writer, all []Cost) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TLS\tclients\tcommands a second\tp50, ms\tp99, ms\treturn after the lease, ms\tstated, ms\tordinary path, ns")
	for _, c := range all {
		fmt.Fprintf(t, "%v\t%d\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\n", c.TLS, c.Clients, c.PerSecond, c.P50, c.P99, c.Return, c.Bound, c.Path)
	}
	return t.Flush()
}
