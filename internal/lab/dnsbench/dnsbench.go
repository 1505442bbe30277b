// Package names measures a front door's name server alone, in this process and on loopback: how long a zone takes to
// load, how long an update takes from its sending until the list is told and until it is answered, and how many
// are done a second. The zone's journal is on whatever disk holds the folder for temporary files.
package dnsbench

import (
	"context"
	"encoding/base64"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
)

// Cost is what a zone of one size costs. Times are milliseconds.
type Cost struct {
	Backends  int
	Load      float64 // of the zone file
	Start     float64 // from the journal
	ToldP50   float64 // from an update's sending until the list is told
	ToldP99   float64
	DoneP50   float64 // until its answer
	DoneP99   float64
	PerSecond float64 // with eight updaters
}

const origin, service = "lab.", "_calc._tcp.lab."

// text is a zone file with n backends.
func text(n int) string {
	var b strings.Builder
	b.WriteString("$ORIGIN lab.\n$TTL 30\n@ IN SOA ns admin 1 3600 600 86400 30\n@ IN NS ns\nns IN A 127.0.0.1\n")
	for i := range n {
		fmt.Fprintf(&b, "_calc._tcp SRV 0 100 7000 n%d\nn%d A 127.%d.%d.%d\nn%d TXT fawnplank zone=a group=%d\n", i, i, 1+i/62500, i/250%250, 1+i%250, i, i%3)
	}
	return b.String()
}

// updaters send at once where updates a second are measured.
const updaters = 8

// Measure measures zones of the sizes given: updates one after the other, and then for as long by eight updaters at once.
func Measure(ctx context.Context, sizes []int, updates int, span time.Duration) (all []Cost, err error) {
	folder, err := os.MkdirTemp("", "fawnplank-names-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	secret := filepath.Join(folder, "key")
	if err := os.WriteFile(secret, []byte(base64.StdEncoding.EncodeToString([]byte("secret of the laboratory"))), 0o600); err != nil {
		return nil, err
	}
	key, err := dnsserver.ReadKey("lab.", "hmac-sha256", secret)
	if err != nil {
		return nil, err
	}
	for _, n := range sizes {
		c, err := measure(ctx, folder, key, n, updates, span)
		if err != nil {
			return nil, fmt.Errorf("%d backends: %w", n, err)
		}
		all = append(all, c)
	}
	return all, nil
}

func measure(ctx context.Context, folder string, key dnsserver.Key, n, updates int, span time.Duration) (c Cost, err error) {
	c.Backends = n
	o := dnsserver.Options{Settings: dnszone.Settings{Origin: origin, Service: service}, ListenAddress: "127.0.0.1:0", Keys: []dnsserver.Key{key}, MaxUpdatesPerSecond: 1e6,
		ZoneFile: filepath.Join(folder, fmt.Sprint(n, ".zone")), JournalFile: filepath.Join(folder, fmt.Sprint(n, ".journal"))}
	if err := os.WriteFile(o.ZoneFile, []byte(text(n)), 0o600); err != nil {
		return c, err
	}
	began := time.Now()
	if _, _, err := dnsserver.ReadZoneFile(o.ZoneFile, o.Settings); err != nil {
		return c, err
	}
	c.Load = ms(time.Since(began))
	var told atomic.Int64
	o.Publish = func(dnsserver.ListUpdate) { told.Store(time.Now().UnixNano()) }
	s, err := dnsserver.Start(o)
	if err != nil {
		return c, err
	}
	defer func() { s.Close() }()
	// What is signed in the second of a start is refused, as an earlier life may have done it.
	select {
	case <-time.After(1100 * time.Millisecond):
	case <-ctx.Done():
		return c, ctx.Err()
	}
	var toTell, toDone []time.Duration
	for i := range updates {
		if ctx.Err() != nil {
			return c, ctx.Err()
		}
		began := time.Now()
		if err := send(s.Address(), key, uint16(i), i/2%n, i%2 == 0); err != nil {
			return c, err
		}
		toDone = append(toDone, time.Since(began))
		toTell = append(toTell, time.Duration(told.Load()-began.UnixNano()))
	}
	c.ToldP50, c.ToldP99 = percentile(toTell, 50), percentile(toTell, 99)
	c.DoneP50, c.DoneP99 = percentile(toDone, 50), percentile(toDone, 99)
	var wg sync.WaitGroup
	var done atomic.Int64
	var failed atomic.Pointer[error]
	began = time.Now()
	for u := range updaters {
		wg.Go(func() {
			for i := 0; time.Since(began) < span && ctx.Err() == nil; i++ {
				if err := send(s.Address(), key, uint16(i), n+u, i%2 == 1); err != nil {
					failed.Store(&err)
					return
				}
				done.Add(1)
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return c, *err
	}
	c.PerSecond = float64(done.Load()) / time.Since(began).Seconds()
	s.Close()
	began = time.Now()
	if s, err = dnsserver.Start(o); err != nil {
		return c, err
	}
	c.Start = ms(time.Since(began))
	return c, nil
}

// send withdraws backend i, or brings it. The number is the message's: two that are the same in all bytes in the same
// second have one signature, and the second is taken for a replay, as chance would have it among thousands.
func send(at string, key dnsserver.Key, number uint16, i int, withdraw bool) error {
	m := new(dns.Msg).SetUpdate(origin)
	m.Id = number
	for _, x := range []string{fmt.Sprintf("%s 30 SRV 0 100 7000 n%d.lab.", service, i), fmt.Sprintf("n%d.lab. 30 A 127.%d.%d.%d", i, 1+i/62500, i/250%250, 1+i%250)} {
		rr, err := dns.NewRR(x)
		if err != nil {
			return err
		}
		if withdraw {
			m.Remove([]dns.RR{rr})
		} else {
			m.Insert([]dns.RR{rr})
		}
	}
	return dnsserver.SendUpdate(m, at, key, 5*time.Second)
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

func percentile(all []time.Duration, p int) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return ms(all[min(len(all)*p/100, len(all)-1)])
}
