package testbed

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/results"
)

const (
	// pingInterval is the pause between two PINGs to a gateway that is starting.
	pingInterval = 20 * time.Millisecond
	// pingDialTimeout and pingAnswerTimeout bound one PING. Both are generous for loopback.
	pingDialTimeout   = 200 * time.Millisecond
	pingAnswerTimeout = 500 * time.Millisecond
	// crashCheckInterval is the pause between two checks of whether a killed gateway has been restarted.
	crashCheckInterval = 10 * time.Millisecond
	// stopTimeout is how long a gateway's graceful shutdown may take before the gateway is killed.
	stopTimeout = 5 * time.Second
	// logTailBytes is the length of the end of a gateway's log that errors quote.
	logTailBytes = 400
)

// gateway manages the process of one gateway. Its methods may be called concurrently, except that only one of start,
// restart and stop may run at a time.
type gateway struct {
	index             int
	address           string
	command           []string
	env               []string
	configurationFile string
	operatorFile      string // empty: none
	logFile           string

	mu      sync.Mutex // guards the fields below
	process *process   // nil before the first start
	// shouldRun is false while the gateway is down on purpose. A process that exits while it is true has crashed.
	shouldRun bool
}

// process is one incarnation of a gateway.
type process struct {
	handle *os.Process
	exited chan struct{} // closed when the process has exited and its status has been collected
}

// start starts the process. It appends the output to the log file, so that a restart keeps the earlier log.
func (g *gateway) start(ctx context.Context) error {
	output, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() {
		_ = output.Close() // the process has its own descriptor, and nothing was written through this one
	}()
	arguments := append(slices.Clone(g.command[1:]), "serve", "-c", g.configurationFile)
	if g.operatorFile != "" {
		arguments = append(arguments, "--operator", g.operatorFile)
	}
	// The end of ctx must not kill the process: stop first asks for a graceful shutdown by SIGTERM.
	command := exec.CommandContext(context.WithoutCancel(ctx), g.command[0], arguments...)
	command.Env = append(os.Environ(), g.env...)
	command.Stdout = output
	command.Stderr = output
	// The kernel kills the gateway if the laboratory's process dies.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", g.index, err)
	}
	started := &process{handle: command.Process, exited: make(chan struct{})}
	g.mu.Lock()
	g.process = started
	g.shouldRun = true
	g.mu.Unlock()
	go func() {
		_ = command.Wait() // reportCrash and waitReady quote the log instead of the exit status
		close(started.exited)
	}()
	return nil
}

// current returns the process and whether it should be running.
func (g *gateway) current() (*process, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process, g.shouldRun
}

// expectExit returns the process and marks its exit as intended.
func (g *gateway) expectExit() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shouldRun = false
	return g.process
}

// waitReady waits until the gateway answers a PING. It returns an error if the process exits or the timeout expires
// first.
func (g *gateway) waitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, _ := g.current()
	for {
		select {
		case <-started.exited:
			return fmt.Errorf("gateway %d exited before it answered a PING: %s", g.index, g.logTail())
		case <-ctx.Done():
			return fmt.Errorf("gateway %d did not answer a PING within %v: %s", g.index, timeout, g.logTail())
		default:
		}
		if g.answersPing(ctx) {
			return nil
		}
		time.Sleep(pingInterval)
	}
}

// answersPing reports whether the gateway answers a PING on a new connection.
func (g *gateway) answersPing(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: pingDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", g.address)
	if err != nil {
		return false
	}
	defer func() {
		_ = conn.Close() // the next PING opens its own connection
	}()
	if err := conn.SetDeadline(time.Now().Add(pingAnswerTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	answer := make([]byte, len("+PONG\r\n"))
	n, _ := conn.Read(answer) // the answer counts even if an error follows it
	return bytes.HasPrefix(answer[:n], []byte("+PONG"))
}

// logTail returns the end of the gateway's log, or the reason why it cannot be read.
func (g *gateway) logTail() string {
	text, err := os.ReadFile(g.logFile)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(text[max(len(text)-logTailBytes, 0):]))
}

// reportCrash waits for the gateway's first crash, that is an exit that neither restart nor stop caused, and sends an
// error to crashed. It returns after that, or when ctx ends.
func (g *gateway) reportCrash(ctx context.Context, crashed chan<- error) {
	for {
		watched, _ := g.current()
		select {
		case <-ctx.Done():
			return
		case <-watched.exited:
		}
		if latest, shouldRun := g.current(); shouldRun && latest == watched {
			crashed <- fmt.Errorf("gateway %d crashed: %s", g.index, g.logTail())
			return
		}
		if !wait(ctx, crashCheckInterval) {
			return
		}
	}
}

// restart kills the gateway after a delay, without a graceful shutdown, and starts it again after a downtime. It
// returns early when ctx ends.
func (g *gateway) restart(ctx context.Context, log *results.EventLog, delay, downtime time.Duration) {
	if !wait(ctx, delay) {
		return
	}
	killed := g.expectExit()
	log.Observe(invariants.Event{Kind: invariants.InstanceDied, Instance: g.index})
	_ = killed.handle.Kill() // fails only if the process has exited already
	<-killed.exited
	log.ObserveInstanceExit(g.index)
	if !wait(ctx, downtime) {
		return
	}
	_ = g.start(ctx) // if this fails, the gateway stays down, which the clients' results show
}

// wait waits for a duration. It returns false if ctx ends first.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// stop sends SIGTERM to the gateway and waits for its exit; it kills the gateway if the graceful shutdown takes longer
// than stopTimeout. It does nothing if the gateway was never started or has already exited.
func (g *gateway) stop() {
	stopped := g.expectExit()
	if stopped == nil {
		return
	}
	_ = stopped.handle.Signal(syscall.SIGTERM) // fails only if the process has exited already
	select {
	case <-stopped.exited:
	case <-time.After(stopTimeout):
		_ = stopped.handle.Kill() // fails only if the process has exited already
		<-stopped.exited
	}
}
