package main

import (
	"sync"
	"sync/atomic"
	"time"

	"fawnplank/internal/config"
	"fawnplank/internal/discovery"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// endpointZone is the DNS zone that the endpoint list comes from, where the operator file names one. It owns
// the name server. It is made before the discovery client, which asks it for full snapshots, and started
// after it, since it publishes to that client. Its methods are safe for concurrent use.
type endpointZone struct {
	settings config.DNS
	server   atomic.Pointer[dnsserver.Server] // nil before Start, and where the zone is off
	changes  *notifier                        // of the zone's keys in the store
	closing  sync.Once
}

func newEndpointZone(settings config.DNS) *endpointZone {
	return &endpointZone{settings: settings, changes: newNotifier()}
}

// Enabled reports whether the endpoint list comes from a zone.
func (z *endpointZone) Enabled() bool { return z.settings.ZoneFile != "" }

// Start starts the name server, on the replica where there is one. Lists go to client.
func (z *endpointZone) Start(client *discovery.Client, replica *replica, registry *metrics.Registry) error {
	if !z.Enabled() {
		return nil
	}
	options := dnsOptions(z.settings)
	options.Tell = func(changed []dnszone.Backend, removed []string, full bool) {
		client.Publish(endpointUpdate(changed, removed, full))
	}
	if replica != nil {
		options.Shared = &dnsserver.Shared{Replica: replica.Store}
	}
	server, err := dnsserver.Start(options)
	if err != nil {
		return err
	}
	z.server.Store(server)
	registerZoneMetrics(server, registry)
	if replica != nil {
		z.changes.Start(server.Changed)
		z.changes.Notify() // of what changed while the server started
	}
	return nil
}

// NotifyChanged reports that the zone has changed in the store. It does not block.
func (z *endpointZone) NotifyChanged() { z.changes.Notify() }

// PublishSnapshot publishes the whole list again.
func (z *endpointZone) PublishSnapshot() {
	if server := z.server.Load(); server != nil {
		server.Whole()
	}
}

// Reload reads the zone file again.
func (z *endpointZone) Reload() {
	if server := z.server.Load(); server != nil {
		server.Reload()
	}
}

// CloseServer stops the name server, so that another process may use the journal. The list goes on to follow
// changes in the store. It may be called more than once; each call returns after the server has stopped.
func (z *endpointZone) CloseServer() { z.closing.Do(func() { z.server.Load().Close() }) }

// Close ends all that the zone runs. It is called once.
func (z *endpointZone) Close() {
	z.CloseServer()
	z.changes.Close()
}

// endpointUpdate brings changes of a zone into the form of the discovery service.
func endpointUpdate(changed []dnszone.Backend, removed []string, full bool) (policy.UpdateKind, []discovery.Entry) {
	var entries []discovery.Entry
	for _, backend := range changed {
		entries = append(entries, endpointEntry(backend))
	}
	for _, name := range removed {
		entries = append(entries, discovery.Entry{Name: name, Status: "removed"})
	}
	if full {
		return policy.FullSnapshot, entries
	}
	return policy.Delta, entries
}

func endpointEntry(backend dnszone.Backend) discovery.Entry {
	entry := discovery.Entry{
		Name:    backend.Name,
		Address: backend.Addresses[0].String(),
		Zone:    backend.Zone,
		Group:   backend.Group,
		Status:  "up",
		Weight:  backend.Size,
		SinceMs: float64(backend.Started()) / float64(time.Millisecond),
	}
	if backend.Draining {
		entry.Status = "draining"
	}
	if len(backend.Addresses) > 1 || !backend.Addresses[0].Addr().Is4() {
		entry.Addresses = backend.Addresses
	}
	return entry
}

// dnsOptions are the options of a name server, or of a look at what it has, on the operator file's settings.
func dnsOptions(settings config.DNS) dnsserver.Options {
	options := dnsserver.Options{
		Settings: settings.Settings(),
		File:     settings.ZoneFile,
		Journal:  settings.Journal,
		Listen:   settings.Listen,
		Rate:     settings.MaxUpdatesPerSecond,
		Notify:   settings.Notify,
	}
	for _, key := range settings.Keys {
		options.Keys = append(options.Keys, key.Key)
	}
	return options
}

// checkZoneFile reports what is wrong with the zone file that an operator file names.
func checkZoneFile(operator *config.Operator) error {
	if operator.DNS.ZoneFile == "" {
		return nil
	}
	_, _, err := dnsserver.ReadFile(operator.DNS.ZoneFile, operator.DNS.Settings())
	return err
}

func registerZoneMetrics(server *dnsserver.Server, registry *metrics.Registry) {
	count := func(index int) func() float64 {
		return func() float64 { return float64(server.Counts()[index]) }
	}
	registry.AddGauges(map[string]metrics.Gauge{
		"dns_updates_done":    {Help: "dynamic updates that changed the zone", Value: count(0)},
		"dns_updates_refused": {Help: "dynamic updates refused for what they ask", Value: count(1)},
		"dns_messages_refused": {
			Help:  "messages refused for their signature, its time, or a replay",
			Value: count(2),
		},
		"dns_flooded":      {Help: "messages beyond what is looked at", Value: count(3)},
		"dns_updates_lost": {Help: "updates that journal or store could not keep", Value: count(4)},
		"dns_serial": {
			Help:  "serial of the zone in force",
			Value: func() float64 { return float64(server.Serial()) },
		},
	})
}
