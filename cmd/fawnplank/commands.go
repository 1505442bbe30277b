package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"fawnplank/internal/config"
	"fawnplank/internal/logging"
)

// root is the command line. Each sub-command only reads its words; the work is in main.go and the packages.
func root() *cobra.Command {
	var path, operator, level, format string
	c := &cobra.Command{Use: "fawnplank COMMAND", Short: "A quota-keeping gateway for a shared API",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := logging.Setup(logging.Options{Output: os.Stderr, Level: cmp.Or(level, "info"), Format: cmp.Or(format, "text")}); err != nil {
				return fmt.Errorf("--log-level, --log-format: %w", err)
			}
			return nil
		},
		RunE: func(c *cobra.Command, words []string) error {
			c.SetOut(os.Stderr)
			c.Usage()
			if len(words) > 0 {
				return fmt.Errorf("unknown command %q", words[0])
			}
			return errors.New("one command is needed")
		}}
	c.CompletionOptions.DisableDefaultCmd = true
	c.PersistentFlags().StringVarP(&path, "config", "c", "", "configuration file (default: the one that GW_CONFIG names)")
	c.PersistentFlags().StringVar(&operator, "operator", os.Getenv("GW_OPERATOR"), "operator file, TOML (default: the one that GW_OPERATOR names, or none)")
	c.PersistentFlags().StringVar(&level, "log-level", "", "least level of what is logged: error, warning, info or debug (default: the operator file's, or info)")
	c.PersistentFlags().StringVar(&format, "log-format", "", "form of the log: text or json (default: the operator file's, or text)")
	c.PersistentFlags().StringVar(&tlsFiles.Certificate, "tls-certificate", "", "certificate of a replica, or of a command towards one or a limits' address; TLS is spoken where it is given")
	c.PersistentFlags().StringVar(&tlsFiles.Key, "tls-key", "", "its key")
	c.PersistentFlags().StringVar(&tlsFiles.Authority, "tls-authority", "", "authority to check the other side's certificate by")
	var replica storeFlags
	serving := &cobra.Command{Use: "serve", Short: "Run a front door until SIGTERM", Args: cobra.NoArgs,
		Long: `Runs a front door. SIGHUP reads the configuration again, whole or not at all; on SIGTERM the door goes on
serving for half a second, answers what it has taken, and exits.`,
		Example: `  fawnplank serve -c config.json
  GW_CONFIG=config.json fawnplank serve --log-level warning
  fawnplank serve -c config.json --store /var/lib/fawnplank --me a@127.0.0.1:7001@127.0.0.1:7101 \
    --peers a@127.0.0.1:7001@127.0.0.1:7101,b@127.0.0.1:7002@127.0.0.1:7102,c@127.0.0.1:7003@127.0.0.1:7103`,
		RunE: func(*cobra.Command, []string) error { return serve(path, operator, level, format, replica) }}
	replica.flags(serving)
	c.AddCommand(serving, storeCommand(), dnsCommand(&operator), billingCommand())
	c.AddCommand(&cobra.Command{Use: "check [FILE]", Short: "Read the configuration, or an operator file, and say what is wrong with it",
		Long: `Reads what serve would read, by the same code, and says what is wrong: the configuration with its key, the operator
file with file, line and key, the zone file that it names with file and line. With FILE, an operator file alone is read. Ends with status 1 if anything is wrong.`,
		Args:    cobra.MaximumNArgs(1),
		Example: "  fawnplank check -c config.json\n  fawnplank check -c config.json --operator deploy/fawnplank.toml\n  fawnplank check deploy/fawnplank.toml",
		RunE: func(_ *cobra.Command, words []string) error {
			if len(words) == 1 {
				o, err := config.ReadOperator(words[0])
				if err == nil {
					err = checkZone(o)
				}
				if err != nil {
					return err
				}
				fmt.Printf("%s: in order\n", words[0])
				return nil
			}
			start, o, err := read(path, operator, config.Overlay{})
			if err == nil {
				err = checkZone(o)
			}
			if err != nil {
				return err
			}
			fmt.Printf("%s: in order; %d profiles, %d plans, front door %d of %d\n", start.Name,
				len(start.Classes), len(start.Plans), start.Settings.InstanceIndex, start.Settings.Instances)
			return nil
		}})
	c.AddCommand(migrateCommand(&path))
	c.AddCommand(&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Example: "  fawnplank version",
		Run:     func(*cobra.Command, []string) { fmt.Println("fawnplank", version, runtime.Version()) }})
	c.AddCommand(&cobra.Command{Use: "lab VERB", Short: "Try designs and faults: run, check, load, report, sweep, stand-ins",
		Long: `Passes its words on to the laboratory's own program, fawnplank-lab, which lies beside this one: plots and
stand-ins are no part of a front door, whose memory is bounded.`,
		Example:            "  fawnplank lab run lab/scenarios/calm.toml\n  fawnplank lab --help",
		DisableFlagParsing: true,
		PersistentPreRunE:  func(*cobra.Command, []string) error { return nil },
		RunE:               func(_ *cobra.Command, words []string) error { return lab(words) }})
	return c
}

func migrateCommand(path *string) *cobra.Command {
	var shape, to string
	var dry bool
	c := &cobra.Command{Use: "migrate", Short: "Write the configuration's counterpart for the new shape of deployment",
		Long: "Writes the counterpart of a configuration for the new shape of deployment, and lists what it lacks (docs/migration.md).",
		Args: cobra.NoArgs,
		Example: `  fawnplank migrate -c old.json --shape shape.json --dry-run
  fawnplank migrate -c old.json --shape shape.json -o new.json`,
		RunE: func(*cobra.Command, []string) error { return migrate(*path, shape, to, dry) }}
	c.Flags().StringVar(&shape, "shape", "", "file with the settings of the new deployment, laid over the old ones")
	c.Flags().StringVarP(&to, "output", "o", "", "file to write, which must not be there yet")
	c.Flags().BoolVar(&dry, "dry-run", false, "say what would be lacking, and write nothing")
	return c
}

// lab becomes the laboratory's program.
func lab(words []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), "fawnplank-lab")
	if _, err := os.Stat(program); err != nil {
		if program, err = exec.LookPath("fawnplank-lab"); err != nil {
			return errors.New("lab: fawnplank-lab lies neither beside this program nor on the path: go build -o bin/ ./cmd/...")
		}
	}
	return syscall.Exec(program, append([]string{program}, words...), os.Environ())
}
