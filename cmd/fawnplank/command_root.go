package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
	"fawnplank/internal/tlsconfig"
)

// globalFlags holds the flags that every command accepts.
type globalFlags struct {
	config    string // path of the configuration file; if empty, GW_CONFIG names it
	operator  string // path of the operator file; empty for none
	logLevel  string // if empty, the operator file's level applies
	logFormat string // if empty, the operator file's format applies
	// tls names the certificate files. A replica uses the certificate on both its addresses and as a client of the
	// other replicas; commands use it as clients of replicas and limits addresses.
	tls tlsconfig.Files
}

func (f *globalFlags) register(command *cobra.Command) {
	flags := command.PersistentFlags()
	flags.StringVarP(&f.config, "config", "c", "", "configuration file (default: the one that GW_CONFIG names)")
	flags.StringVar(&f.operator, "operator", os.Getenv("GW_OPERATOR"),
		"operator file, TOML (default: the one that GW_OPERATOR names, or none)")
	flags.StringVar(&f.logLevel, "log-level", "",
		"lowest level that is logged: error, warning, info or debug (default: set by the operator file, or info)")
	flags.StringVar(&f.logFormat, "log-format", "",
		"format of the log: text or json (default: set by the operator file, or text)")
	flags.StringVar(&f.tls.Certificate, "tls-certificate", "",
		"certificate of a replica, or of a command that calls a replica or a limits address; enables TLS")
	flags.StringVar(&f.tls.Key, "tls-key", "", "private key of the certificate")
	flags.StringVar(&f.tls.Authority, "tls-authority", "",
		"certificate of the authority that the peer's certificate is checked against")
}

// storeClient returns a client of the replica at an API address, which was given by the named flag.
func (f *globalFlags) storeClient(address, flag string) storeClient {
	return storeClient{address: address, flag: flag, tls: f.tls, readFailure: &readErrorRecorder{}}
}

// rootCommand returns the root of all commands. A command only parses its flags and arguments; other functions do the
// work.
func rootCommand() *cobra.Command {
	globals := &globalFlags{}
	root := &cobra.Command{
		Use: "fawnplank COMMAND", Short: "A quota gateway for a shared API",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return setUpCommandLog(globals)
		},
		RunE: func(command *cobra.Command, args []string) error {
			command.SetOut(os.Stderr)
			_ = command.Usage() // an error of standard error cannot be reported anywhere
			if len(args) > 0 {
				return fmt.Errorf("unknown command %q", args[0])
			}
			return errors.New("one command is needed")
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	globals.register(root)
	root.AddCommand(
		serveCommand(globals),
		storeCommand(globals),
		dnsCommand(globals),
		billingCommand(globals),
		checkCommand(globals),
		migrateCommand(globals),
		versionCommand(),
		labCommand(),
	)
	return root
}

// setUpCommandLog configures the log from the flags alone. A gateway configures the log again after it has read the
// operator file.
func setUpCommandLog(globals *globalFlags) error {
	err := logging.Setup(logging.Options{
		Output: os.Stderr,
		Level:  cmp.Or(globals.logLevel, config.DefaultLogLevel),
		Format: cmp.Or(globals.logFormat, config.DefaultLogFormat),
	})
	if err != nil {
		return fmt.Errorf("--log-level, --log-format: %w", err)
	}
	return nil
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Example: "  fawnplank version",
		Run:     func(*cobra.Command, []string) { fmt.Println("fawnplank", version, runtime.Version()) },
	}
}
