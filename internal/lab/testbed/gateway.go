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
	// pingInterval is the time between two attempts to get a first answer from a gateway.
	pingInterval = 20 * time.Millisecond
	// pingDialTimeout and pingAnswerTimeout bound one such attempt: generous for loopback.
	pingDialTimeout   = 200 * time.Millisecond
	pingAnswerTimeout = 500 * time.Millisecond
	// watchInterval is the time between two looks at a gateway that is down on purpose.
	watchInterval = 10 * time.Millisecond
	// stopTimeout is how long a gateway may take for its graceful shutdown before it is killed.
	stopTimeout = 5 * time.Second
	// logTailBytes is how much of a gateway's log an error quotes.
	logTailBytes = 400
)

// gateway is the process of one gateway. Its methods may be called concurrently, except that start, restart
// and stop may only run one at a time.
type gateway struct {
	index             int
	address           string
	command           []string
	env               []string
	configurationFile string
	operatorFile      string // empty: none
	logFile           string

	mu      sync.Mutex
	process *process // nil before the first start
	// expected says whether the process is meant to run. A process that ends while it is expected has crashed.
	expected bool
}

// process is one incarnation of a gateway.
type process struct {
	handle *os.Process
	exited chan struct{} // closed when the process has ended and its exit status is collected
}

// start starts the process. Its output is appended to the log file, so that a restart keeps what came before.
func (g *gateway) start(ctx context.Context) error {
	output, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() {
		_ = output.Close() // the process has its own descriptor; nothing is written through this one
	}()
	arguments := append(slices.Clone(g.command[1:]), "serve", "-c", g.configurationFile)
	if g.operatorFile != "" {
		arguments = append(arguments, "--operator", g.operatorFile)
	}
	// stop ends the process, first by SIGTERM. The end of ctx must not kill the process outright.
	command := exec.CommandContext(context.WithoutCancel(ctx), g.command[0], arguments...)
	command.Env = append(os.Environ(), g.env...)
	command.Stdout = output
	command.Stderr = output
	// No gateway outlives the laboratory, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", g.index, err)
	}
	started := &process{handle: command.Process, exited: make(chan struct{})}
	g.mu.Lock()
	g.process = started
	g.expected = true
	g.mu.Unlock()
	go func() {
		_ = command.Wait() // watch and waitReady see a crash, and quote the log instead of the status
		close(started.exited)
	}()
	return nil
}

// current returns the process and whether it is meant to run.
func (g *gateway) current() (*process, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process, g.expected
}

// expectExit returns the process and marks that its end is no crash from now on.
func (g *gateway) expectExit() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected = false
	return g.process
}

// waitReady waits until the gateway answers a PING.
func (g *gateway) waitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started, _ := g.current()
	for {
		select {
		case <-started.exited:
			return fmt.Errorf("gateway %d ended: %s", g.index, g.logTail())
		case <-ctx.Done():
			return fmt.Errorf("gateway %d does not answer within %v: %s", g.index, timeout, g.logTail())
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
		_ = conn.Close() // the answer is read, or the next attempt opens its own connection
	}()
	if err := conn.SetDeadline(time.Now().Add(pingAnswerTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	answer := make([]byte, len("+PONG\r\n"))
	n, _ := conn.Read(answer) // the bytes read before an error decide
	return bytes.HasPrefix(answer[:n], []byte("+PONG"))
}

// logTail returns the end of the gateway's log.
func (g *gateway) logTail() string {
	text, err := os.ReadFile(g.logFile)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(text[max(len(text)-logTailBytes, 0):]))
}

// watch reports the gateway's first crash, that is, an end that neither restart nor stop asked for. It
// returns after that, or when ctx ends.
func (g *gateway) watch(ctx context.Context, crashed chan<- error) {
	for {
		watched, _ := g.current()
		select {
		case <-ctx.Done():
			return
		case <-watched.exited:
		}
		if latest, expected := g.current(); expected && latest == watched {
			crashed <- fmt.Errorf("gateway %d crashed: %s", g.index, g.logTail())
			return
		}
		if !wait(ctx, watchInterval) {
			return
		}
	}
}

// restart kills the gateway after a delay, without a graceful shutdown, and starts it again after a downtime.
// It gives up when ctx ends.
func (g *gateway) restart(ctx context.Context, log *results.EventLog, delay, downtime time.Duration) {
	if !wait(ctx, delay) {
		return
	}
	killed := g.expectExit()
	log.Observe(invariants.Event{Kind: invariants.InstanceDied, Instance: g.index})
	_ = killed.handle.Kill() // fails only if the process has ended already
	<-killed.exited
	log.ObserveInstanceExit(g.index)
	if !wait(ctx, downtime) {
		return
	}
	_ = g.start(ctx) // a gateway that cannot be started stays down, which the clients' results show
}

// wait waits for a duration and reports whether it passed before ctx ended.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// stop ends the gateway by SIGTERM, and kills it if its graceful shutdown takes too long. It does nothing if
// the gateway was never started or has already ended.
func (g *gateway) stop() {
	stopped := g.expectExit()
	if stopped == nil {
		return
	}
	_ = stopped.handle.Signal(syscall.SIGTERM) // fails only if the process has ended already
	select {
	case <-stopped.exited:
	case <-time.After(stopTimeout):
		_ = stopped.handle.Kill() // likewise
		<-stopped.exited
	}
}
