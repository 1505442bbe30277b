package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
)

// migrateFlags holds the flags of "migrate".
type migrateFlags struct {
	shape  string // file with the settings of the new deployment
	output string // file to write
	dryRun bool
}

func migrateCommand(globals *globalFlags) *cobra.Command {
	var m migrateFlags
	command := &cobra.Command{
		Use: "migrate", Short: "Write the configuration's counterpart for the new shape of deployment",
		Long: "Writes the counterpart of a configuration for the new shape of deployment, and lists what could not " +
			"be carried over (docs/migration.md).",
		Args: cobra.NoArgs,
		Example: `  fawnplank migrate -c old.json --shape shape.json --dry-run
  fawnplank migrate -c old.json --shape shape.json -o new.json`,
		RunE: func(*cobra.Command, []string) error { return m.run(globals.config) },
	}
	flags := command.Flags()
	flags.StringVar(&m.shape, "shape", "",
		"file with the settings of the new deployment, laid over the old ones")
	flags.StringVarP(&m.output, "output", "o", "", "file to write, which must not exist yet")
	flags.BoolVar(&m.dryRun, "dry-run", false, "list what could not be carried over, and write nothing")
	return command
}

// run writes the counterpart of the configuration at path for the new shape, and lists what it could not
// carry over.
func (m migrateFlags) run(path string) error {
	if path == "" || m.output == "" && !m.dryRun {
		return errors.New("migrate: needs --config for the old file, and --output for the new one or --dry-run")
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
