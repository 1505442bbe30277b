// Package dnsbench measures a gateway's name server alone, in this process and on loopback: how long a zone
// takes to load, how long it takes from the sending of an update until the list is published and until the
// update is answered, and how many updates are applied per second. The zone's journal is on the disk of the
// folder for temporary files.
//
// Measure should run alone: concurrent calls would measure each other.
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

// Cost is what a zone of one size costs. Times are in milliseconds.
type Cost struct {
	Backends         int
	Load             float64 // of the zone file
	Start            float64 // from the journal
	PublishedP50     float64 // from an update's sending until the list is published
	PublishedP99     float64
	AnsweredP50      float64 // from an update's sending until its answer
	AnsweredP99      float64
	UpdatesPerSecond float64 // with concurrent updaters
}

const (
	origin  = "lab."
	service = "_calc._tcp.lab."
	keyName = "lab."
	// updaters is how many updaters send at once to measure updates per second.
	updaters = 8
	// maxUpdatesPerSecond is more than a server reaches.
	maxUpdatesPerSecond = 1e6
	// updateTimeout bounds one update.
	updateTimeout = 5 * time.Second
	// guardDelay is the wait after a start: the server refuses updates signed in the second of its start, as an
	// earlier incarnation may have applied them.
	guardDelay = 1100 * time.Millisecond
)

// zoneFile returns a zone file with a number of backends.
func zoneFile(backends int) string {
	var text strings.Builder
	text.WriteString("$ORIGIN lab.\n$TTL 30\n@ IN SOA ns admin 1 3600 600 86400 30\n")
	text.WriteString("@ IN NS ns\nns IN A 127.0.0.1\n")
	for i := range backends {
		fmt.Fprintf(&text, "_calc._tcp SRV 0 100 7000 n%d\nn%d A %s\nn%d TXT fawnplank zone=a group=%d\n",
			i, i, backendAddress(i), i, i%3)
	}
	return text.String()
}

// backendAddress returns an address of loopback that no other backend has.
func backendAddress(backend int) string {
	const octet = 250 // values of an octet that are used: neither 0 nor 255 ends an address
	return fmt.Sprintf("127.%d.%d.%d", 1+backend/(octet*octet), backend/octet%octet, 1+backend%octet)
}

// Measure measures zones of the given sizes: first with updates one after the other, then for a time with
// concurrent updaters.
func Measure(ctx context.Context, sizes []int, updates int, duration time.Duration) ([]Cost, error) {
	folder, err := os.MkdirTemp("", "fawnplank-dnsbench-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the system cleans up a folder that is left behind
	key, err := newKey(filepath.Join(folder, "key"))
	if err != nil {
		return nil, err
	}
	var costs []Cost
	for _, backends := range sizes {
		b := &bench{folder: folder, key: key, backends: backends}
		cost, err := b.measure(ctx, updates, duration)
		if err != nil {
			return nil, fmt.Errorf("%d backends: %w", backends, err)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func newKey(path string) (dnsserver.Key, error) {
	secret := base64.StdEncoding.EncodeToString([]byte("secret of the laboratory"))
	if err := os.WriteFile(path, []byte(secret), 0o600); err != nil {
		return dnsserver.Key{}, err
	}
	return dnsserver.ReadKey(keyName, "hmac-sha256", path)
}

// bench measures a zone of one size.
type bench struct {
	folder         string
	key            dnsserver.Key
	backends       int
	server         *dnsserver.Server
	publishedNanos atomic.Int64 // when the list was last published
}

func (b *bench) options() dnsserver.Options {
	return dnsserver.Options{
		Settings:            dnszone.Settings{Origin: origin, Service: service},
		ZoneFile:            filepath.Join(b.folder, fmt.Sprint(b.backends, ".zone")),
		JournalFile:         filepath.Join(b.folder, fmt.Sprint(b.backends, ".journal")),
		ListenAddress:       "127.0.0.1:0",
		Keys:                []dnsserver.Key{b.key},
		MaxUpdatesPerSecond: maxUpdatesPerSecond,
		Publish:             func(dnsserver.BackendListUpdate) { b.publishedNanos.Store(time.Now().UnixNano()) },
	}
}

func (b *bench) measure(ctx context.Context, updates int, duration time.Duration) (Cost, error) {
	cost := Cost{Backends: b.backends}
	options := b.options()
	if err := os.WriteFile(options.ZoneFile, []byte(zoneFile(b.backends)), 0o600); err != nil {
		return cost, err
	}
	began := time.Now()
	if _, _, err := dnsserver.ReadZoneFile(options.ZoneFile, options.Settings); err != nil {
		return cost, err
	}
	cost.Load = inMillis(time.Since(began))
	server, err := dnsserver.Start(options)
	if err != nil {
		return cost, err
	}
	b.server = server
	defer func() { b.server.Close() }()
	if err := b.measureUpdates(ctx, updates, &cost); err != nil {
		return cost, err
	}
	if err := b.measureRate(ctx, duration, &cost); err != nil {
		return cost, err
	}
	b.server.Close()
	began = time.Now()
	if server, err = dnsserver.Start(options); err != nil {
		return cost, err
	}
	b.server = server
	cost.Start = inMillis(time.Since(began))
	return cost, nil
}

// measureUpdates sends updates one after the other.
func (b *bench) measureUpdates(ctx context.Context, updates int, cost *Cost) error {
	select {
	case <-time.After(guardDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	var published, answered []time.Duration
	for i := range updates {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		began := time.Now()
		if err := b.send(uint16(i), i/2%b.backends, i%2 == 0); err != nil {
			return err
		}
		answered = append(answered, time.Since(began))
		published = append(published, time.Duration(b.publishedNanos.Load()-began.UnixNano()))
	}
	cost.PublishedP50 = percentile(published, 50)
	cost.PublishedP99 = percentile(published, 99)
	cost.AnsweredP50 = percentile(answered, 50)
	cost.AnsweredP99 = percentile(answered, 99)
	return nil
}

// measureRate sends updates from concurrent updaters, each about its own backend.
func (b *bench) measureRate(ctx context.Context, duration time.Duration, cost *Cost) error {
	var running sync.WaitGroup
	var applied atomic.Int64
	var failed atomic.Pointer[error]
	began := time.Now()
	for updater := range updaters {
		running.Go(func() {
			for i := 0; time.Since(began) < duration && ctx.Err() == nil; i++ {
				if err := b.send(uint16(i), b.backends+updater, i%2 == 1); err != nil {
					failed.Store(&err)
					return
				}
				applied.Add(1)
			}
		})
	}
	running.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	cost.UpdatesPerSecond = float64(applied.Load()) / time.Since(began).Seconds()
	return nil
}

// send removes a backend or adds it. id is the message's id: two messages with the same bytes in the same
// second have the same signature, so that the second would be taken for a replay. Among thousands with random
// ids that would happen by chance.
func (b *bench) send(id uint16, backend int, remove bool) error {
	message := new(dns.Msg).SetUpdate(origin)
	message.Id = id
	for _, text := range []string{
		fmt.Sprintf("%s 30 SRV 0 100 7000 n%d.lab.", service, backend),
		fmt.Sprintf("n%d.lab. 30 A %s", backend, backendAddress(backend)),
	} {
		rr, err := dns.NewRR(text)
		if err != nil {
			return err
		}
		if remove {
			message.Remove([]dns.RR{rr})
		} else {
			message.Insert([]dns.RR{rr})
		}
	}
	return dnsserver.SendUpdate(message, b.server.Address(), b.key, updateTimeout)
}

func inMillis(duration time.Duration) float64 { return float64(duration) / 1e6 }

// percentile sorts the durations and returns a percentile in milliseconds.
func percentile(durations []time.Duration, percent int) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return inMillis(durations[min(len(durations)*percent/100, len(durations)-1)])
}
