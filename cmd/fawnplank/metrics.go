package main

import (
	"fawnplank/internal/billingservice"
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/frontend"
	"fawnplank/internal/limitserver"
	"fawnplank/internal/metrics"
	"fawnplank/internal/tlsconfig"
)

// classNames returns the names of the classes, indexed by id. A class that was removed by a reload keeps its id and has
// an empty name, so that there may be more ids than names.
func classNames(configuration *config.Config) []string {
	names := make([]string, len(configuration.Settings.Classes))
	for name, id := range configuration.Classes {
		names[id] = name
	}
	return names
}

// counterClientGauges are the metrics of the calls to the shared counter.
var counterClientGauges = []metrics.Gauge[*counter.Client]{
	{Name: "counter_calls", Help: "calls that the counter answered with a total",
		Value: func(c *counter.Client) float64 { return float64(c.Stats().Succeeded) }},
	{Name: "counter_failures", Help: "calls without a total",
		Value: func(c *counter.Client) float64 { return float64(c.Stats().Failed) }},
	{Name: "counter_outage_seconds", Help: "since the first failure after the last total; 0: none",
		Value: func(c *counter.Client) float64 { return c.Stats().Outage.Seconds() }},
}

// quotaGauges are the metrics of quota decisions: whether requests call the counter, and by how much this instance's
// count may differ from a single count for all instances.
var quotaGauges = []metrics.Gauge[*dispatch.Dispatcher]{
	{Name: "counter_breaker_open", Help: "1 while calls to the counter are stopped",
		Value: func(d *dispatch.Dispatcher) float64 { return gaugeBool(d.CounterStats().BreakerOpen) }},
	{Name: "counter_calling_share", Help: "share of the requests that call the counter",
		Value: func(d *dispatch.Dispatcher) float64 { return d.CounterStats().CallShare }},
	{Name: "quota_owed_units", Help: "units admitted and not reported to the counter yet",
		Value: func(d *dispatch.Dispatcher) float64 { return d.CounterStats().UnreportedUnits }},
	{Name: "quota_reconciled_units", Help: "lost units written back to the counter, of the tenants remembered",
		Value: func(d *dispatch.Dispatcher) float64 { return d.CounterStats().ReconciledUnits }},
	{Name: "quota_drift_units", Help: "units by which this instance may differ from a single count",
		Value: func(d *dispatch.Dispatcher) float64 { return d.CounterStats().DriftUnits }},
	{Name: "customers", Help: "tenants remembered",
		Value: func(d *dispatch.Dispatcher) float64 { return float64(d.CounterStats().Tenants) }},
}

// frontendGauges are the metrics of client connections.
var frontendGauges = []metrics.Gauge[*frontend.Server]{
	{Name: "client_connections", Help: "open connections of clients",
		Value: func(s *frontend.Server) float64 { return float64(s.OpenConnections()) }},
	{Name: "client_connections_accepted", Help: "connections of clients accepted so far",
		Value: func(s *frontend.Server) float64 { return float64(s.Stats().AcceptedConnections) }},
	{Name: "client_connections_forced",
		Help:  "connections closed at a drain or shutdown because they did not end",
		Value: func(s *frontend.Server) float64 { return float64(s.Stats().ForcedCloses) }},
	{Name: "draining", Help: "1 while the instance drains",
		Value: func(s *frontend.Server) float64 { return gaugeBool(s.Draining()) }},
}

// limitGauges are the metrics of the limit commands.
var limitGauges = []metrics.Gauge[*limitserver.Server]{
	{Name: "limit_checks_granted", Help: "limit checks admitted",
		Value: func(s *limitserver.Server) float64 { return float64(s.Stats().Admitted) }},
	{Name: "limit_checks_refused", Help: "limit checks rejected",
		Value: func(s *limitserver.Server) float64 { return float64(s.Stats().Rejected) }},
	{Name: "limit_faults", Help: "limit commands answered with an error",
		Value: func(s *limitserver.Server) float64 { return float64(s.Stats().Failed) }},
}

// limitCertificateGauges are the metrics of the TLS certificate of the limits address.
var limitCertificateGauges = []metrics.Gauge[*tlsconfig.CertificateSource]{
	{Name: "limits_certificate_seconds", Help: "seconds until the certificate of the limits address expires",
		Value: secondsUntilExpiry},
}

// replicaGauges are the metrics of the replica of the store.
var replicaGauges = []metrics.Gauge[*replica]{
	{Name: "store_confirmed", Help: "1 once the state of the store is confirmed by its leader",
		Value: func(r *replica) float64 { return gaugeBool(r.isConfirmed()) }},
}

// replicaCertificateGauges are the metrics of the replica's TLS certificate.
var replicaCertificateGauges = []metrics.Gauge[*tlsconfig.CertificateSource]{
	{Name: "store_certificate_seconds", Help: "seconds until the certificate of the replica expires",
		Value: secondsUntilExpiry},
}

// billingGauges are the metrics of the accounts.
var billingGauges = []metrics.Gauge[*billingservice.Service]{
	{Name: "billing_steps", Help: "plan changes and reservation operations committed",
		Value: func(s *billingservice.Service) float64 { return float64(s.Stats().Operations.Load()) }},
	{Name: "billing_refused", Help: "plan changes and reservation operations rejected",
		Value: func(s *billingservice.Service) float64 { return float64(s.Stats().Rejected.Load()) }},
	{Name: "billing_reports", Help: "usage reports of this instance committed",
		Value: func(s *billingservice.Service) float64 { return float64(s.Stats().Reports.Load()) }},
	{Name: "billing_exported", Help: "records that the receiver acknowledged to this instance",
		Value: func(s *billingservice.Service) float64 { return float64(s.Stats().Exported.Load()) }},
	{Name: "billing_failures", Help: "rounds that failed at the store or the receiver",
		Value: func(s *billingservice.Service) float64 { return float64(s.Stats().Failures.Load()) }},
	{Name: "billing_waiting", Help: "records not exported yet",
		Value: func(s *billingservice.Service) float64 { return float64(s.PendingRecords()) }},
	{Name: "billing_halted", Help: "1 while a fault stops the export",
		Value: func(s *billingservice.Service) float64 { return gaugeBool(s.LastExportError() != "") }},
}

// zoneGauges are the metrics of the DNS zone and its name server.
var zoneGauges = []metrics.Gauge[*dnsserver.Server]{
	{Name: "dns_updates_done", Help: "dynamic updates that changed the zone",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Stats().UpdatesApplied) }},
	{Name: "dns_updates_refused", Help: "dynamic updates rejected for their content",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Stats().UpdatesRefused) }},
	{Name: "dns_messages_refused", Help: "messages rejected for their signature, its time, or a replay",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Stats().SignaturesRefused) }},
	{Name: "dns_flooded", Help: "messages over a rate limit, refused or dropped",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Stats().RateLimited) }},
	{Name: "dns_updates_lost", Help: "updates that could not be stored in the journal or the store",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Stats().UpdatesNotStored) }},
	{Name: "dns_serial", Help: "serial of the zone in force",
		Value: func(s *dnsserver.Server) float64 { return float64(s.Serial()) }},
}

func secondsUntilExpiry(certificate *tlsconfig.CertificateSource) float64 {
	return certificate.ExpiresIn().Seconds()
}

func gaugeBool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
