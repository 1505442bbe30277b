package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"fawnplank/internal/logging"
	"fawnplank/internal/store"
)

// backupMode makes a backup readable only by its owner, because it contains all data of the store.
const backupMode fs.FileMode = 0o600

// storeSubcommands constructs the subcommands of "store" that make one call to a replica.
type storeSubcommands struct{ client func() storeClient }

func (s storeSubcommands) all() []subcommand {
	return []subcommand{
		{
			use: "status", short: "Show the state of a replica", example: "status --at 127.0.0.1:7102",
			run: s.status,
		},
		{
			use: "keys PREFIX", short: "List the keys with a prefix, read from this replica alone",
			example: "keys plans/", run: s.keys,
		},
		{
			use: "get KEY", short: "Read a key through the leader", example: "get plans/team",
			run: s.get,
		},
		{
			use: "set KEY JSON", short: "Write a key",
			example: `set plans/team '{"name":"team","quota-rate":5,"peak-units":10}'`, run: s.set,
		},
		{
			use: "delete KEY", short: "Delete a key", example: "delete plans/team",
			run: s.delete,
		},
		{
			use: "add ID@RAFT@API", short: "Add a replica that was started without --peers",
			example: "add d@127.0.0.1:7004@127.0.0.1:7104", run: s.addReplica,
		},
		{
			use: "remove ID", short: "Remove a replica", example: "remove d",
			run: s.removeReplica,
		},
		{
			use: "backup FILE", short: "Write the leader's state to a new file",
			example: "backup store.backup", run: s.backup,
		},
		{
			use: "restore FILE", short: "Replace the state with a backup; the set of replicas does not change",
			example: "restore store.backup", run: s.restore,
		},
	}
}

// storeCommand returns the command group for the replicated store.
func storeCommand(globals *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "store VERB", Short: "Run and repair the replicated store (docs/store.md)"}
	var address string
	command.PersistentFlags().StringVar(&address, "at", "127.0.0.1:7101", "API address of any replica")
	command.AddCommand(storeRunCommand(globals))
	subcommands := storeSubcommands{client: func() storeClient { return globals.storeClient(address, "--at") }}
	for _, subcommand := range subcommands.all() {
		command.AddCommand(subcommand.newCommand(command.Name()))
	}
	return command
}

func storeRunCommand(globals *globalFlags) *cobra.Command {
	var flags replicaFlags
	command := &cobra.Command{
		Use: "run", Short: "Run a replica without a gateway, until SIGTERM", Args: cobra.NoArgs,
		Example: "  fawnplank store run --store ./a --me a@127.0.0.1:7001@127.0.0.1:7101 " +
			"--peers a@127.0.0.1:7001@127.0.0.1:7101",
		RunE: func(*cobra.Command, []string) error { return runReplica(globals, flags) },
	}
	flags.register(command)
	return command
}

// runReplica runs a replica without a gateway until SIGTERM or SIGINT arrives.
func runReplica(globals *globalFlags, flags replicaFlags) error {
	if flags.dir == "" {
		return errors.New("--store is missing")
	}
	options, err := flags.options(globals.tls)
	if err != nil {
		return err
	}
	ignoreFileSizeSignal()
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	replica, err := store.Open(options)
	if err != nil {
		return err
	}
	logging.For(storeComponent).WithField(logging.Address, options.Self.API).Info("listening")
	<-signals
	replica.Close()
	return nil
}

func (s storeSubcommands) status(ctx context.Context, out io.Writer, _ []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodGet, path: "/v1/status"})
}

func (s storeSubcommands) keys(ctx context.Context, out io.Writer, args []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodGet, path: store.KeyListPath(args[0])})
}

func (s storeSubcommands) get(ctx context.Context, out io.Writer, args []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodGet, path: store.KeyPath(args[0])})
}

func (s storeSubcommands) set(ctx context.Context, out io.Writer, args []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodPut, path: store.KeyPath(args[0]), body: []byte(args[1])})
}

func (s storeSubcommands) delete(ctx context.Context, out io.Writer, args []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodDelete, path: store.KeyPath(args[0])})
}

func (s storeSubcommands) addReplica(ctx context.Context, out io.Writer, args []string) error {
	peer, err := store.ParsePeer(args[0])
	if err != nil {
		return err
	}
	body, err := json.Marshal(peer)
	if err != nil {
		return err
	}
	return s.print(ctx, out, storeCall{method: http.MethodPost, path: "/v1/peers", body: body})
}

func (s storeSubcommands) removeReplica(ctx context.Context, out io.Writer, args []string) error {
	return s.print(ctx, out, storeCall{method: http.MethodDelete, path: "/v1/peers/" + url.PathEscape(args[0])})
}

func (s storeSubcommands) backup(ctx context.Context, _ io.Writer, args []string) error {
	content, err := s.client().do(ctx, storeCall{method: http.MethodGet, path: "/v1/backup"})
	if err != nil {
		return err
	}
	file, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, backupMode)
	if err != nil {
		return err
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func (s storeSubcommands) restore(ctx context.Context, out io.Writer, args []string) error {
	content, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	return s.print(ctx, out, storeCall{method: http.MethodPost, path: "/v1/restore", body: content})
}

// print makes one call and writes the body of the answer.
func (s storeSubcommands) print(ctx context.Context, out io.Writer, call storeCall) error {
	answer, err := s.client().do(ctx, call)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, strings.TrimSpace(string(answer))) // the call succeeded even if the output fails
	return nil
}
