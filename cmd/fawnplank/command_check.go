package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
)

func checkCommand(globals *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "check [FILE]", Short: "Check the configuration, or an operator file, and report its errors",
		Long: `Reads the files that serve would read, with the same code, and reports errors: in the configuration by
key, in the operator file by file, line and key, and in the zone file that the operator file names by file and line.
With FILE, only that operator file is read. Exits with status 1 if there is an error.`,
		Args: cobra.MaximumNArgs(1),
		Example: "  fawnplank check -c config.json\n" +
			"  fawnplank check -c config.json --operator deploy/fawnplank.toml\n" +
			"  fawnplank check deploy/fawnplank.toml",
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) == 1 {
				return checkOperatorFile(args[0])
			}
			return checkConfiguration(globals)
		},
	}
}

func checkOperatorFile(path string) error {
	operator, err := readOperator(path, "name an existing file behind check")
	if err != nil {
		return err
	}
	if err := checkZoneFile(operator); err != nil {
		return err
	}
	fmt.Printf("%s: in order\n", path)
	return nil
}

func checkConfiguration(globals *globalFlags) error {
	configuration, operator, err := loadConfiguration(globals.config, globals.operator, config.Overlay{})
	if err != nil {
		return err
	}
	if err := checkZoneFile(operator); err != nil {
		return err
	}
	for _, key := range configuration.UnknownKeys {
		fmt.Printf("%s: key %s has no meaning and no effect; correct or remove it\n", configuration.InstanceName, key)
	}
	fmt.Printf("%s: in order; %d classes, %d plans, instance %d of %d\n", configuration.InstanceName,
		len(configuration.Classes), len(configuration.Plans),
		configuration.Settings.InstanceIndex, configuration.Settings.Instances)
	return nil
}
