package main

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"fawnplank/internal/logging"
)

// Run serves clients and the management address until a signal, or the end of ctx, has shut the gateway down. If
// accepting ends by itself, it shuts down too and returns errAcceptingEnded. It is called once.
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
	}).Info("listening")
	return g.handleEvents(ctx, serveEnded)
}

// handleEvents handles signals, edits, and the end of the server, one at a time; further events wait. It
// returns nil once a shutdown is complete.
//
// If accepting ends without a shutdown, which takes a listener that is closed by something else, it shuts down as after
// SIGTERM, so that open requests are answered and usage is reported, and returns errAcceptingEnded.
func (g *gateway) handleEvents(ctx context.Context, serveEnded <-chan error) error {
	reloads := newReloader(g.readUpdatedConfiguration)
	contextDone := ctx.Done()
	var shutdownDone <-chan struct{} // nil until a shutdown begins
	var acceptError error            // why there is one that nothing asked for
	beginShutdown := func() {
		if shutdownDone == nil {
			shutdownDone = g.beginShutdown()
		}
	}
	for {
		select {
		case err := <-serveEnded:
			serveEnded = nil // a nil channel is never ready again
			if shutdownDone == nil {
				acceptError = errors.Join(errAcceptingEnded, err)
				beginShutdown()
			}
		case <-shutdownDone:
			return acceptError
		case <-g.replica.Edits(): // a plan or class was edited in the store, which is handled like SIGHUP
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

// errAcceptingEnded is the end of a gateway that stopped accepting clients though nothing told it to.
var errAcceptingEnded = errors.New("accepting clients ended without a shutdown")
