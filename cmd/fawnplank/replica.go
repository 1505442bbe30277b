package main

import (
	"encoding/json"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/config"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/internal/store"
	"fawnplank/internal/tlsconfig"
)

// ignoreFileSizeSignal ignores SIGXFSZ. A write beyond the file size limit then returns an error, like a write to a
// full disk, instead of ending the process.
func ignoreFileSizeSignal() { signal.Ignore(syscall.SIGXFSZ) }

// replica is the gateway's replica of the store. A nil *replica stands for a gateway without a store; the methods that
// replica defines itself may be called on it.
type replica struct {
	*store.Store
	tls *tlsconfig.CertificateSource // nil if TLS is not used
	// edits receives a value after plans or classes have changed in the store. One value may stand for several edits.
	edits chan struct{}
}

// replicaOptions configures openReplica. All functions are required, and none may block.
type replicaOptions struct {
	Flags replicaFlags
	TLS   tlsconfig.Files
	// CheckOverlay validates a plan or class of the store together with the gateway's own files.
	CheckOverlay func(config.Overlay) error
	// ZoneChanged is called after a part of the zone has changed in the store.
	ZoneChanged func()
	// KeysChanged is called with all keys that have changed in the store, whatever they hold.
	KeysChanged func(keys []string)
}

// openReplica starts the replica that the flags describe. It returns nil if the flags describe no replica.
func openReplica(options replicaOptions) (*replica, error) {
	if options.Flags.dir == "" {
		return nil, nil
	}
	storeOptions, err := options.Flags.options(options.TLS)
	if err != nil {
		return nil, err
	}
	ignoreFileSizeSignal()
	edits := make(chan struct{}, 1)
	storeOptions.OnChange = func(keys []string) { notifyChanged(keys, options, edits) }
	storeOptions.Validate = func(key string, value json.RawMessage) error {
		return checkRow(key, value, options.CheckOverlay)
	}
	opened, err := store.Open(storeOptions)
	if err != nil {
		return nil, err
	}
	return &replica{Store: opened, tls: storeOptions.TLS, edits: edits}, nil
}

// notifyChanged notifies the parts of the gateway that use the changed keys. It does not block.
func notifyChanged(keys []string, options replicaOptions, edits chan<- struct{}) {
	isZoneKey := func(key string) bool { return strings.HasPrefix(key, dnsserver.KeyPrefix) }
	if slices.ContainsFunc(keys, isZoneKey) {
		options.ZoneChanged()
	}
	options.KeysChanged(keys)
	isRow := func(key string) bool {
		return strings.HasPrefix(key, config.PlanKeyPrefix) || strings.HasPrefix(key, config.ClassKeyPrefix)
	}
	if slices.ContainsFunc(keys, isRow) {
		logging.For(storeComponent).Info("plans or classes changed")
		select {
		case edits <- struct{}{}:
		default: // a value is already pending; its receiver will read this change too
		}
	}
}

// checkRow validates a plan or class before it is written, first on its own and then together with the files of this
// gateway. Other replicas validate it again with their own files. All other keys accept any value.
func checkRow(key string, value json.RawMessage, checkOverlay func(config.Overlay) error) error {
	check := func(name string, overlay config.Overlay) error {
		if err := config.CheckRow(name, value); err != nil {
			return err
		}
		return checkOverlay(overlay)
	}
	if name, ok := strings.CutPrefix(key, config.PlanKeyPrefix); ok {
		return check(name, config.Overlay{Plans: map[string]json.RawMessage{name: value}})
	}
	if name, ok := strings.CutPrefix(key, config.ClassKeyPrefix); ok {
		return check(name, config.Overlay{Classes: map[string]json.RawMessage{name: value}})
	}
	return nil
}

// registerMetrics adds the metrics of the replica: whether its state is confirmed, and the remaining validity of its
// certificate.
func (r *replica) registerMetrics(registry *metrics.Registry) {
	if r == nil {
		return
	}
	metrics.AddGauges(registry, r, replicaGauges)
	if r.tls != nil {
		metrics.AddGauges(registry, r.tls, replicaCertificateGauges)
	}
}

// Close stops the replica.
func (r *replica) Close() {
	if r != nil {
		r.Store.Close()
	}
}

// Edits returns a channel that receives a value after plans or classes have changed in the store. Without a store it
// returns nil; a receive from a nil channel blocks forever.
func (r *replica) Edits() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.edits
}

// isConfirmed reports whether the store's state is confirmed; see store.Store.Confirmed. Without a store nothing needs
// a confirmation, and it returns true.
func (r *replica) isConfirmed() bool {
	if r == nil {
		return true
	}
	select {
	case <-r.Confirmed():
		return true
	default:
		return false
	}
}

// overlay returns the plans and classes that the store holds.
func (r *replica) overlay() config.Overlay {
	if r == nil {
		return config.Overlay{}
	}
	return config.Overlay{
		Plans:   r.ReadLocalPrefix(config.PlanKeyPrefix),
		Classes: r.ReadLocalPrefix(config.ClassKeyPrefix),
	}
}

// logFields returns the fields that state which part of the store's log the gateway has applied, and how many plans and
// classes of the store that part holds. Without a store there are none.
func (r *replica) logFields() logrus.Fields {
	if r == nil {
		return logrus.Fields{}
	}
	overlay := r.overlay()
	return logrus.Fields{
		"store_index": r.AppliedIndex(),
		"store_rows":  len(overlay.Plans) + len(overlay.Classes),
	}
}
