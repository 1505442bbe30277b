// Package rig plays a scenario on sockets: it starts the stand-ins and the real front doors as processes, lets the
// load tool ask, kills and starts doors where the scenario says so, and gives the results. All addresses are on
// loopback; every process that it started has ended when it returns.
package testbed

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/lab/emulator"
	"fawnplank/internal/lab/invariants"
	"fawnplank/internal/lab/load"
	"fawnplank/internal/lab/results"
	"fawnplank/internal/lab/scenario"
)

// Options are what a run on sockets needs beside its scenario.
type Options struct {
	Door []string // the front door's program and its first words; "serve -c FILE" is added
	Env  []string // added to the doors' environment
	Logs string   // folder that the doors' logs go to; empty: a folder that is dropped
}

// slack is what an event may be late here for being seen at the far end of a socket, on a machine that does other
// work too: the platform's own allowance for sockets.
const slack = int64(50e6)

// door is one front door's process.
type door struct {
	n        int
	address  string
	config   string
	words    []string
	operator string // the operator file; empty: none
	env      []string
	log      string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	wanted   bool // it is meant to run
}

// Run plays a scenario on sockets. It ends early, with an error, when ctx does or a door ends by itself.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*results.Run, error) {
	terms, err := s.EngineSettings(0)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	folder, err := os.MkdirTemp("", "fawnplank-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	logs := folder
	if o.Logs != "" {
		if logs = o.Logs; os.MkdirAll(logs, 0o755) != nil {
			return nil, fmt.Errorf("%s: cannot be made", logs)
		}
	}
	log := results.NewLog(results.New(s, terms, slack))
	outside, err := emulator.Start(s, log)
	if err != nil {
		return nil, err
	}
	defer outside.Close()
	var doors []*door
	defer func() {
		for _, d := range doors {
			d.stop()
		}
	}()
	var addresses []string
	for n := range s.Instances.Count {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		text, err := outside.InstanceConfig(n, address)
		if err != nil {
			return nil, err
		}
		operator, err := operate(folder, n, s, outside)
		if err != nil {
			return nil, err
		}
		d := &door{n: n, address: address, config: filepath.Join(folder, fmt.Sprintf("d%d.json", n)), words: o.Door, env: o.Env,
			log: filepath.Join(logs, fmt.Sprintf("d%d.log", n)), operator: operator}
		if err := os.WriteFile(d.config, text, 0o600); err != nil {
			return nil, err
		}
		doors, addresses = append(doors, d), append(addresses, address)
		if err := d.start(); err != nil {
			return nil, err
		}
	}
	for _, d := range doors {
		if err := d.ready(ctx, 10*time.Second); err != nil {
			return nil, err
		}
	}
	log.Begin()
	stop := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(stop) }) }
	defer end()
	go func() {
		select {
		case <-ctx.Done():
			end()
		case <-stop:
		}
	}()
	outside.PlayFaults()
	crashed := make(chan error, len(doors))
	for _, d := range doors {
		go d.watch(stop, crashed)
	}
	var restarts sync.WaitGroup
	for _, f := range s.Faults {
		if f.Kind != scenario.InstanceRestart {
			continue
		}
		for i, n := range s.Targets(f) {
			restarts.Add(1)
			go func() {
				defer restarts.Done()
				doors[n].restart(log, stop, time.Duration(f.At+scenario.Span(i)*f.Stagger), time.Duration(f.Duration))
			}()
		}
	}
	tool := load.New(s, log, addresses)
	tool.Run(stop)
	end()
	restarts.Wait()
	run := log.Finish()
	run.LagP50, run.LagP99 = tool.Lag()
	select {
	case err := <-crashed:
		return run, err
	default:
	}
	return run, ctx.Err()
}

// operate writes the operator file of front door n, where the scenario asks for what only such a file sets; a door
// that takes its backends from DNS gets its zone file, and updates from then on.
func operate(folder string, n int, s *scenario.Scenario, outside *emulator.Emulator) (string, error) {
	text := ""
	if s.Counter.Protocol == "resp" {
		text += "[counter]\nprotocol = \"resp\"\n"
	}
	own := func(name string) string { return filepath.Join(folder, fmt.Sprintf("d%d.%s", n, name)) }
	if s.Discovery.Source == "dns" {
		at, err := FreeAddress()
		if err != nil {
			return "", err
		}
		secret := []byte(fmt.Sprintf("secret of the laboratory, door %4d", n))
		text += fmt.Sprintf("[dns]\nzone_file = %q\norigin = %q\nservice = %q\njournal = %q\nlisten = %q\n[[dns.key]]\nname = \"lab.\"\nsecret_file = %q\n",
			own("zone"), emulator.ZoneOrigin, emulator.ZoneService, own("journal"), at, own("key"))
		for name, x := range map[string]string{"zone": outside.ZoneFile(), "key": base64.StdEncoding.EncodeToString(secret)} {
			if err := os.WriteFile(own(name), []byte(x), 0o600); err != nil {
				return "", err
			}
		}
		key, err := dnsserver.ReadKey("lab.", "hmac-sha256", own("key"))
		if err != nil {
			return "", err
		}
		outside.SendUpdates(n, at, key)
	}
	if text == "" {
		return "", nil
	}
	return own("toml"), os.WriteFile(own("toml"), []byte(text), 0o600)
}

// FreeAddress finds an address that nobody listens on: on a loopback address of its own, since the ports of 127.0.0.1 are
// taken by others' connections between the moment it is found and the moment it is used.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (d *door) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	words := append(append([]string(nil), d.words...), "serve", "-c", d.config)
	if d.operator != "" {
		words = append(words, "--operator", d.operator)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), d.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the laboratory
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("front door %d: %w", d.n, err)
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.wanted = cmd, exited, true
	d.mu.Unlock()
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

// ready waits until the door answers a PING.
func (d *door) ready(ctx context.Context, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		select {
		case <-d.exited:
			return fmt.Errorf("front door %d ended: %s", d.n, d.said())
		case <-ctx.Done():
			return fmt.Errorf("front door %d does not answer within %v: %s", d.n, patience, d.said())
		default:
		}
		if c, err := net.DialTimeout("tcp", d.address, 200*time.Millisecond); err == nil {
			c.SetDeadline(time.Now().Add(500 * time.Millisecond))
			c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
			answer := make([]byte, 7)
			n, _ := c.Read(answer)
			c.Close()
			if bytes.HasPrefix(answer[:n], []byte("+PONG")) {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// said is the end of the door's log.
func (d *door) said() string {
	text, _ := os.ReadFile(d.log)
	return string(bytes.TrimSpace(text[max(len(text)-400, 0):]))
}

// watch tells when the door ends without being told to.
func (d *door) watch(stop <-chan struct{}, crashed chan<- error) {
	for {
		d.mu.Lock()
		exited := d.exited
		d.mu.Unlock()
		select {
		case <-stop:
			return
		case <-exited:
		}
		d.mu.Lock()
		wanted := d.wanted && d.exited == exited
		d.mu.Unlock()
		if wanted {
			crashed <- fmt.Errorf("front door %d crashed: %s", d.n, d.said())
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// restart kills the door outright, and starts it anew after a time.
func (d *door) restart(log *results.Log, stop <-chan struct{}, at, down time.Duration) {
	select {
	case <-stop:
		return
	case <-time.After(at):
	}
	d.mu.Lock()
	d.wanted = false
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	log.Observe(invariants.Event{Kind: invariants.InstanceDied, Instance: d.n})
	cmd.Process.Kill()
	<-exited
	select {
	case <-stop:
		return
	case <-time.After(down):
	}
	d.start()
}

// stop ends the door: by SIGTERM, and outright if that takes too long.
func (d *door) stop() error {
	d.mu.Lock()
	d.wanted = false
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return nil
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return nil
	case <-time.After(5 * time.Second):
		cmd.Process.Kill()
		<-exited
		return errors.New("killed")
	}
}
