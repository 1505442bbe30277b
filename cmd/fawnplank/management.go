package main

import (
	"context"
	"fmt"
	"io"

	"fawnplank/internal/admin"
	"fawnplank/internal/logging"
)

// serveManagement starts the server of the management address, if the configuration names one. The server runs until
// the process ends, so that health and metrics are available during a shutdown.
func (g *gateway) serveManagement(ctx context.Context) error {
	if g.configuration.ManagementAddress == "" {
		return nil
	}
	server, err := admin.New(ctx, admin.Options{
		Address:        g.configuration.ManagementAddress,
		Gateway:        managedGateway{g},
		MaxConnections: g.resourceLimits.managementConnections(),
	})
	if err != nil {
		return fmt.Errorf("configuration: mgmt: %w", err)
	}
	go func() {
		if err := server.Serve(); err != nil {
			logging.For(adminComponent).WithError(err).Error("stopped")
		}
	}()
	logging.For(adminComponent).WithField(logging.Address, server.Address()).Info("listening")
	return nil
}

// managedGateway implements the operations of the management address on a gateway. It is safe for concurrent use.
type managedGateway struct{ gateway *gateway }

// Ready reports whether the gateway accepts connections and is not draining.
func (m managedGateway) Ready() bool { return m.gateway.ready.Load() && !m.gateway.server.Draining() }

// Drain starts draining.
func (m managedGateway) Drain() { m.gateway.server.Drain() }

// Resume ends draining.
func (m managedGateway) Resume() { m.gateway.server.Resume() }

// WriteMetrics writes the metrics. It logs a write error, because the response cannot report it any more.
func (m managedGateway) WriteMetrics(out io.Writer) {
	if err := m.gateway.metrics.Write(out); err != nil {
		logging.For(adminComponent).WithError(err).Warn("metrics not written")
	}
}
