// Package dnsbench measures a gateway's DNS server in this process and on loopback: the time to load a zone, the
// times from the sending of an update until the endpoint list is published and until the update is answered, and the
// number of updates per second. The zone's journal is in the folder for temporary files, so its disk affects the
// results.
//
// Calls of Measure should not run concurrently, because they would slow down each other.
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

// Cost holds the measured costs of a zone of one size. Times are in milliseconds.
type Cost struct {
	Backends         int
	Load             float64 // time to load the zone file
	Start            float64 // time to start the server from the journal
	PublishedP50     float64 // from the sending of an update until the endpoint list is published
	PublishedP99     float64
	AnsweredP50      float64 // from the sending of an update until its answer
	AnsweredP99      float64
	UpdatesPerSecond float64 // with concurrent updaters
}

const (
	origin  = "lab."
	service = "_calc._tcp.lab."
	keyName = "lab."
	// concurrentUpdaters is the number of concurrent updaters in the measurement of updates per second.
	concurrentUpdaters = 8
	// maxUpdatesPerSecond is the server's rate limit, which is too high to have an effect.
	maxUpdatesPerSecond = 1e6
	// updateTimeout is the timeout of one update.
	updateTimeout = 5 * time.Second
	// startupGuardDelay is the wait after the server's start. The server refuses updates that were signed in the second
	// of its start, because an earlier incarnation may have applied them.
	startupGuardDelay = 1100 * time.Millisecond
)

// zoneFileText returns the text of a zone file with the given number of backends.
func zoneFileText(backends int) string {
	var text strings.Builder
	text.WriteString("$ORIGIN lab.\n$TTL 30\n@ IN SOA ns admin 1 3600 600 86400 30\n")
	text.WriteString("@ IN NS ns\nns IN A 127.0.0.1\n")
	for i := range backends {
		fmt.Fprintf(&text, "_calc._tcp SRV 0 100 7000 n%d\nn%d A %s\nn%d TXT fawnplank zone=a group=%d\n",
			i, i, backendAddress(i), i, i%3)
	}
	return text.String()
}

// backendAddress returns a loopback address that is unique to the backend.
func backendAddress(backend int) string {
	const octetValues = 250 // number of values used per octet; no address ends in 0 or 255
	return fmt.Sprintf("127.%d.%d.%d",
		1+backend/(octetValues*octetValues), backend/octetValues%octetValues, 1+backend%octetValues)
}

// Measure measures zones of the given sizes, given as numbers of backends. For each zone it first sends the given
// number of updates one after the other, and then sends updates from concurrent updaters for the given duration.
func Measure(ctx context.Context, sizes []int, updates int, duration time.Duration) ([]Cost, error) {
	folder, err := os.MkdirTemp("", "fawnplank-dnsbench-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the system cleans up folders for temporary files
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
	publishedNanos atomic.Int64 // Unix time at which the list was last published
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
	if err := os.WriteFile(options.ZoneFile, []byte(zoneFileText(b.backends)), 0o600); err != nil {
		return cost, err
	}
	startedAt := time.Now()
	if _, _, err := dnsserver.ReadZoneFile(options.ZoneFile, options.Settings); err != nil {
		return cost, err
	}
	cost.Load = inMillis(time.Since(startedAt))
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
	startedAt = time.Now()
	if server, err = dnsserver.Start(options); err != nil {
		return cost, err
	}
	b.server = server
	cost.Start = inMillis(time.Since(startedAt))
	return cost, nil
}

// measureUpdates measures updates that are sent one after the other.
func (b *bench) measureUpdates(ctx context.Context, updates int, cost *Cost) error {
	select {
	case <-time.After(startupGuardDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	var published, answered []time.Duration
	for i := range updates {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sentAt := time.Now()
		if err := b.send(uint16(i), i/2%b.backends, i%2 == 0); err != nil {
			return err
		}
		answered = append(answered, time.Since(sentAt))
		published = append(published, time.Duration(b.publishedNanos.Load()-sentAt.UnixNano()))
	}
	cost.PublishedP50 = percentile(published, 50)
	cost.PublishedP99 = percentile(published, 99)
	cost.AnsweredP50 = percentile(answered, 50)
	cost.AnsweredP99 = percentile(answered, 99)
	return nil
}

// measureRate measures the rate of updates from concurrent updaters, each of which updates a backend of its own.
func (b *bench) measureRate(ctx context.Context, duration time.Duration, cost *Cost) error {
	var updaters sync.WaitGroup
	var applied atomic.Int64
	var updateError atomic.Pointer[error]
	startedAt := time.Now()
	for updater := range concurrentUpdaters {
		updaters.Go(func() {
			for i := 0; time.Since(startedAt) < duration && ctx.Err() == nil; i++ {
				if err := b.send(uint16(i), b.backends+updater, i%2 == 1); err != nil {
					updateError.Store(&err)
					return
				}
				applied.Add(1)
			}
		})
	}
	updaters.Wait()
	if err := updateError.Load(); err != nil {
		return *err
	}
	cost.UpdatesPerSecond = float64(applied.Load()) / time.Since(startedAt).Seconds()
	return nil
}

// send sends an update that adds or removes a backend. Callers choose the message's ID, because two messages with
// the same bytes in the same second have the same signature, so that the server would reject the second one as a
// replay. With random IDs that would happen occasionally among thousands of updates.
func (b *bench) send(id uint16, backend int, remove bool) error {
	message := new(dns.Msg).SetUpdate(origin)
	message.Id = id
	for _, text := range []string{
		fmt.Sprintf("%s 30 SRV 0 100 7000 n%d.lab.", service, backend),
		fmt.Sprintf("n%d.lab. 30 A %s", backend, backendAddress(backend)),
	} {
		record, err := dns.NewRR(text)
		if err != nil {
			return err
		}
		if remove {
			message.Remove([]dns.RR{record})
		} else {
			message.Insert([]dns.RR{record})
		}
	}
	return dnsserver.SendUpdate(message, b.server.Address(), b.key, updateTimeout)
}

func inMillis(duration time.Duration) float64 { return float64(duration) / 1e6 }

// percentile sorts the durations and returns the given percentile in milliseconds.
func percentile(durations []time.Duration, percent int) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return inMillis(durations[min(len(durations)*percent/100, len(durations)-1)])
}
