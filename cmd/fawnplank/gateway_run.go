package main

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// Run serves clients and the management address until a termination signal or the cancellation of ctx has shut the
// gateway down. If the server stops accepting connections for another reason, Run shuts the gateway down too and
// returns errAcceptingEnded. It is called once.
func (g *gateway) Run(ctx context.Context) error {
	if err := g.serveManagement(ctx); err != nil {
		return err
	}
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- g.server.Serve(g.listener) }()
	g.ready.Store(true)
	logging.For(frontendComponent).WithFields(logrus.Fields{
		"number":        g.configuration.Settings.InstanceIndex,
		"instances":     g.configuration.Settings.Instances,
		logging.Address: g.configuration.Listen,
	}).WithFields(g.replica.logFields()).Info("listening")
	return g.handleEvents(ctx, serveEnded)
}

// handleEvents handles signals, edits in the store and the end of the server, one event at a time; further events wait.
// It returns nil after a shutdown is complete.
//
// If the server stops accepting connections without a shutdown, which happens only if something else closes the
// listener, handleEvents shuts the gateway down as after SIGTERM, so that open requests are answered and usage is
// reported. It then returns errAcceptingEnded.
func (g *gateway) handleEvents(ctx context.Context, serveEnded <-chan error) error {
	reloads := newReloader(g.readUpdatedConfiguration)
	contextDone := ctx.Done()
	lateConfirmation := g.lateConfirmation
	var shutdownDone <-chan struct{} // nil until a shutdown begins
	var acceptError error            // the reason for a shutdown without a signal
	beginShutdown := func() {
		if shutdownDone == nil {
			shutdownDone = g.beginShutdown()
		}
	}
	for {
		select {
		case err := <-serveEnded:
			serveEnded = nil // a nil channel is never ready
			if shutdownDone == nil {
				acceptError = errors.Join(errAcceptingEnded, err)
				beginShutdown()
			}
		case <-shutdownDone:
			return acceptError
		case <-g.replica.Edits(): // a plan or class was edited in the store; handled like SIGHUP
			reloads.request()
		case <-lateConfirmation: // the classes of the store are known now
			lateConfirmation = nil
			reloads.request()
		case <-g.options.Reloads:
			reloads.request()
		case result := <-reloads.results:
			g.applyReload(result)
			reloads.finishApply()
		case <-contextDone:
			contextDone = nil
			beginShutdown()
		case <-g.options.Terminations:
			beginShutdown()
		}
	}
}

// errAcceptingEnded is returned by Run if the server stopped accepting connections without a shutdown.
var errAcceptingEnded = errors.New("server stopped accepting client connections without a shutdown")
