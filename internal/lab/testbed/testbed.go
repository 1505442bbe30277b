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

// Options are what a run on sockets needs besides its scenario.
type Options struct {
	// GatewayCommand is the gateway's program and its first arguments; the testbed adds "serve -c FILE".
	// Required.
	GatewayCommand []string
	// Env is added to the environment of the gateways.
	Env []string
	// LogFolder is where the gateways' logs are written; it is created if it is missing. If empty, the logs are
	// removed with the run's other files.
	LogFolder string
}

// slack is how late an event may be seen at the far end of a socket on a machine that also does other
// work. It is the platform's own allowance for sockets.
const slack = 50 * time.Millisecond

// startTimeout is how long the gateways, one after the other, may take to answer their first command. It is
// far above what a start takes, even on a loaded machine.
const startTimeout = 10 * time.Second

// testbed is one run and what it has to free.
type testbed struct {
	scenario  *scenario.Scenario
	options   Options
	folder    string // configurations, operator files, zones, keys and journals; removed by close
	logFolder string
	log       *results.EventLog
	emulator  *emulator.Emulator
	gateways  []*gateway
}

// NewEventLog returns the log of a scenario's run on sockets, which has not begun. It returns an error if a gateway
// would refuse the scenario's settings.
func NewEventLog(s *scenario.Scenario) (*results.EventLog, error) {
	settings, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("testbed: scenario %s: %w", s.Name, err)
	}
	return results.NewEventLog(results.New(s, settings, slack)), nil
}

// Run plays a scenario on sockets. If ctx ends, it ends early and returns what was recorded until then and
// the error of ctx. A gateway that ends by itself does not end the run: its crash is returned with the
// results. If no results are returned, the run could not be started.
func Run(ctx context.Context, s *scenario.Scenario, options Options) (*results.Run, error) {
	log, err := NewEventLog(s)
	if err != nil {
		return nil, err
	}
	t := &testbed{scenario: s, options: options, log: log}
	defer t.close()
	if err := t.makeFolders(); err != nil {
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

// makeFolders creates the run's own folder and the folder of the logs.
func (t *testbed) makeFolders() error {
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
		return fmt.Errorf("testbed: folder for the gateways' logs: %w", err)
	}
	return nil
}

// startGateway writes the files of a gateway and starts its process.
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

// play waits until every gateway answers, then sends the scenario's requests and injects its faults.
func (t *testbed) play(ctx context.Context) (*results.Run, error) {
	running, end := context.WithCancel(ctx)
	defer end()
	t.log.Begin()
	t.emulator.PlayFaults()
	var watches, restarts sync.WaitGroup
	crashed := make(chan error, len(t.gateways)) // room for each, so that no watch waits for the end
	for _, g := range t.gateways {
		watches.Go(func() { g.watch(running, crashed) })
	}
	t.scheduleRestarts(running, &restarts)
	addresses := make([]string, len(t.gateways))
	for n, g := range t.gateways {
		addresses[n] = g.address
	}
	tool := load.New(t.scenario, t.log, addresses)
	tool.Run(running)
	end()
	restarts.Wait()
	watches.Wait()
	run := t.log.Finish()
	run.LagP50, run.LagP99 = tool.Lag()
	select {
	case err := <-crashed:
		return run, err
	default:
		return run, ctx.Err()
	}
}

// scheduleRestarts kills gateways and starts them again at the times of the scenario.
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

// close stops the gateways, then what they talk to, and removes the run's files.
func (t *testbed) close() {
	for _, g := range t.gateways {
		g.stop()
	}
	if t.emulator != nil {
		t.emulator.Close()
	}
	if t.folder != "" {
		_ = os.RemoveAll(t.folder) // if this fails, the system clears its folder for temporary files
	}
}
