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

// endpointZone is the DNS zone that provides the endpoint list, if the operator file names a zone file. It owns the
// name server. It is constructed before the discovery client, which calls PublishSnapshot, and started after that
// client, because it publishes to the client. Its methods are safe for concurrent use.
type endpointZone struct {
	settings  config.DNS
	server    atomic.Pointer[dnsserver.Server] // nil before Start, and if there is no zone
	changes   *notifier                        // notified after the zone's keys have changed in the store
	reloads   *notifier                        // notified when the zone file is to be read again
	closeOnce sync.Once
}

func newEndpointZone(settings config.DNS) *endpointZone {
	return &endpointZone{settings: settings, changes: newNotifier(), reloads: newNotifier()}
}

// Enabled reports whether the endpoint list comes from a DNS zone.
func (z *endpointZone) Enabled() bool { return z.settings.ZoneFile != "" }

// Start starts the name server, which publishes endpoint lists to client. The zone is kept in the replica if there is
// one, and in files otherwise. It does nothing if there is no zone.
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
	z.reloads.Start(server.Reload)
	metrics.AddGauges(registry, server, zoneGauges)
	if replica != nil {
		z.changes.Start(server.HandleStoreChange)
		z.changes.Notify() // handles changes made while the server started
	}
	return nil
}

// NotifyChanged reports that the zone has changed in the store. It does not block.
func (z *endpointZone) NotifyChanged() { z.changes.Notify() }

// PublishSnapshot publishes the complete endpoint list again.
func (z *endpointZone) PublishSnapshot() {
	if server := z.server.Load(); server != nil {
		server.PublishFullList()
	}
}

// Reload makes the name server read the zone file again. It does not block: the server may wait for the disk, and for
// the store's leader if the file is newer, and signals are handled meanwhile.
func (z *endpointZone) Reload() { z.reloads.Notify() }

// CloseServer stops the name server, so that another process may use the journal. Changes in the store still update the
// endpoint list afterwards. It may be called more than once; each call returns after the server has stopped.
func (z *endpointZone) CloseServer() { z.closeOnce.Do(func() { z.server.Load().Close() }) }

// Close stops the name server, and the handlers of reloads and of changes in the store. It is called once, before the
// replica is closed, because the handlers use the replica. It waits for a reload that is running.
func (z *endpointZone) Close() {
	z.CloseServer()
	z.reloads.Close()
	z.changes.Close()
}

// endpointUpdate converts changes of a zone to the types of package discovery.
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

// dnsOptions converts the DNS settings of the operator file to the options of package dnsserver, which are used both to
// run a name server and to read its zone.
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

// checkZoneFile returns an error if the operator file names a zone file that is not valid.
func checkZoneFile(operator *config.OperatorSettings) error {
	if operator.DNS.ZoneFile == "" {
		return nil
	}
	_, _, err := dnsserver.ReadZoneFile(operator.DNS.ZoneFile, operator.DNS.Settings())
	return err
}
