package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a run that takes too long; a run may take 120 s.
const timeLimit = 112 * time.Second

// errNotRun reports that a case could not be run, so that nothing is known about the rule.
type errNotRun struct{ reason string }

func (e errNotRun) Error() string { return e.reason }

// world is the surroundings of one run of a case: its temporary folder, its record and the processes that it started.
type world struct {
	root    string // the repository
	dir     string // temporary folder
	host    string // loopback address of everything in this run
	trouble bool   // whether the disruption takes place
	began   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
	ports  map[int]bool
}

// newWorld opens the record in the folder of the case.
func newWorld(caseDir string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fawnplank-review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, dir: dir, host: "127.0.0.1", trouble: os.Getenv("TROUBLE") != "0",
		began: time.Now(), record: record, ports: map[int]bool{},
	}
	w.note("case %s, disruption: %v, machine: %s", filepath.Base(caseDir), w.trouble, runtime.GOARCH)
	return w, nil
}

// note writes a line with the time since the start of the run to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that are still running, and removes the folder. With KEEP=1 the folder stays.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// path returns a path in the temporary folder.
func (w *world) path(name string) string { return filepath.Join(w.dir, name) }

// writeFile writes a file in the temporary folder and returns its path.
func (w *world) writeFile(name, text string) string {
	path := w.path(name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(errNotRun{err.Error()})
	}
	return path
}

// freePort returns a port that nothing listens on, below those that the system gives to outgoing connections.
func (w *world) freePort() int {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if w.ports[port] {
			continue
		}
		w.ports[port] = true
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.host, port))
		if err != nil {
			continue
		}
		listener.Close()
		packets, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", w.host, port))
		if err != nil {
			continue
		}
		packets.Close()
		return port
	}
	panic(errNotRun{"no free port"})
}

// freeAddress returns a free port with the run's loopback address.
func (w *world) freeAddress() string { return fmt.Sprintf("%s:%d", w.host, w.freePort()) }

// proc is a process that the run started.
type proc struct {
	world *world
	name  string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	state *os.ProcessState
}

// start starts a command as the platform does: by /bin/sh -c from the root of the repository.
func (w *world) start(name, command string, environment ...string) *proc {
	logFile, err := os.OpenFile(w.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		panic(errNotRun{err.Error()})
	}
	p := &proc{world: w, name: name, cmd: cmd, ended: make(chan struct{})}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.note("%s: started, process %d: %s", name, cmd.Process.Pid, strings.ReplaceAll(command, w.dir, "DIR"))
	go func() {
		state, _ := cmd.Process.Wait()
		p.state = state
		w.note("%s: process %d ended: %v", name, cmd.Process.Pid, state)
		close(p.ended)
	}()
	return p
}

// signal sends a signal to the process.
func (p *proc) signal(signal syscall.Signal) {
	p.world.note("%s: %v", p.name, signal)
	_ = p.cmd.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (p *proc) kill() {
	if p.hasEnded() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *proc) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// awaitEnd reports whether the process ends within the time.
func (p *proc) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// log returns what the process has written so far.
func (p *proc) log() string {
	text, _ := os.ReadFile(p.world.path(p.name + ".log"))
	return string(text)
}

// deployRun returns the command of the key run in the deploy file.
func (w *world) deployRun() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		panic(errNotRun{"the deploy file has no run"})
	}
	return string(match[1])
}

// await calls condition until it holds, and fails the run if that takes longer than the limit.
func (w *world) await(what string, limit time.Duration, condition func() bool) {
	if !w.holdsWithin(limit, condition) {
		panic(errNotRun{fmt.Sprintf("not within %v: %s", limit, what)})
	}
	w.note("%s", what)
}

// holdsWithin reports whether condition holds within the limit.
func (w *world) holdsWithin(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// run runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func run(caseDir string, play func(w *world) (broken bool)) {
	w, err := newWorld(caseDir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	status := make(chan int, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				var notRun errNotRun
				if err, ok := cause.(error); ok && errors.As(err, &notRun) {
					w.note("could not run: %v", notRun.reason)
				} else {
					w.note("could not run: %v", cause)
				}
				status <- 2
			}
		}()
		if play(w) {
			status <- 1
		} else {
			status <- 0
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	result := 2
	select {
	case result = <-status:
	case <-stopped:
		w.note("could not run: stopped by a signal")
	case <-time.After(timeLimit):
		w.note("could not run: the time is up")
	}
	w.note("verdict: %s", []string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[result])
	w.close()
	os.Exit(result)
}
