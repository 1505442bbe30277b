// Command fawnplank is a front door: it takes clients' transactions, checks each against its customer's quota
// and sends it to a backend. This file only reads the command line, puts the parts together and stops them.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"fawnplank/internal/admin"
	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/frontend"
	"fawnplank/internal/logging"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/internal/warmstart"
	"fawnplank/policy"
)

// version is the release; a build may set it with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fawnplank:", err)
		os.Exit(1)
	}
}

// migrate writes the counterpart of a configuration for the new shape, and lists what could not be carried over.
func migrate(path, shape, to string, dry bool) error {
	if path == "" || to == "" && !dry {
		return errors.New("migrate: needs --config for the old file, and --output for the new one or --dry-run")
	}
	lines, err := config.Migrate(config.MigrateOptions{From: path, Shape: shape, To: to, DryRun: dry})
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Println("not carried over:", l)
	}
	if dry {
		fmt.Printf("%s: %d not carried over; nothing written\n", path, len(lines))
	} else {
		fmt.Printf("%s: written; %d not carried over\n", to, len(lines))
	}
	return nil
}

// read reads the configuration and the operator file, and checks them whole.
func read(path, operator string, over config.Overlay) (*config.Config, *config.Operator, error) {
	start, err := config.Read(path, over)
	if err == nil {
		err = discovery.Check(start.KnownEndpoints)
	}
	if err != nil {
		return nil, nil, err
	}
	o, err := config.ReadOperator(operator)
	if err != nil {
		return nil, nil, err
	}
	start.AddLimitClass(o)
	return start, o, nil
}

// serve runs a front door until it is told to stop.
func serve(path, operator, level, format string, replica storeFlags) error {
	told := make(chan os.Signal, 8) // from here on, since SIGHUP would end the program otherwise
	signal.Notify(told, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	start, set, err := read(path, operator, config.Overlay{})
	if err != nil {
		return err
	}
	if err := logging.Setup(logging.Options{Output: os.Stderr, Level: cmp.Or(level, set.Log.Level), Format: cmp.Or(format, set.Log.Format), Instance: start.Name}); err != nil {
		return err
	}
	// All runs on one core: more threads would only take turns. The collector keeps below the memory limit,
	// which leaves a quarter for what it does not see. It starts at 2 MB and takes a millisecond for the little
	// that is held: a larger share would let the heap grow for minutes before it first runs, which looks like a
	// leak and is memory that nothing needs.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(start.MemoryBytes * 3 / 4)
	debug.SetGCPercent(50)

	// Descriptors: some for the program itself, the listener, discovery and the counter's connections, old and new,
	// and for calls at the management address; the rest in halves, so that neither clients nor backends starve the other.
	own, calls := 48, 0
	if start.ManagementAddress != "" {
		calls = admin.ConnectionLimit(start.MaxSockets)
	}
	part := (start.MaxSockets - own - calls) / 2

	f, figures := dispatch.New(), metrics.New(classes(start))
	pool := backend.New(part, start.ConnectTimeout, start.IdleTimeout, f.HandleHealthCheck)
	spoken := counter.Text
	if set.Counter.Protocol == "resp" {
		spoken = counter.RESP
	}
	count := counter.New(counter.Options{Address: start.Counter, ConnectTimeout: start.ConnectTimeout,
		Format: spoken}, f)
	figures.AddGauges(outages(f, count))
	names := &names{set: set}
	var refresh func()
	if names.on() {
		refresh = names.whole
	}
	list := discovery.New(discovery.Options{Subscriber: f, AddressBook: pool, Config: start, Metrics: figures, Refresh: refresh})
	names.list = list
	pool.Metrics = figures
	// Large values of clients and of backends each hold at most a sixth of the memory; what waits for room is
	// not read on meanwhile. Two rooms, not one: a large command holds its room until its answer is written,
	// and that answer must not wait for the same room. With the collector's three quarters that leaves a third
	// for the rest.
	pool.Budget = membudget.New(start.MemoryBytes / 6)
	f.Start(dispatch.Config{Seed: start.Seed, Settings: start.Settings, Counter: count, HealthChecker: pool, EndpointWatcher: list})
	if !names.on() { // a list of long ago must not stand beside the zone's
		if err := list.LoadSnapshot(start.KnownEndpoints); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		if !start.Settings.PollEndpoints {
			list.WatchEndpoints()
		}
	}

	keep := keepLearned(f, set)
	defer keep()
	listener, err := listen(start)
	if err != nil {
		return fmt.Errorf("configuration: listen: %w", err)
	}
	billed := newAccounts()
	kept, edited, err := openStore(replica, path, operator, names.changed, billed.changed)
	if err != nil {
		return err
	}
	defer kept.Close()
	kept.watch(figures)
	if err := names.start(kept, figures); err != nil {
		return fmt.Errorf("operator file: dns: %w", err)
	}
	defer names.close()
	if err := billed.start(kept, start, set, figures); err != nil {
		return fmt.Errorf("operator file: billing: %w", err)
	}
	limits, err := serveLimits(f, figures, start, set, billed.desk)
	if err != nil {
		return fmt.Errorf("operator file: limits.listen: %w", err)
	}
	options := frontend.Options{Dispatcher: f, Pool: pool, Config: start, MaxConnections: part, Metrics: figures,
		Budget: membudget.New(start.MemoryBytes / 6)}
	if billed.desk != nil { // before the first transaction is taken: each is billed, or none
		options.Usage = billed.desk
	}
	server := frontend.New(options)
	served, stopped := make(chan error, 1), make(chan struct{})
	go func() { served <- server.Serve(listener) }()
	d := &door{server: server, figures: figures}
	if start.ManagementAddress != "" {
		m, err := admin.New(context.Background(), admin.Options{Address: start.ManagementAddress, Gateway: d, MaxCalls: calls})
		if err != nil {
			return fmt.Errorf("configuration: mgmt: %w", err)
		}
		go func() {
			if err := m.Serve(); err != nil {
				logging.For("admin").WithError(err).Error("stopped")
			}
		}()
		logging.For("admin").WithField(logging.Address, m.Address()).Info("listens")
	}
	d.ready.Store(true)
	logging.For("front").WithFields(logrus.Fields{"number": start.Settings.InstanceIndex, "doors": start.Settings.Instances,
		logging.Address: start.Listen}).Info("listens")
	for stopping := false; ; {
		select {
		case err := <-served:
			if !stopping {
				return err
			}
			served = nil
		case <-stopped:
			return nil
		case <-edited: // a plan or class was edited in the store: as at SIGHUP
			select {
			case told <- syscall.SIGHUP:
			default: // signals wait already, which will do
			}
		case s := <-told: // one at a time: a further one waits
			if s == syscall.SIGHUP {
				fresh := reload(path, operator, kept.overlay(), start, set, count, list)
				if fresh == nil {
					figures.ConfigRejected()
				} else {
					figures.ConfigReloaded()
					f.UpdateSettings(fresh.Settings)
					server.UpdateSettings(fresh)
					limits.Retune(limitNames(fresh, set))
					names.reload()
					billed.retune(fresh, set)
					figures.SetClasses(classes(fresh))
					start = fresh
				}
			} else if !stopping {
				stopping = true
				d.ready.Store(false)
				go names.close()        // a process that takes over has the journal from here on
				terms := start.Settings // as they are now: a SIGHUP behind the SIGTERM puts others in start's place
				go func() {
					stop(server, listener, terms)
					limits.Close()
					billed.close() // with all that was answered
					close(stopped)
				}()
			}
		}
	}
}

// listen takes the listener that the process was handed, or opens one that a process started after it may share:
// during an upgrade both serve the clients' address, and the kernel spreads new connections over the two.
func listen(start *config.Config) (net.Listener, error) {
	if start.ListenerFD >= 0 {
		f := os.NewFile(uintptr(start.ListenerFD), "listener")
		defer f.Close()
		return net.FileListener(f)
	}
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return err
	}}
	return shared.Listen(context.Background(), "tcp4", start.Listen)
}

// door is what the management address acts on.
type door struct {
	server  *frontend.Server
	figures *metrics.Registry
	ready   atomic.Bool // listening, and not stopping
}

func (d *door) Ready() bool { return d.ready.Load() && !d.server.Draining() }
func (d *door) Drain()      { d.server.Drain() }
func (d *door) Resume()     { d.server.Resume() }
func (d *door) WriteStats(w io.Writer) {
	if err := d.figures.Write(w); err != nil {
		logging.For("admin").WithError(err).Warn("figures")
	}
}

// reload reads the configuration anew and goes on to the addresses that it names, and to its settings: the
// configuration to go on with, with the ids of profiles and plans that follow start's. Where the new one is
// faulty nothing changes, and it gives nil; listen, mgmt, limits and seed wait for a restart.
func reload(path, operator string, over config.Overlay, start *config.Config, set *config.Operator, count *counter.Client, list *discovery.Client) *config.Config {
	fresh, now, err := read(path, operator, over)
	if err != nil {
		logging.For("config").WithError(err).Error("not reloaded, the old configuration stays")
		return nil
	}
	if !reflect.DeepEqual(now, set) {
		logging.For("config").Warn("changes of the operator file take effect at a restart")
		if _, on := start.LimitClass(); on && now.Limits.Listen == "" {
			fresh.AddLimitClass(set)
		}
	}
	fresh.KeepIDs(start)
	count.SetAddress(fresh.Counter)
	list.SetAddress(fresh.Discovery, fresh.Settings)
	logging.For("config").WithFields(logrus.Fields{"discovery": fresh.Discovery, "counter": fresh.Counter,
		"classes": len(fresh.Classes)}).Info("reloaded")
	kept := *start // what takes effect at a restart only
	kept.Discovery, kept.Counter, kept.KnownEndpoints, kept.Settings = fresh.Discovery, fresh.Counter, fresh.KnownEndpoints, fresh.Settings
	kept.Classes, kept.Plans, kept.Zones, kept.MaxUnits = fresh.Classes, fresh.Plans, fresh.Zones, fresh.MaxUnits
	if !reflect.DeepEqual(&kept, fresh) {
		logging.For("config").Warn("changes of listen, mgmt, limits or seed take effect at a restart")
	}
	return &kept
}

// classes are the names of the profiles, by id; those of rows that no name takes any more are empty. Sized by
// the rows, not the names: after a reload ids reach past the number of names.
func classes(start *config.Config) []string {
	names := make([]string, len(start.Settings.Classes))
	for name, id := range start.Classes {
		names[id] = name
	}
	return names
}

// stop goes on serving while new connections may still come, up to 0.4 s after the signal; then it ends
// connections between transactions, and returns once all that was taken is answered, or its time is up.
func stop(server *frontend.Server, listener net.Listener, terms policy.Settings) {
	logging.For("front").Info("stopping")
	time.Sleep(450 * time.Millisecond)
	// What is waiting to be accepted has been taken in by this machine: it is accepted first.
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	time.Sleep(30 * time.Millisecond)
	listener.Close()
	var longest int64
	for _, p := range terms.Classes {
		longest = max(longest, p.Deadline)
	}
	for until := time.Now().Add(time.Duration(longest)); time.Now().Before(until); {
		if server.Close(); !server.Serving() && server.Connections() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	logging.For("front").Info("stopped")
}

// outages are the figures on the counter: what it answered, and how far the door may be from one count.
func outages(f *dispatch.Dispatcher, count *counter.Client) map[string]metrics.Gauge {
	of := func(value func(policy.CounterStats) float64) func() float64 {
		return func() float64 { return value(f.CounterStats()) }
	}
	return map[string]metrics.Gauge{
		"counter_calls":          {Help: "calls that the counter answered with a total", Value: func() float64 { return float64(count.Stats().Answered) }},
		"counter_failures":       {Help: "calls without a total", Value: func() float64 { return float64(count.Stats().Failed) }},
		"counter_outage_seconds": {Help: "since the first failure after the last total; 0: none", Value: func() float64 { return count.Stats().Outage.Seconds() }},
		"counter_breaker_open": {Help: "1 while calls to the counter are stopped", Value: of(func(o policy.CounterStats) float64 {
			if o.BreakerOpen {
				return 1
			}
			return 0
		})},
		"counter_calling_share":  {Help: "part of the transactions that call the counter", Value: of(func(o policy.CounterStats) float64 { return o.CallShare })},
		"quota_owed_units":       {Help: "units let in and not told to the counter yet", Value: of(func(o policy.CounterStats) float64 { return o.UnreportedUnits })},
		"quota_reconciled_units": {Help: "units put right on the counter's numbers, of customers remembered", Value: of(func(o policy.CounterStats) float64 { return o.ReconciledUnits })},
		"quota_drift_units":      {Help: "units that this door may be apart from one count", Value: of(func(o policy.CounterStats) float64 { return o.DriftUnits })},
		"customers":              {Help: "customers remembered", Value: of(func(o policy.CounterStats) float64 { return float64(o.Tenants) })},
	}
}

// keepLearned takes over what an earlier life of the door learned, where the operator file names a file for it, and
// writes it there from time to time. The function that it gives writes it a last time.
func keepLearned(f *dispatch.Dispatcher, set *config.Operator) func() {
	path := set.WarmStart.File
	if path == "" {
		return func() {}
	}
	if l, age, err := warmstart.Load(path, time.Now()); err == nil {
		f.ImportState(l, age)
		logging.For("learned").WithFields(logrus.Fields{"age": age.String(), "backends": len(l.Backends)}).Info("taken over")
	} else if !errors.Is(err, os.ErrNotExist) {
		logging.For("learned").WithError(err).Warn("refused; the door starts afresh")
	}
	failing := false
	save := func() {
		err := warmstart.Save(path, f.ExportState(), time.Now())
		if err != nil && !failing { // once an outage
			logging.For("learned").WithError(err).Error("not written")
		}
		failing = err != nil
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				save()
				return
			case <-time.After(time.Duration(set.WarmStart.SaveInterval)):
				save()
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}
