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

// endpointZone is the DNS zone that the endpoint list comes from, if the operator file names one. It owns the
// name server. It is constructed before the discovery client, which asks it for full snapshots, and started
// after it, since it publishes to that client. Its methods are safe for concurrent use.
type endpointZone struct {
	settings config.DNS
	server   atomic.Pointer[dnsserver.Server] // nil before Start, and if the zone is off
	changes  *notifier                        // notified when the zone's keys change in the store
	closing  sync.Once
}

func newEndpointZone(settings config.DNS) *endpointZone {
	return &endpointZone{settings: settings, changes: newNotifier()}
}

// Enabled reports whether the endpoint list comes from a zone.
func (z *endpointZone) Enabled() bool { return z.settings.ZoneFile != "" }

// Start starts the name server, on the replica if there is one. It publishes endpoint lists to client.
func (z *endpointZone) Start(client *discovery.Client, replica *replica, registry *metrics.Registry) error {
	if !z.Enabled() {
		return nil
	}
	options := dnsOptions(z.settings)
	options.Publish = func(update dnsserver.BackendListUpdate) { client.Publish(endpointUpdate(update)) }
	if replica != nil {
		options.ReplicatedStore = &dnsserver.ReplicatedZone{Replica: replica.Store}
	}
	server, err := dnsserver.Start(options)
	if err != nil {
		return err
	}
	z.server.Store(server)
	metrics.AddGauges(registry, server, zoneGauges)
	if replica != nil {
		z.changes.Start(server.HandleStoreChange)
		z.changes.Notify() // covers changes made while the server started
	}
	return nil
}

// NotifyChanged reports that the zone has changed in the store. It does not block.
func (z *endpointZone) NotifyChanged() { z.changes.Notify() }

// PublishSnapshot publishes the whole list again.
func (z *endpointZone) PublishSnapshot() {
	if server := z.server.Load(); server != nil {
		server.PublishFullList()
	}
}

// Reload reads the zone file again.
func (z *endpointZone) Reload() {
	if server := z.server.Load(); server != nil {
		server.Reload()
	}
}

// CloseServer stops the name server, so that another process may use the journal. The endpoint list continues
// to follow changes in the store. It may be called more than once; each call returns after the server has
// stopped.
func (z *endpointZone) CloseServer() { z.closing.Do(func() { z.server.Load().Close() }) }

// Close stops everything that the zone runs, including the name server. It is called once, before the replica is
// stopped, which the handler of changes reads.
func (z *endpointZone) Close() {
	z.CloseServer()
	z.changes.Close()
}

// endpointUpdate converts changes of a zone into the form of the discovery service.
func endpointUpdate(update dnsserver.BackendListUpdate) (policy.UpdateKind, []discovery.Endpoint) {
	var endpoints []discovery.Endpoint
	for _, backend := range update.Updated {
		endpoints = append(endpoints, zoneEndpoint(backend))
	}
	for _, name := range update.Removed {
		endpoints = append(endpoints, discovery.Endpoint{Name: name, Status: discovery.StatusRemoved})
	}
	if update.Full {
		return policy.FullSnapshot, endpoints
	}
	return policy.Delta, endpoints
}

func zoneEndpoint(backend dnszone.Backend) discovery.Endpoint {
	endpoint := discovery.Endpoint{
		Name:            backend.Name,
		Address:         backend.Addresses[0].String(),
		Zone:            backend.Zone,
		Group:           backend.Group,
		Status:          discovery.StatusUp,
		Weight:          backend.Weight,
		StartedAtMillis: float64(backend.StartNanos()) / float64(time.Millisecond),
	}
	if backend.Draining {
		endpoint.Status = discovery.StatusDraining
	}
	if len(backend.Addresses) > 1 || !backend.Addresses[0].Addr().Is4() {
		endpoint.Addresses = backend.Addresses
	}
	return endpoint
}

// dnsOptions returns the options for running a name server, or for reading what it holds, from the operator
// file's settings.
func dnsOptions(settings config.DNS) dnsserver.Options {
	options := dnsserver.Options{
		Settings:            settings.Settings(),
		ZoneFile:            settings.ZoneFile,
		JournalFile:         settings.Journal,
		ListenAddress:       settings.Listen,
		MaxUpdatesPerSecond: settings.MaxUpdatesPerSecond,
		Secondaries:         settings.Notify,
	}
	for _, key := range settings.Keys {
		options.Keys = append(options.Keys, key.Key)
	}
	return options
}

// checkZoneFile returns an error if the zone file that an operator file names is faulty.
func checkZoneFile(operator *config.OperatorSettings) error {
	if operator.DNS.ZoneFile == "" {
		return nil
	}
	_, _, err := dnsserver.ReadZoneFile(operator.DNS.ZoneFile, operator.DNS.Settings())
	return err
}
