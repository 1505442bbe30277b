package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// Run serves clients and the management address until a signal, or the end of ctx, has shut the gateway down. It
// also returns once accepting has ended by itself, as handleEvents says. It is called once.
func (g *gateway) Run(ctx context.Context) error {
	if err := g.serveManagement(ctx); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- g.server.Serve(g.listener) }()
	g.ready.Store(true)
	logging.For(frontendComponent).WithFields(logrus.Fields{
		"number":        g.configuration.Settings.InstanceIndex,
		"instances":     g.configuration.Settings.Instances,
		logging.Address: g.configuration.Listen,
	}).Info("listening")
	return g.handleEvents(ctx, served)
}

// handleEvents handles signals, edits, and the end of the server, one at a time; further events wait. It
// returns nil once a shutdown is complete.
//
// It returns at once if accepting ends without a shutdown, which takes a listener that is closed by something else:
// Serve tries again after any other error. It then returns nil as well, because Serve does, so that the process ends
// with status 0 and no log entry. What only a shutdown stops (see gateway.closers) is not stopped: usage that the
// billing service has not reported is lost.
func (g *gateway) handleEvents(ctx context.Context, served <-chan error) error {
	reload := newReloader(g.readUpdatedConfiguration)
	canceled := ctx.Done()
	var shutdownDone <-chan struct{} // nil until a shutdown begins
	beginShutdown := func() {
		if shutdownDone == nil {
			shutdownDone = g.beginShutdown()
		}
	}
	for {
		select {
		case err := <-served:
			if shutdownDone == nil {
				return err
			}
			served = nil // a nil channel is never ready again
		case <-shutdownDone:
			return nil
		case <-g.replica.Edits(): // a plan or class was edited in the store, which is handled like SIGHUP
			reload.request()
		case <-g.options.Reloads:
			reload.request()
		case result := <-reload.results:
			g.applyReload(result)
			reload.applied()
		case <-canceled:
			canceled = nil
			beginShutdown()
		case <-g.options.Terminations:
			beginShutdown()
		}
	}
}
