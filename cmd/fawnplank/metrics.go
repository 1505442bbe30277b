package main

import (
	"fawnplank/internal/config"
	"fawnplank/internal/counter"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/frontend"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// classNames returns the names of the classes, indexed by id. A row that no name refers to any longer has an
// empty name. The result has one entry per row, not per name, because after a reload ids exceed the number of
// names.
func classNames(configuration *config.Config) []string {
	names := make([]string, len(configuration.Settings.Classes))
	for name, id := range configuration.Classes {
		names[id] = name
	}
	return names
}

// counterGauges returns the metrics of the shared counter: what it answered, and how far the gateway may be
// from a single count.
func counterGauges(dispatcher *dispatch.Dispatcher, client *counter.Client) map[string]metrics.Gauge {
	stat := func(value func(policy.CounterStats) float64) func() float64 {
		return func() float64 { return value(dispatcher.CounterStats()) }
	}
	return map[string]metrics.Gauge{
		"counter_calls": {
			Help:  "calls that the counter answered with a total",
			Value: func() float64 { return float64(client.Stats().Answered) },
		},
		"counter_failures": {
			Help:  "calls without a total",
			Value: func() float64 { return float64(client.Stats().Failed) },
		},
		"counter_outage_seconds": {
			Help:  "since the first failure after the last total; 0: none",
			Value: func() float64 { return client.Stats().Outage.Seconds() },
		},
		"counter_breaker_open": {
			Help:  "1 while calls to the counter are stopped",
			Value: stat(func(s policy.CounterStats) float64 { return gaugeBool(s.BreakerOpen) }),
		},
		"counter_calling_share": {
			Help:  "share of the requests that call the counter",
			Value: stat(func(s policy.CounterStats) float64 { return s.CallShare }),
		},
		"quota_owed_units": {
			Help:  "units admitted and not reported to the counter yet",
			Value: stat(func(s policy.CounterStats) float64 { return s.UnreportedUnits }),
		},
		"quota_reconciled_units": {
			Help:  "lost units written back to the counter, of the tenants remembered",
			Value: stat(func(s policy.CounterStats) float64 { return s.ReconciledUnits }),
		},
		"quota_drift_units": {
			Help:  "units by which this instance may differ from a single count",
			Value: stat(func(s policy.CounterStats) float64 { return s.DriftUnits }),
		},
		"customers": {
			Help:  "tenants remembered",
			Value: stat(func(s policy.CounterStats) float64 { return float64(s.Tenants) }),
		},
	}
}

// frontendGauges returns the metrics of clients' connections.
func frontendGauges(server *frontend.Server) map[string]metrics.Gauge {
	return map[string]metrics.Gauge{
		"client_connections": {
			Help:  "open connections of clients",
			Value: func() float64 { return float64(server.Connections()) },
		},
		"client_connections_accepted": {
			Help:  "connections of clients accepted so far",
			Value: func() float64 { return float64(server.Stats().Accepted) },
		},
		"client_connections_forced": {
			Help:  "connections closed at a drain or shutdown because they did not end",
			Value: func() float64 { return float64(server.Stats().ClosedByForce) },
		},
		"draining": {
			Help:  "1 while the instance drains",
			Value: func() float64 { return gaugeBool(server.Draining()) },
		},
	}
}

func gaugeBool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
