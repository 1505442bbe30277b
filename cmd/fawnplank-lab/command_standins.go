package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/testbed"
)

const (
	// defaultLifetime leaves enough time for manual tests.
	defaultLifetime = 10 * time.Minute
	// maxLifetime stops emulated services that were left running unintentionally.
	maxLifetime = time.Hour
)

// standInsFlags are the flags of "stand-ins".
type standInsFlags struct {
	scenario scenarioFlags
	folder   string
	lifetime time.Duration
}

func standInsCommand() *cobra.Command {
	var flags standInsFlags
	command := &cobra.Command{
		Use:   "stand-ins SCENARIO --dir FOLDER",
		Short: "Run a scenario's emulated backends, counter and discovery for gateways that are started manually",
		Long: `Starts the scenario's emulated services on loopback, writes a configuration for each of its gateways into
the folder, and prints the commands that start the gateways. Injects the scenario's faults at their times,
counted from then on. Exits after the time of --stay, or on SIGTERM.`,
		Args:    cobra.ExactArgs(1),
		Example: "  fawnplank lab stand-ins lab/scenarios/one-hangs.toml --dir try --stay 10m",
		RunE:    func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.scenario.register(command)
	command.Flags().StringVar(&flags.folder, "dir", "", "folder for the gateways' configurations")
	command.Flags().DurationVar(&flags.lifetime, "stay", defaultLifetime, "time after which the services stop, at most 1h")
	requireFlag(command, "dir")
	return command
}

func (f *standInsFlags) run(command *cobra.Command, path string) error {
	s, err := f.scenario.loadAndWarn(command, path)
	if err != nil {
		return err
	}
	if f.lifetime <= 0 || f.lifetime > maxLifetime {
		return fmt.Errorf("--stay %v is out of range: must be above 0 and at most 1h", f.lifetime)
	}
	if err := os.MkdirAll(f.folder, 0o755); err != nil {
		return err
	}
	eventLog, err := testbed.NewEventLog(s)
	if err != nil {
		return err
	}
	emulated, err := emulator.Start(s, eventLog)
	if err != nil {
		return err
	}
	defer emulated.Close()
	addresses, err := f.configureGateways(command, emulated, s.Instances.Count)
	if err != nil {
		return err
	}
	printf(command, "fawnplank lab load %s --to %s\n", path, strings.Join(addresses, ","))
	eventLog.Begin()
	emulated.ScheduleFaults()
	f.wait(command.Context())
	return nil
}

// configureGateways configures the given number of gateways and returns their listen addresses.
func (f *standInsFlags) configureGateways(
	command *cobra.Command, emulated *emulator.Emulator, count int,
) ([]string, error) {
	var addresses []string
	for index := range count {
		address, err := f.configureGateway(command, emulated, index)
		if err != nil {
			return nil, fmt.Errorf("configure gateway %d: %w", index, err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// configureGateway writes the configuration file of the gateway with the given index, prints the command that starts
// the gateway, and returns its listen address.
func (f *standInsFlags) configureGateway(
	command *cobra.Command, emulated *emulator.Emulator, index int,
) (string, error) {
	address, err := testbed.FreeAddress(command.Context())
	if err != nil {
		return "", err
	}
	configuration, err := emulated.InstanceConfig(index, address)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.folder, fmt.Sprintf("d%d.json", index))
	if err := os.WriteFile(path, configuration, 0o644); err != nil {
		return "", err
	}
	printf(command, "fawnplank serve -c %s\n", path)
	return address, nil
}

// wait returns when the services' lifetime is over or ctx is done.
func (f *standInsFlags) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(f.lifetime):
	}
}
