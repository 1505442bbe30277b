package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"fawnplank/internal/logging"
	"fawnplank/internal/store"
)

// storeVerb describes a subcommand that makes one call to a replica.
type storeVerb struct {
	use, short, example string
	args                int
	run                 func(ctx context.Context, client storeClient, args []string) error
}

var storeVerbs = []storeVerb{
	{
		use: "status", short: "Show the state of a replica", example: "status --at 127.0.0.1:7102", args: 0,
		run: func(ctx context.Context, client storeClient, _ []string) error {
			return printCall(ctx, client, http.MethodGet, "/v1/status", nil)
		},
	},
	{
		use: "keys PREFIX", short: "List the keys with a prefix, as the replica has them",
		example: "keys plans/", args: 1,
		run: func(ctx context.Context, client storeClient, args []string) error {
			return printCall(ctx, client, http.MethodGet, "/v1/kv?prefix="+args[0], nil)
		},
	},
	{
		use: "get KEY", short: "Read a key; the leader answers", example: "get plans/team", args: 1,
		run: func(ctx context.Context, client storeClient, args []string) error {
			return printCall(ctx, client, http.MethodGet, "/v1/kv/"+args[0], nil)
		},
	},
	{
		use: "set KEY JSON", short: "Write a key",
		example: `set plans/team '{"name":"team","quota-rate":5,"peak-units":10}'`, args: 2,
		run: func(ctx context.Context, client storeClient, args []string) error {
			return printCall(ctx, client, http.MethodPut, "/v1/kv/"+args[0], []byte(args[1]))
		},
	},
	{
		use: "delete KEY", short: "Delete a key", example: "delete plans/team", args: 1,
		run: func(ctx context.Context, client storeClient, args []string) error {
			return printCall(ctx, client, http.MethodDelete, "/v1/kv/"+args[0], nil)
		},
	},
	{
		use: "add ID@RAFT@API", short: "Add a replica, which runs without --peers",
		example: "add d@127.0.0.1:7004@127.0.0.1:7104", args: 1, run: addReplica,
	},
	{
		use: "remove ID", short: "Remove a replica", example: "remove d", args: 1,
		run: func(ctx context.Context, client storeClient, args []string) error {
			return printCall(ctx, client, http.MethodDelete, "/v1/peers/"+args[0], nil)
		},
	},
	{
		use: "backup FILE", short: "Write the leader's state to a file, which must not exist yet",
		example: "backup store.backup", args: 1, run: backupStore,
	},
	{
		use: "restore FILE", short: "Replace the state by that of a backup; the set of replicas stays as it is",
		example: "restore store.backup", args: 1, run: restoreStore,
	},
}

// storeCommand returns the command group for the store.
func storeCommand(globals *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "store VERB", Short: "Run and repair the replicated store (docs/store.md)"}
	var address string
	command.PersistentFlags().StringVar(&address, "at", "127.0.0.1:7101", "API address of any replica")
	command.AddCommand(storeRunCommand(globals))
	for _, verb := range storeVerbs {
		command.AddCommand(&cobra.Command{
			Use:     verb.use,
			Short:   verb.short,
			Example: "  fawnplank store " + verb.example,
			Args:    cobra.ExactArgs(verb.args),
			RunE: func(command *cobra.Command, args []string) error {
				client := storeClient{address: address, flag: "--at", tls: globals.tls}
				return verb.run(command.Context(), client, args)
			},
		})
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

// runReplica runs a replica on its own until a signal arrives.
func runReplica(globals *globalFlags, flags replicaFlags) error {
	if flags.folder == "" {
		return errors.New("--store is missing")
	}
	options, err := flags.options(globals.tls)
	if err != nil {
		return err
	}
	ignoreFileSizeSignal()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	replica, err := store.Open(options)
	if err != nil {
		return err
	}
	logging.For("store").WithField(logging.Address, options.Self.API).Info("listening")
	<-signals
	replica.Close()
	return nil
}

// printCall makes one call to a replica and prints its answer.
func printCall(ctx context.Context, client storeClient, method, path string, body []byte) error {
	text, err := client.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(string(text)))
	return nil
}

func addReplica(ctx context.Context, client storeClient, args []string) error {
	peer, err := store.ParsePeer(args[0])
	if err != nil {
		return err
	}
	body, err := json.Marshal(peer)
	if err != nil {
		return err
	}
	return printCall(ctx, client, http.MethodPost, "/v1/peers", body)
}

func backupStore(ctx context.Context, client storeClient, args []string) error {
	text, err := client.call(ctx, http.MethodGet, "/v1/backup", nil)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func restoreStore(ctx context.Context, client storeClient, args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	return printCall(ctx, client, http.MethodPost, "/v1/restore", text)
}
