package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// signalBufferSize is the number of signals of one kind that may be pending. One is enough: a reload reads all
// settings, so a second pending reload would repeat the first, and a second termination has no effect.
const signalBufferSize = 1

func serveCommand(globals *globalFlags) *cobra.Command {
	var replica replicaFlags
	command := &cobra.Command{
		Use: "serve", Short: "Run a gateway until SIGTERM", Args: cobra.NoArgs,
		Long: `Runs a gateway. On SIGHUP the gateway reads the configuration again and applies it completely or not at
all. On SIGTERM it serves for another half second, answers the requests in flight, and exits.`,
		Example: `  fawnplank serve -c config.json
  GW_CONFIG=config.json fawnplank serve --log-level warning
  fawnplank serve -c config.json --store /var/lib/fawnplank --me a@127.0.0.1:7001@127.0.0.1:7101 \
    --peers a@127.0.0.1:7001@127.0.0.1:7101,b@127.0.0.1:7002@127.0.0.1:7102,c@127.0.0.1:7003@127.0.0.1:7103`,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), globals, replica)
		},
	}
	replica.register(command)
	return command
}

// serve runs a gateway until it has shut down.
func serve(ctx context.Context, globals *globalFlags, replica replicaFlags) error {
	// Subscribe before any file is read, because a SIGHUP would otherwise end the process. Never unsubscribe, because
	// a signal during the last steps of a shutdown would otherwise end the process with another exit status.
	reloads := make(chan os.Signal, signalBufferSize)
	signal.Notify(reloads, syscall.SIGHUP)
	terminations := make(chan os.Signal, signalBufferSize)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	g, err := newGateway(ctx, gatewayOptions{
		ConfigFile:   globals.config,
		OperatorFile: globals.operator,
		LogLevel:     globals.logLevel,
		LogFormat:    globals.logFormat,
		Replica:      replica,
		TLS:          globals.tls,
		Reloads:      reloads,
		Terminations: terminations,
	})
	if errors.Is(err, errTerminatedAtStart) {
		return nil // no client has been served yet
	}
	if err != nil {
		return err
	}
	defer g.Close()
	return g.Run(ctx)
}
