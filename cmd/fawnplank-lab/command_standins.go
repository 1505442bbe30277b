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
	// defaultStay is long enough to try something by hand.
	defaultStay = 10 * time.Minute
	// maxStay ends emulated services that were forgotten.
	maxStay = time.Hour
)

// standInsFlags are the flags of "stand-ins".
type standInsFlags struct {
	scenario scenarioFlags
	folder   string
	stay     time.Duration
}

func standInsCommand() *cobra.Command {
	var flags standInsFlags
	command := &cobra.Command{
		Use:   "stand-ins SCENARIO --dir FOLDER",
		Short: "Run a scenario's backends, counter and discovery alone, for gateways started by hand",
		Long: `Starts the scenario's emulated services on loopback, writes a configuration for each of its gateways into
the folder, and prints how to start them. Its faults come at their times from then on. Ends by itself after
--stay, or at SIGTERM.`,
		Args:    cobra.ExactArgs(1),
		Example: "  fawnplank lab stand-ins lab/scenarios/one-hangs.toml --dir try --stay 10m",
		RunE:    func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.scenario.register(command)
	command.Flags().StringVar(&flags.folder, "dir", "", "folder for the gateways' configurations")
	command.Flags().DurationVar(&flags.stay, "stay", defaultStay, "for how long, at most 1h")
	requireFlag(command, "dir")
	return command
}

func (f *standInsFlags) run(command *cobra.Command, path string) error {
	s, err := f.scenario.load(command, path)
	if err != nil {
		return err
	}
	if f.stay <= 0 || f.stay > maxStay {
		return fmt.Errorf("--stay %v is not above 0 and at most 1h", f.stay)
	}
	if err := os.MkdirAll(f.folder, 0o755); err != nil {
		return err
	}
	log, err := testbed.NewEventLog(s)
	if err != nil {
		return err
	}
	emulated, err := emulator.Start(s, log)
	if err != nil {
		return err
	}
	defer emulated.Close()
	addresses, err := f.configureGateways(command, emulated, s.Instances.Count)
	if err != nil {
		return err
	}
	printf(command, "fawnplank lab load %s --to %s\n", path, strings.Join(addresses, ","))
	log.Begin()
	emulated.ScheduleFaults()
	f.wait(command.Context())
	return nil
}

// configureGateways configures all gateways and returns the addresses that they will listen on.
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

// configureGateway writes the configuration of a gateway, prints how to start it, and returns the address
// that it will listen on.
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

// wait waits until the stay is over or ctx ends.
func (f *standInsFlags) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(f.stay):
	}
}
