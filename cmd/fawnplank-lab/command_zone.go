package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"fawnplank/internal/lab/dnsbench"
	"fawnplank/internal/lab/plots"
)

const (
	// maxZoneBackends is the largest number of backends that --sizes accepts for a zone.
	maxZoneBackends = 50000
	// defaultZoneUpdates leaves ten updates above the 99th percentile.
	defaultZoneUpdates = 1000
	// defaultZoneDuration is the default time for which concurrent updaters send.
	defaultZoneDuration = 3 * time.Second
)

// zoneFlags are the flags of "zone".
type zoneFlags struct {
	sizes       []int
	updates     int
	duration    time.Duration
	pictureFile string
}

func zoneCommand() *cobra.Command {
	var flags zoneFlags
	command := &cobra.Command{
		Use:     "zone",
		Short:   "Measure a gateway's name server: load time, update latency, updates per second",
		Args:    cobra.NoArgs,
		Example: "  fawnplank lab zone --sizes 100,1000,10000 -o dns-cost.png",
		RunE:    func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().IntSliceVar(&flags.sizes, "sizes", []int{100, 1000, 10000, 30000},
		"numbers of backends in the zones to measure")
	command.Flags().IntVar(&flags.updates, "updates", defaultZoneUpdates,
		"number of updates that are sent one after the other")
	command.Flags().DurationVar(&flags.duration, "span", defaultZoneDuration,
		"time for which eight concurrent updaters send updates")
	addPictureFlag(command, &flags.pictureFile)
	return command
}

func (f *zoneFlags) run(command *cobra.Command) error {
	logErrorsOnly()
	for _, size := range f.sizes {
		if size < 1 || size > maxZoneBackends {
			return fmt.Errorf("--sizes: %d is out of range: must be from 1 to %d", size, maxZoneBackends)
		}
	}
	costs, err := dnsbench.Measure(command.Context(), f.sizes, f.updates, f.duration)
	if err != nil {
		return err
	}
	if err := plots.WriteCostTable(command.OutOrStdout(), costs); err != nil {
		return err
	}
	return drawPicture(f.pictureFile, func(file string) error { return plots.DrawCosts(file, costs) })
}
