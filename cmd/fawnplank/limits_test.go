package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	// A loopback address of its own: the ports of 127.0.0.1 are taken by connections at any moment.
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// check and serve go by the same reader: what one refuses the other does, in the same words.
func TestCheckAndServeAgreeOnOperatorFiles(t *testing.T) {
	folder := t.TempDir()
	config, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "op.toml")
	os.WriteFile(config, []byte(fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3")), 0o600)
	for text, want := range map[string]string{
		"[limits]\nlisten = \"127.0.0.1:1":   "op.toml:2: ",
		"[limits]\nlisten = 3":               "op.toml:2: ",
		"limits = 3":                         "op.toml:1: ",
		"[limits]\nspeed = 3":                "op.toml:2: unknown key limits.speed",
		"[log]\nlevel=\"info\"\nlevel=\"x\"": "op.toml:3: log.level stands twice",
		"[counter]\nprotocol = \"smoke\"":    "op.toml:2: counter.protocol is \"smoke\"",
	} {
		os.WriteFile(operator, []byte(text), 0o600)
		var said []string
		for _, words := range []string{"check " + operator, "check -c " + config + " --operator " + operator, "serve -c " + config + " --operator " + operator} {
			out, err := program(strings.Fields(words)...).CombinedOutput()
			if err == nil || !strings.Contains(string(out), want) {
				t.Errorf("%s with %q: %v, %q", words, text, err, out)
			}
			said = append(said, string(out))
		}
		if said[0] != said[1] || said[1] != said[2] {
			t.Errorf("%q is refused in different words: %q", text, said)
		}
	}
	os.WriteFile(operator, nil, 0o600)
	for _, words := range []string{"check " + operator, "check -c " + config + " --operator " + operator, "check ../../deploy/fawnplank.toml"} {
		if out, err := program(strings.Fields(words)...).CombinedOutput(); err != nil || !strings.Contains(string(out), "in order") {
			t.Errorf("%s: %v, %q", words, err, out)
		}
	}
}

// A front door with limit commands: a tool's check is granted, no client can take a transaction of the profile
// that only counts, and a reload with a faulty operator file changes nothing and is counted.
func TestServeWithLimitCommands(t *testing.T) {
	folder := t.TempDir()
	config, operator := filepath.Join(folder, "config.json"), filepath.Join(folder, "op.toml")
	front, limits, mgmt := freeAddress(t), freeAddress(t), freeAddress(t)
	text := fmt.Sprintf(configuration, front, "127.0.0.1:2", "127.0.0.1:3")
	os.WriteFile(config, []byte(strings.Replace(text, `"name":"n0"`, `"name":"n0","mgmt":"`+mgmt+`"`, 1)), 0o600)
	good := fmt.Sprintf("[limits]\nlisten = %q\n[log]\nformat = \"json\"\n", limits)
	os.WriteFile(operator, []byte(good), 0o600)
	c := program("serve", "-c", config, "--operator", operator)
	log, _ := c.StderrPipe()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	entries := make(chan map[string]any, 100)
	go func() {
		defer close(entries)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			var e map[string]any
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				e = map[string]any{"event": "no JSON: " + lines.Text()}
			}
			entries <- e
		}
	}()
	wait := func(component, event string) map[string]any {
		t.Helper()
		for late := time.After(5 * time.Second); ; {
			select {
			case e, ok := <-entries:
				if !ok {
					t.Fatalf("the log ended before %s: %s", component, event)
				}
				if e["door"] != "n0" || e["component"] == nil {
					t.Errorf("an entry without its fields: %v", e)
				}
				if e["component"] == component && e["event"] == event {
					return e
				}
			case <-late:
				t.Fatalf("no entry %s: %s", component, event)
			}
		}
	}
	if e := wait("limits", "listens"); e["address"] != limits {
		t.Error(e)
	}
	wait("front", "listens")
	ask := func(address, text, want string) {
		t.Helper()
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		io.WriteString(conn, text)
		if got, _ := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
	const check = "*3\r\n$11\r\nLIMIT.CHECK\r\n$16\r\n0000000000000005\r\n$4\r\nteam\r\n"
	ask(limits, check, "*5")
	ask(limits, strings.Replace(check, "team", "gold", 1), "-ERR no plan 'gold'")
	ask(front, "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000005\r\n$1\r\n1\r\n$27\r\nc=limit.check,t=team,d=1400\r\n", "-ERR c has no meaning")
	os.WriteFile(operator, []byte("[limits]\nlisten = \"nowhere\"\n"), 0o600)
	c.Process.Signal(syscall.SIGHUP)
	if e := wait("config", "not reloaded, the old configuration stays"); !strings.Contains(fmt.Sprint(e["error"]), "op.toml:2: limits.listen") {
		t.Error(e)
	}
	ask(limits, check, "*5")
	os.WriteFile(operator, []byte(good+"level = \"debug\"\n"), 0o600)
	c.Process.Signal(syscall.SIGHUP)
	wait("config", "changes of the operator file take effect at a restart")
	wait("config", "reloaded")
	ask(limits, check, "*5")
	r, err := http.Get("http://" + mgmt + "/admin/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	stats, _ := io.ReadAll(r.Body)
	for _, want := range []string{"gw_reload_failure 1", "gw_reload_success 1", "gw_limit_checks_granted 3", "gw_limit_faults 1",
		"gw_counter_outage_seconds 0", "gw_quota_drift_units 0", "gw_counter_breaker_open 0"} {
		if !strings.Contains(string(stats), want+"\n") {
			t.Errorf("%q is lacking in the figures", want)
		}
	}
	c.Process.Signal(syscall.SIGTERM)
	wait("front", "stopped")
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
