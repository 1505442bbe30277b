// Command fawnplank-lab is the laboratory's program: it plays scenarios on the model or between stand-ins, asks
// running front doors, and draws reports. "fawnplank lab" runs it. It is a program of its own because a front
// door's memory is bounded, and fonts and plots are no part of one.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fawnplank/internal/lab/accounts"
	"fawnplank/internal/lab/dnsbench"
	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/model"
	"fawnplank/internal/lab/plots"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
	"fawnplank/internal/lab/testbed"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fawnplank lab:", err)
		os.Exit(1)
	}
}

// root is the command line.
func root() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Try designs and faults on the model or between stand-ins",
		Long: `The laboratory plays scenarios: TOML files that say what is balanced, who asks, and which faults come when.
On sockets, real front doors run between stand-ins on loopback; on the model, the real decisions run in
simulated time, at sizes that sockets do not reach. The five rules are checked in every run.`,
		SilenceUsage: true, SilenceErrors: true}
	c.CompletionOptions.DisableDefaultCmd = true
	c.AddCommand(runCommand(), checkCommand(), loadCommand(), reportCommand(), sweepCommand(), standInsCommand(), zoneCommand(), accountsCommand())
	return c
}

// over are the flags that lay values over a scenario's.
type over struct {
	on   string
	seed uint64
	set  []string
}

func (o *over) flags(c *cobra.Command) {
	c.Flags().StringVar(&o.on, "on", "", "model or sockets, in place of the scenario's own")
	c.Flags().Uint64Var(&o.seed, "seed", 0, "seed in place of the scenario's own")
	c.Flags().StringArrayVar(&o.set, "set", nil, "key=value laid over the scenario, as often as wanted")
}

func (o *over) load(path string, more ...string) (*scenario.Scenario, error) {
	words := append(append([]string(nil), o.set...), more...)
	if o.on != "" {
		words = append(words, "on="+o.on)
	}
	if o.seed != 0 {
		words = append(words, fmt.Sprintf("seed=%d", o.seed))
	}
	return scenario.Load(path, words...)
}

// program is the front door's program: the one beside this one.
func program() string {
	self, err := os.Executable()
	if err != nil {
		return "fawnplank"
	}
	return filepath.Join(filepath.Dir(self), "fawnplank")
}

// play plays a scenario where it says.
func play(ctx context.Context, s *scenario.Scenario, o testbed.Options) (*results.Run, error) {
	if s.On == scenario.OnModel {
		return model.Run(s)
	}
	return testbed.Run(ctx, s, o)
}

func runCommand() *cobra.Command {
	var o over
	var out, label, logs, door, picture string
	c := &cobra.Command{Use: "run SCENARIO", Short: "Play a scenario, and tell its results", Args: cobra.ExactArgs(1),
		Example: `  fawnplank lab run lab/scenarios/calm.toml
  fawnplank lab run lab/scenarios/counter-lost.toml --on model -o lost.json --plot lost.png
  fawnplank lab run lab/scenarios/hundred-doors.toml --set doors.count=200 --label 200-doors`,
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.load(args[0])
			if err != nil {
				return err
			}
			start := time.Now()
			run, err := play(c.Context(), s, testbed.Options{GatewayCommand: []string{door}, LogFolder: logs})
			if run == nil {
				return err
			}
			run.Label = label
			took := time.Since(start)
			plots.Table(c.OutOrStdout(), run)
			fmt.Fprintf(c.OutOrStdout(), "%d events in %.2f s, %.0f a second\n", run.Events, took.Seconds(), float64(run.Events)/took.Seconds())
			if err != nil {
				return err
			}
			if out != "" {
				if err := run.Write(out); err != nil {
					return err
				}
			}
			if picture != "" {
				if err := plots.Draw(picture, run); err != nil {
					return err
				}
			}
			if n := run.Violations(); n > 0 {
				return fmt.Errorf("%s: rules broken %d times", s.Name, n)
			}
			return nil
		}}
	o.flags(c)
	c.Flags().StringVarP(&out, "output", "o", "", "file that the results are written to, as JSON")
	c.Flags().StringVar(&label, "label", "", "what to call this run in tables and plots")
	c.Flags().StringVar(&picture, "plot", "", "picture to draw, .png or .svg")
	c.Flags().StringVar(&logs, "logs", "", "sockets: folder for the front doors' logs")
	c.Flags().StringVar(&door, "door", program(), "sockets: the front door's program")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check SCENARIO...", Short: "Read scenarios, and say what is wrong with them",
		Args: cobra.MinimumNArgs(1), Example: "  fawnplank lab check lab/scenarios/*.toml",
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				s, err := scenario.Load(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: in order; %s, %d front doors, %d backends, %.0f transactions a second for %v, %d faults\n",
					s.Name, s.On, s.Instances.Count, s.Backends.Count, s.Load.Rate, time.Duration(s.Duration), len(s.Faults))
			}
			return nil
		}}
}

func loadCommand() *cobra.Command {
	var o over
	var to []string
	var out string
	c := &cobra.Command{Use: "load SCENARIO --to ADDRESS", Short: "Ask running front doors for a scenario's transactions",
		Long: `Asks front doors that are already running for the scenario's transactions, in an open loop bounded by its
duration, number and connections. Profiles and plans must have the names that the doors know. Faults of the
scenario are not played, and what only backends see (shots, quotas) is not told. Addresses are on loopback.`,
		Args: cobra.ExactArgs(1), Example: "  fawnplank lab load lab/scenarios/calm.toml --to 127.0.0.1:6379 --set load.rate=500",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.load(args[0], fmt.Sprintf("doors.count=%d", len(to)), fmt.Sprintf("load.spread=%d", max(len(to), 1)))
			if err != nil {
				return err
			}
			for _, at := range to {
				if !loopback(at) {
					return fmt.Errorf("--to %s: not on loopback (127.0.0.0/8 or [::1])", at)
				}
			}
			terms, err := s.EngineSettings(0)
			if err != nil {
				return err
			}
			log := results.NewLog(results.New(s, terms, 50e6))
			log.Begin()
			tool := load.New(s, log, to)
			tool.Run(c.Context().Done())
			run := log.Finish()
			run.On = results.OnClients
			run.LagP50, run.LagP99 = tool.Lag()
			if out != "" {
				if err := run.Write(out); err != nil {
					return err
				}
			}
			return plots.Table(c.OutOrStdout(), run)
		}}
	o.flags(c)
	c.Flags().StringSliceVar(&to, "to", nil, "addresses of the front doors")
	c.Flags().StringVarP(&out, "output", "o", "", "file that the results are written to, as JSON")
	c.MarkFlagRequired("to")
	return c
}

// loopback says whether an address names this machine to itself.
func loopback(address string) bool {
	return strings.HasPrefix(address, "127.") || strings.HasPrefix(address, "[::1]:") || strings.HasPrefix(address, "localhost:")
}

func reportCommand() *cobra.Command {
	var picture string
	c := &cobra.Command{Use: "report RUN...", Short: "Tabulate and draw recorded runs, up to four side by side",
		Args: cobra.RangeArgs(1, 4), Example: "  fawnplank lab report before.json after.json -o change.png",
		RunE: func(c *cobra.Command, args []string) error {
			var runs []*results.Run
			for _, path := range args {
				r, err := results.Read(path)
				if err != nil {
					return err
				}
				runs = append(runs, r)
			}
			if picture != "" {
				if err := plots.Draw(picture, runs...); err != nil {
					return err
				}
			}
			return plots.Table(c.OutOrStdout(), runs...)
		}}
	c.Flags().StringVarP(&picture, "output", "o", "", "picture to draw, .png or .svg")
	return c
}

func zoneCommand() *cobra.Command {
	var sizes []int
	var updates int
	var span time.Duration
	var picture string
	c := &cobra.Command{Use: "zone", Short: "Measure a front door's name server: loading, updates, their number a second", Args: cobra.NoArgs,
		Example: "  fawnplank lab zone --sizes 100,1000,10000 -o dns-cost.png",
		RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel) // an entry an update would be measured too
			for _, n := range sizes {
				if n < 1 || n > 50000 {
					return fmt.Errorf("--sizes: %d is not from 1 to 50000", n)
				}
			}
			all, err := dnsbench.Measure(c.Context(), sizes, updates, span)
			if err != nil {
				return err
			}
			if err := plots.CostTable(c.OutOrStdout(), all); err != nil || picture == "" {
				return err
			}
			return plots.Costs(picture, all)
		}}
	c.Flags().IntSliceVar(&sizes, "sizes", []int{100, 1000, 10000, 30000}, "how many backends the zones hold")
	c.Flags().IntVar(&updates, "updates", 1000, "updates one after the other")
	c.Flags().DurationVar(&span, "span", 3*time.Second, "time for which eight updaters send at once")
	c.Flags().StringVarP(&picture, "output", "o", "", "picture to draw, .png or .svg")
	return c
}

func accountsCommand() *cobra.Command {
	var clients []int
	var span time.Duration
	c := &cobra.Command{Use: "accounts", Short: "Measure reservations on three replicas, with and without TLS", Args: cobra.NoArgs,
		Example: "  fawnplank lab accounts --clients 1,8 --span 10s",
		RunE: func(c *cobra.Command, _ []string) error {
			logrus.SetLevel(logrus.ErrorLevel)
			var all []accounts.Cost
			for _, n := range clients {
				for _, secure := range []bool{false, true} {
					cost, err := accounts.Measure(c.Context(), accounts.Options{TLS: secure, Clients: n, Duration: span})
					if err != nil {
						return err
					}
					all = append(all, cost)
				}
			}
			return accounts.Table(c.OutOrStdout(), all)
		}}
	c.Flags().IntSliceVar(&clients, "clients", []int{1, 8}, "connections that send one command after the other")
	c.Flags().DurationVar(&span, "span", 5*time.Second, "time for which they send")
	return c
}

func sweepCommand() *cobra.Command {
	var o over
	var picture string
	var side int
	c := &cobra.Command{Use: "sweep SCENARIO KEY=VALUE,VALUE,...", Short: "Play a scenario on the model with several values of a key",
		Args: cobra.ExactArgs(2), Example: "  fawnplank lab sweep lab/scenarios/counter-lost.toml doors.count=2,5,10,20,50 -o doors.png",
		RunE: func(c *cobra.Command, args []string) error {
			key, list, ok := strings.Cut(args[1], "=")
			if !ok || list == "" {
				return fmt.Errorf("%q is not of the form key=value,value", args[1])
			}
			values := strings.Split(list, ",")
			runs := make([]*results.Run, len(values))
			var all errgroup.Group
			all.SetLimit(side)
			for n, value := range values {
				s, err := o.load(args[0], key+"="+value, "on=model")
				if err != nil {
					return err
				}
				all.Go(func() error {
					run, err := model.Run(s)
					if err == nil {
						run.Label = key + "=" + value
						runs[n] = run
					}
					return err
				})
			}
			if err := all.Wait(); err != nil {
				return err
			}
			if picture != "" {
				if err := plots.Sweep(picture, key, values, runs); err != nil {
					return err
				}
			}
			if err := plots.Table(c.OutOrStdout(), runs...); err != nil {
				return err
			}
			for _, r := range runs {
				if r.Violations() > 0 {
					return fmt.Errorf("%s: rules broken %d times", r.Label, r.Violations())
				}
			}
			return nil
		}}
	o.flags(c)
	c.Flags().StringVarP(&picture, "output", "o", "", "picture to draw, .png or .svg")
	c.Flags().IntVar(&side, "parallel", 4, "runs at once")
	return c
}

func standInsCommand() *cobra.Command {
	var o over
	var folder string
	var stay time.Duration
	c := &cobra.Command{Use: "stand-ins SCENARIO --dir FOLDER", Short: "Run a scenario's backends, counter and discovery alone, for front doors started by hand",
		Long: `Starts the scenario's stand-ins on loopback, writes a configuration for each of its front doors into the folder, and
tells how to start them. Its faults come at their times from then on. Ends by itself after --stay, or at SIGTERM.`,
		Args: cobra.ExactArgs(1), Example: "  fawnplank lab stand-ins lab/scenarios/one-hangs.toml --dir try --stay 10m",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.load(args[0])
			if err != nil {
				return err
			}
			terms, err := s.EngineSettings(0)
			if err != nil {
				return err
			}
			if stay <= 0 || stay > time.Hour {
				return fmt.Errorf("--stay %v is not above 0 and at most 1h", stay)
			}
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			log := results.NewLog(results.New(s, terms, 50e6))
			outside, err := emulator.Start(s, log)
			if err != nil {
				return err
			}
			defer outside.Close()
			var to []string
			for n := range s.Instances.Count {
				at, err := testbed.FreeAddress(c.Context())
				if err != nil {
					return err
				}
				text, err := outside.InstanceConfig(n, at)
				if err != nil {
					return err
				}
				path := filepath.Join(folder, fmt.Sprintf("d%d.json", n))
				if err := os.WriteFile(path, text, 0o644); err != nil {
					return err
				}
				to = append(to, at)
				fmt.Fprintf(c.OutOrStdout(), "fawnplank serve -c %s\n", path)
			}
			fmt.Fprintf(c.OutOrStdout(), "fawnplank lab load %s --to %s\n", args[0], strings.Join(to, ","))
			log.Begin()
			outside.PlayFaults()
			select {
			case <-c.Context().Done():
			case <-time.After(stay):
			}
			return nil
		}}
	o.flags(c)
	c.Flags().StringVar(&folder, "dir", "", "folder for the front doors' configurations")
	c.Flags().DurationVar(&stay, "stay", 10*time.Minute, "for how long, at most 1h")
	c.MarkFlagRequired("dir")
	return c
}
