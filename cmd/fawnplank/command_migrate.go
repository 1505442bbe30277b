package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
)

// migrateFlags holds the flags of "migrate".
type migrateFlags struct {
	shape  string // path of the file with the settings of the new deployment
	output string // path of the file to write
	dryRun bool
}

func migrateCommand(globals *globalFlags) *cobra.Command {
	var m migrateFlags
	command := &cobra.Command{
		Use: "migrate", Short: "Convert a configuration to a new shape of deployment",
		Long: "Converts a configuration to a new shape of deployment, and lists the settings that could not be " +
			"carried over (docs/migration.md).",
		Args: cobra.NoArgs,
		Example: `  fawnplank migrate -c old.json --shape shape.json --dry-run
  fawnplank migrate -c old.json --shape shape.json -o new.json`,
		RunE: func(*cobra.Command, []string) error { return m.run(globals.config) },
	}
	flags := command.Flags()
	flags.StringVar(&m.shape, "shape", "",
		"file with the settings of the new deployment, which override the old ones")
	flags.StringVarP(&m.output, "output", "o", "", "file to write, which must not exist yet")
	flags.BoolVar(&m.dryRun, "dry-run", false, "list the settings that could not be carried over, and write nothing")
	return command
}

// run converts the configuration at path to the new shape of deployment, and lists the settings that could not be
// carried over.
func (m migrateFlags) run(path string) error {
	if path == "" || m.output == "" && !m.dryRun {
		return errors.New("migrate: requires --config for the old file, and --output for the new file or --dry-run")
	}
	losses, err := config.Migrate(config.MigrateOptions{
		SourceFile:   path,
		OverrideFile: m.shape,
		OutputFile:   m.output,
		DryRun:       m.dryRun,
	})
	if err != nil {
		return err
	}
	for _, loss := range losses {
		fmt.Println("not carried over:", loss)
	}
	if m.dryRun {
		fmt.Printf("%s: %d not carried over; nothing written\n", path, len(losses))
		return nil
	}
	fmt.Printf("%s: written; %d not carried over\n", m.output, len(losses))
	return nil
}
