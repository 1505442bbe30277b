package main

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak test runs drains and shutdowns of a gateway process under faults that are drawn from a seed. `go test ./...`
// runs a few seeds; .ci/run and manual runs use more:
//
//	go test ./cmd/fawnplank -run TestSoak_Ends -soak.seeds 50 -soak.first 1000 -v
var (
	soakSeeds    = flag.Int("soak.seeds", 4, "number of seeds that the soak test runs")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed of the soak test")
	soakParallel = flag.Int("soak.parallel", 4, "number of seeds that run at the same time")
)

const (
	soakDeadline  = 1500 * time.Millisecond // of the class; the same as in configuration
	soakKillDelay = soakDeadline + 700*time.Millisecond
	// soakTimingTolerance is added to time limits because a busy machine delays what the test observes.
	soakTimingTolerance = 250 * time.Millisecond
	// soakNewConnectionGrace is how long a new connection may stay open without a command during a drain
	// (docs/race-conditions.md).
	soakNewConnectionGrace = 200 * time.Millisecond
	// soakResumeTimeout is the time after the end of a drain within which PING must be answered with PONG.
	soakResumeTimeout = 2 * time.Second
	// soakMinRequests is the number of answered requests below which a run fails, since it would have tested too little.
	soakMinRequests = 20
)

// soakScenario is the course of one run, drawn from its seed.
type soakScenario struct {
	random            *rand.Rand
	drains            bool // the run ends with a drain, otherwise with SIGTERM
	repeatsDrain      bool // the drain is resumed and started again, or precedes the SIGTERM
	fillsDescriptors  bool // idle clients use up the file descriptors
	balancerContinues bool // the load balancer keeps opening connections during the drain
	clockSteps        []time.Duration
	signals           []syscall.Signal // sent before and after the SIGTERM, at random intervals
	hangProbability   float64          // that an attempt hangs, once the drain or shutdown has begun
	countsQuotas      bool             // quotas are counted on a counter with faults
	addsPlans         bool             // each reload under load adds a plan
}

func drawScenario(seed uint64) *soakScenario {
	random := rand.New(rand.NewPCG(seed, 0))
	scenario := &soakScenario{
		random:            random,
		drains:            seed%2 == 0,
		fillsDescriptors:  seed%4 >= 2,
		balancerContinues: random.IntN(3) == 0,
		repeatsDrain:      random.IntN(3) == 0,
		hangProbability:   random.Float64(),
	}
	for range random.IntN(4) {
		scenario.clockSteps = append(scenario.clockSteps, time.Duration(random.IntN(3)-1)*time.Hour)
	}
	all := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}
	for range random.IntN(12) {
		scenario.signals = append(scenario.signals, all[random.IntN(len(all))])
	}
	scenario.countsQuotas = random.IntN(2) == 0
	scenario.addsPlans = random.IntN(2) == 0
	return scenario
}

func (s *soakScenario) String() string {
	return fmt.Sprintf("drain %t (repeated %t), descriptors filled %t, balancer continues %t, clock steps %v, "+
		"signals %v, hang probability %.2f, quotas counted %t, plans added %t",
		s.drains, s.repeatsDrain, s.fillsDescriptors, s.balancerContinues, s.clockSteps,
		s.signals, s.hangProbability, s.countsQuotas, s.addsPlans)
}

// TestSoak_EndsUnderFaults checks the rules of a drain and of a shutdown under random faults: every request that was
// read is answered once and in time, no attempt begins for a client that has disconnected, a drain leaves no connection
// open, and the process exits by itself within soakKillDelay.
func TestSoak_EndsUnderFaults(t *testing.T) {
	slots := make(chan struct{}, *soakParallel)
	for n := range *soakSeeds {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSoak(t, seed)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	scenario := drawScenario(seed)
	clock := newWallClock(t)
	env := newSoakEnvironment(t, scenario, clock)
	env.startClients()
	env.reloadUnderLoad(t)
	var running sync.WaitGroup
	running.Go(func() { env.stepClock(t) })
	env.endStarted.Store(true)
	if scenario.drains {
		env.runDrain(t)
	} else {
		env.runTermination(t)
	}
	running.Wait()
	env.stop()
	if answered := env.answered.Load(); answered < soakMinRequests {
		t.Errorf("too few requests were answered: %d", answered)
	}
	for _, violation := range env.violations() {
		t.Error(violation)
	}
	if t.Failed() {
		t.Logf("scenario: %v", scenario)
		env.gateway.mu.Lock()
		defer env.gateway.mu.Unlock()
		t.Logf("log:\n%s", env.gateway.log.String())
	}
}

// soakLoadDuration is how long the clients are served before the drain or shutdown begins.
const soakLoadDuration = 700 * time.Millisecond

// reloadUnderLoad serves the clients for soakLoadDuration, with reloads that each add a plan if the scenario has them.
func (env *soakEnvironment) reloadUnderLoad(t *testing.T) {
	t.Helper()
	const reloads = 4
	if !env.scenario.addsPlans {
		time.Sleep(soakLoadDuration)
		return
	}
	for n := range reloads {
		time.Sleep(soakLoadDuration / reloads)
		env.gateway.addPlan(t, fmt.Sprintf("added %d", n))
		sendSignal(t, env.gateway.Cmd, syscall.SIGHUP)
	}
}

// stepClock applies the scenario's steps to the gateway's wall clock.
func (env *soakEnvironment) stepClock(t *testing.T) {
	t.Helper()
	for _, step := range env.scenario.clockSteps {
		time.Sleep(300 * time.Millisecond)
		env.clock.set(t, step)
	}
}

// runDrain drains the gateway, checks its connections 4 s later, and ends the drain.
func (env *soakEnvironment) runDrain(t *testing.T) {
	t.Helper()
	began := env.gateway.drain(t)
	if env.scenario.repeatsDrain {
		time.Sleep(time.Duration(env.scenario.random.IntN(1500)) * time.Millisecond)
		env.gateway.call(t, "POST", "/admin/resume")
		began = env.gateway.drain(t)
	}
	env.endOffset.Store(time.Since(env.startedAt).Nanoseconds())
	for _, signal := range env.scenario.signals {
		if signal == syscall.SIGHUP {
			sendSignal(t, env.gateway.Cmd, signal)
		}
	}
	time.Sleep(time.Until(began.Add(drainLimit)))
	env.checkHeldConnections(began)
	env.gateway.call(t, "POST", "/admin/resume")
	resumed := time.Now()
	for !env.gateway.isReady(t) {
		if time.Since(resumed) > soakResumeTimeout {
			env.recordViolation("PING is not answered with PONG after the drain")
			return
		}
	}
}

// runTermination sends SIGTERM among other signals, and waits until the process has exited.
func (env *soakEnvironment) runTermination(t *testing.T) {
	t.Helper()
	if env.scenario.repeatsDrain { // a restart during a drain, or after a resumed drain
		env.gateway.drain(t)
		time.Sleep(time.Duration(env.scenario.random.IntN(2500)) * time.Millisecond)
		if env.scenario.random.IntN(2) == 0 {
			env.gateway.call(t, "POST", "/admin/resume")
		}
	}
	signalsBefore := env.scenario.random.IntN(len(env.scenario.signals) + 1)
	for _, signal := range env.scenario.signals[:signalsBefore] {
		if signal == syscall.SIGHUP {
			sendSignal(t, env.gateway.Cmd, signal)
			time.Sleep(time.Duration(env.scenario.random.IntN(10)) * time.Millisecond)
		}
	}
	sendSignal(t, env.gateway.Cmd, syscall.SIGTERM)
	terminated := time.Now()
	env.endOffset.Store(time.Since(env.startedAt).Nanoseconds())
	for _, signal := range env.scenario.signals[signalsBefore:] {
		time.Sleep(time.Duration(env.scenario.random.IntN(60)) * time.Millisecond)
		if err := env.gateway.Process.Signal(signal); err != nil {
			break // the process has exited
		}
	}
	select {
	case err := <-env.gateway.ended:
		if err != nil {
			env.recordViolation("the process exited with %v", err)
		}
	case <-time.After(time.Until(terminated.Add(soakKillDelay))):
		if err := env.gateway.Process.Kill(); !errors.Is(err, nil) {
			env.recordViolation("SIGKILL failed: %v", err)
		}
		env.recordViolation("the process did not exit within soakKillDelay")
	}
	time.Sleep(resetTimeout + soakTimingTolerance) // lets the clients check the ends of their connections
}
