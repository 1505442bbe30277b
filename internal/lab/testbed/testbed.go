package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

// Options holds the parameters of a run on sockets that are not part of its scenario.
type Options struct {
	// GatewayCommand is the gateway's program and its first arguments, to which the testbed adds "serve -c FILE". It is
	// required.
	GatewayCommand []string
	// Env is added to the inherited environment of the gateways, as "NAME=VALUE" strings.
	Env []string
	// LogFolder is the folder for the gateways' logs, created if it is missing. If LogFolder is empty, the logs are
	// removed with the run's other files.
	LogFolder string
}

// eventTimeTolerance is the delay that the invariants allow between an event and its observation at the other end of a
// socket, on a machine that also does other work. It equals the platform's own tolerance for sockets.
const eventTimeTolerance = 50 * time.Millisecond

// startTimeout is how long the run waits for each gateway, one after the other, to answer its first PING. It is far
// longer than a start takes, even on a loaded machine.
const startTimeout = 10 * time.Second

// testbed holds the resources of one run, which close frees.
type testbed struct {
	scenario  *scenario.Scenario
	options   Options
	folder    string // configurations, operator files, zones, keys and journals; removed by close
	logFolder string
	log       *results.EventLog
	emulator  *emulator.Emulator
	gateways  []*gateway
}

// NewEventLog returns a log for a run of a scenario on sockets; the run has not begun. It returns an error if a gateway
// would reject the scenario's settings.
func NewEventLog(s *scenario.Scenario) (*results.EventLog, error) {
	settings, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("testbed: scenario %s: %w", s.Name, err)
	}
	return results.NewEventLog(results.New(s, settings, eventTimeTolerance)), nil
}

// Run plays a scenario on sockets. If ctx ends, Run stops early and returns the results so far with the error of ctx.
// A gateway that crashes does not end the run: Run returns its crash as an error together with the results. The
// results are nil only if the run could not be started.
func Run(ctx context.Context, s *scenario.Scenario, options Options) (*results.Run, error) {
	log, err := NewEventLog(s)
	if err != nil {
		return nil, err
	}
	t := &testbed{scenario: s, options: options, log: log}
	defer t.close()
	if err := t.createFolders(); err != nil {
		return nil, err
	}
	if t.emulator, err = emulator.Start(s, t.log); err != nil {
		return nil, err
	}
	for index := range s.Instances.Count {
		if err := t.startGateway(ctx, index); err != nil {
			return nil, err
		}
	}
	for _, g := range t.gateways {
		if err := g.waitReady(ctx, startTimeout); err != nil {
			return nil, err
		}
	}
	return t.play(ctx)
}

// createFolders creates the temporary folder of the run and, if the options name one, the folder for the logs.
func (t *testbed) createFolders() error {
	folder, err := os.MkdirTemp("", "fawnplank-lab-")
	if err != nil {
		return err
	}
	t.folder = folder
	t.logFolder = folder
	if t.options.LogFolder == "" {
		return nil
	}
	t.logFolder = t.options.LogFolder
	if err := os.MkdirAll(t.logFolder, 0o755); err != nil {
		return fmt.Errorf("testbed: create folder for the gateways' logs: %w", err)
	}
	return nil
}

// startGateway writes the configuration files of a gateway and starts its process.
func (t *testbed) startGateway(ctx context.Context, index int) error {
	address, err := FreeAddress(ctx)
	if err != nil {
		return err
	}
	configuration, err := t.emulator.InstanceConfig(index, address)
	if err != nil {
		return err
	}
	operatorFile, err := t.writeOperatorFile(ctx, index)
	if err != nil {
		return err
	}
	g := &gateway{
		index:             index,
		address:           address,
		command:           t.options.GatewayCommand,
		env:               t.options.Env,
		configurationFile: t.gatewayFile(index, "json"),
		operatorFile:      operatorFile,
		logFile:           filepath.Join(t.logFolder, fmt.Sprintf("d%d.log", index)),
	}
	if err := os.WriteFile(g.configurationFile, configuration, 0o600); err != nil {
		return err
	}
	t.gateways = append(t.gateways, g)
	return g.start(ctx)
}

// gatewayFile returns the path of a file that belongs to one gateway.
func (t *testbed) gatewayFile(index int, extension string) string {
	return filepath.Join(t.folder, fmt.Sprintf("d%d.%s", index, extension))
}

// play sends the scenario's requests to the running gateways and injects its faults. It returns the results with the
// first crash of a gateway or, if there is none, the error of ctx.
func (t *testbed) play(ctx context.Context) (*results.Run, error) {
	runContext, cancel := context.WithCancel(ctx)
	defer cancel()
	t.log.Begin()
	t.emulator.ScheduleFaults()
	var crashWatchers, restarts sync.WaitGroup
	crashed := make(chan error, len(t.gateways)) // buffered for one error per gateway, so that no watcher blocks
	for _, g := range t.gateways {
		crashWatchers.Go(func() { g.reportCrash(runContext, crashed) })
	}
	t.scheduleRestarts(runContext, &restarts)
	addresses := make([]string, len(t.gateways))
	for n, g := range t.gateways {
		addresses[n] = g.address
	}
	tool := load.New(t.scenario, t.log, addresses)
	tool.Run(runContext)
	cancel()
	restarts.Wait()
	crashWatchers.Wait()
	run := t.log.Finish()
	run.LagP50, run.LagP99 = tool.Lag()
	select {
	case err := <-crashed:
		return run, err
	default:
		return run, ctx.Err()
	}
}

// scheduleRestarts starts a goroutine per restart of a gateway in the scenario, which kills the gateway and starts it
// again at the scheduled times.
func (t *testbed) scheduleRestarts(ctx context.Context, restarts *sync.WaitGroup) {
	for _, fault := range t.scenario.Faults {
		if fault.Kind != scenario.InstanceRestart {
			continue
		}
		for _, occurrence := range t.scenario.Occurrences(fault) {
			g := t.gateways[occurrence.Target]
			restarts.Go(func() {
				g.restart(ctx, t.log, occurrence.Begin, occurrence.End-occurrence.Begin)
			})
		}
	}
}

// close stops the gateways, then the emulated services, and removes the run's temporary folder.
func (t *testbed) close() {
	for _, g := range t.gateways {
		g.stop()
	}
	if t.emulator != nil {
		t.emulator.Close()
	}
	if t.folder != "" {
		_ = os.RemoveAll(t.folder) // if this fails, the system eventually removes its temporary files
	}
}
