// Package kit has what the cases share: processes, a record, and small stand-ins for clients, backends, discovery and
// the counter. Every stand-in follows the protocol page and listens on loopback only.
package kit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

// timeLimit ends a case that hangs. A case may take 120 seconds.
const timeLimit = 110 * time.Second

// Case is one run of a case: its record, its folder for temporary files and the processes that it has started.
type Case struct {
	Root    string // root of the repository
	Dir     string // temporary folder
	Trouble bool   // false with TROUBLE=0: the disruption is left out

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Proc
	ports  map[int]bool // returned by FreeAddress
}

type cannotRun struct{ reason string }

// Run runs a case and exits with its status. body returns whether the rule was broken, and a sentence on it.
func Run(body func(c *Case) (broken bool, verdict string)) {
	c := &Case{began: time.Now(), ports: map[int]bool{}, Trouble: os.Getenv("TROUBLE") != "0"}
	c.Root = os.Getenv("CASE_ROOT")
	var err error
	if c.record, err = os.Create(os.Getenv("CASE_RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusCannotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusCannotRun)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupts
		c.finish(statusCannotRun, "cannot run: interrupted")
	}()
	time.AfterFunc(timeLimit, func() {
		c.finish(statusCannotRun, "cannot run: time limit")
	})
	defer func() {
		if reason := recover(); reason != nil {
			if r, ok := reason.(cannotRun); ok {
				c.finish(statusCannotRun, "cannot run: "+r.reason)
			}
			c.finish(statusCannotRun, fmt.Sprintf("cannot run: %v", reason))
		}
	}()
	broken, verdict := body(c)
	if broken {
		c.finish(statusBroken, "RULE BROKEN: "+verdict)
	}
	c.finish(statusHeld, "rule held: "+verdict)
}

func (c *Case) finish(status int, text string) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.End()
	}
	c.Log("%s", text)
	fmt.Println(text)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.Dir)
	} else {
		fmt.Println("kept", c.Dir)
	}
	os.Exit(status)
}

// Now returns the time since the case began.
func (c *Case) Now() time.Duration { return time.Since(c.began) }

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", c.Now().Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
}

// Must ends the case as one that cannot run if err is not nil.
func (c *Case) Must(err error, doing string) {
	if err != nil {
		panic(cannotRun{doing + ": " + err.Error()})
	}
}

// CannotRun ends the case as one that cannot run.
func (c *Case) CannotRun(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

// WaitFor waits until condition holds, and ends the case as one that cannot run if it does not in time.
func (c *Case) WaitFor(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.CannotRun("waited %v for: %s", limit, what)
		}
	}
}

// Free ports are sought below those that the system gives to outgoing connections.
const (
	lowestPort  = 11000
	highestPort = 31000
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP and was not returned before.
func (c *Case) FreeAddress() string {
	for range 1000 {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		c.mu.Lock()
		taken := c.ports[port]
		c.ports[port] = true
		c.mu.Unlock()
		if !taken {
			return address
		}
	}
	c.CannotRun("no free port")
	return ""
}

// WriteFile writes a file into the case's folder and returns its path.
func (c *Case) WriteFile(name, content string, mode os.FileMode) string {
	path := filepath.Join(c.Dir, name)
	c.Must(os.MkdirAll(filepath.Dir(path), 0o700), "make a folder")
	c.Must(os.WriteFile(path, []byte(content), mode), "write a file")
	return path
}

// Proc is a process of the project.
type Proc struct {
	Name    string
	Pid     int
	c       *Case
	command *exec.Cmd
	done    chan struct{}
	logFile string
}

// Start starts a command line by /bin/sh -c from the root of the repository, as the platform does with the deploy
// file's run line. environment has the further variables.
func (c *Case) Start(name, commandLine string, environment ...string) *Proc {
	p := &Proc{Name: name, c: c, done: make(chan struct{}), logFile: filepath.Join(c.Dir, name+".log")}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err, "open a log")
	p.command = exec.Command("/bin/sh", "-c", commandLine)
	p.command.Dir = c.Root
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	c.Must(p.command.Start(), "start "+name)
	log.Close()
	p.Pid = p.command.Process.Pid
	go func() {
		_ = p.command.Wait()
		c.Log("process %s (pid %d) ended: %s", name, p.Pid, p.command.ProcessState)
		close(p.done)
	}()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Log("started %s (pid %d): %s", name, p.Pid, strings.ReplaceAll(commandLine, c.Dir, "DIR"))
	return p
}

// Signal sends a signal to the process.
func (p *Proc) Signal(signal syscall.Signal) {
	p.c.Log("%v to %s", signal, p.Name)
	_ = p.command.Process.Signal(signal)
}

// End kills the process, if it still runs, and waits for its end.
func (p *Proc) End() {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.done
}

// Done is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// LogLines returns the lines of the process's log that contain text.
func (p *Proc) LogLines(text string) []string {
	content, _ := os.ReadFile(p.logFile)
	var lines []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Command runs a command line of the project to its end and returns its output.
func (c *Case) Command(limit time.Duration, args ...string) (string, error) {
	command := exec.Command(filepath.Join(c.Root, "bin/fawnplank"), args...)
	command.Dir = c.Root
	timer := time.AfterFunc(limit, func() { _ = command.Process.Kill() })
	defer timer.Stop()
	output, err := command.CombinedOutput()
	return strings.TrimSpace(string(output)), err
}

// WaitForPong waits until a front door answers PING with PONG, as the platform does before it takes one in.
func WaitForPong(c *Case, address string) {
	c.WaitFor(20*time.Second, "PONG from the front door", func() bool {
		client, err := c.Dial(address)
		if err != nil {
			return false
		}
		defer client.Close()
		return client.Ping()
	})
}
