package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestCheckAndServe_AgreeOnOperatorFiles checks that both commands, which share one reader, refuse the same operator
// files with the same error text.
func TestCheckAndServe_AgreeOnOperatorFiles(t *testing.T) {
	folder := t.TempDir()
	settings := filepath.Join(folder, "config.json")
	operator := filepath.Join(folder, "op.toml")
	writeFile(t, settings, fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3"))
	for text, want := range map[string]string{
		"[limits]\nlisten = \"127.0.0.1:1":   "op.toml:2: ",
		"[limits]\nlisten = 3":               "op.toml:2: ",
		"limits = 3":                         "op.toml:1: ",
		"[limits]\nspeed = 3":                "op.toml:2: unknown key limits.speed",
		"[log]\nlevel=\"info\"\nlevel=\"x\"": "op.toml:3: log.level stands twice",
		"[counter]\nprotocol = \"smoke\"":    "op.toml:2: counter.protocol is \"smoke\"",
	} {
		writeFile(t, operator, text)
		var outputs []string
		for _, args := range []string{
			"check " + operator,
			"check -c " + settings + " --operator " + operator,
			"serve -c " + settings + " --operator " + operator,
		} {
			out, err := runProgram(t, strings.Fields(args)...)
			if err == nil || !strings.Contains(out, want) {
				t.Errorf("%s with %q: %v, %q", args, text, err, out)
			}
			outputs = append(outputs, out)
		}
		if outputs[0] != outputs[1] || outputs[1] != outputs[2] {
			t.Errorf("%q: the commands print different errors: %q", text, outputs)
		}
	}
	writeFile(t, operator, "")
	for _, args := range []string{
		"check " + operator,
		"check -c " + settings + " --operator " + operator,
		"check ../../deploy/fawnplank.toml",
	} {
		if out, err := runProgram(t, strings.Fields(args)...); err != nil || !strings.Contains(out, "in order") {
			t.Errorf("%s: %v, %q", args, err, out)
		}
	}
}

// logReader reads the log entries of a process that logs in JSON.
type logReader struct {
	instance string // the instance name that each entry must have
	entries  chan map[string]any
}

// startLogged starts a process and reads its log.
func startLogged(t *testing.T, process *exec.Cmd, instance string) *logReader {
	t.Helper()
	log := startWithLog(t, process)
	r := &logReader{instance: instance, entries: make(chan map[string]any, 100)}
	go func() {
		defer close(r.entries)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			var entry map[string]any
			if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
				entry = map[string]any{"event": "invalid JSON: " + lines.Text()}
			}
			r.entries <- entry
		}
	}()
	return r
}

// wait reads log entries up to the given event of a component, and returns that entry.
func (r *logReader) wait(t *testing.T, component, event string) map[string]any {
	t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case entry, ok := <-r.entries:
			if !ok {
				t.Fatalf("the log ended before %s: %s", component, event)
			}
			if entry["instance"] != r.instance || entry["component"] == nil {
				t.Errorf("log entry without component or with the wrong instance: %v", entry)
			}
			if entry["component"] == component && entry["event"] == event {
				return entry
			}
		case <-timeout:
			t.Fatalf("no log entry %s: %s", component, event)
		}
	}
}

// checkAnswer sends a command on a new connection, and checks the beginning of the answer.
func checkAnswer(t *testing.T, address, text, want string) {
	t.Helper()
	conn := dial(t, address)
	defer closeIgnoringError(conn)
	setDeadline(conn, 3*time.Second)
	send(conn, text)
	got, _ := bufio.NewReader(conn).ReadString('\n') // on an error the line is incomplete
	if !strings.HasPrefix(got, want) {
		t.Errorf("%q: %q, want %q", text, got, want)
	}
}

// TestServe_LimitCommands checks that a gateway with limit commands admits a check, that clients cannot send requests
// of the internal class limit.check, and that a reload with an invalid operator file changes nothing and is counted.
func TestServe_LimitCommands(t *testing.T) {
	folder := t.TempDir()
	settings := filepath.Join(folder, "config.json")
	operator := filepath.Join(folder, "op.toml")
	clientAddress, limitsAddress, managementAddress := freeAddress(t), freeAddress(t), freeAddress(t)
	text := fmt.Sprintf(configuration, clientAddress, "127.0.0.1:2", "127.0.0.1:3")
	writeFile(t, settings, strings.Replace(text, `"name":"n0"`, `"name":"n0","mgmt":"`+managementAddress+`"`, 1))
	validOperator := fmt.Sprintf("[limits]\nlisten = %q\n[log]\nformat = \"json\"\n", limitsAddress)
	writeFile(t, operator, validOperator)
	process := programCommand(t, "serve", "-c", settings, "--operator", operator)
	log := startLogged(t, process, "n0")
	if entry := log.wait(t, "limits", "listening"); entry["address"] != limitsAddress {
		t.Error(entry)
	}
	log.wait(t, "frontend", "listening")
	const check = "*3\r\n$11\r\nLIMIT.CHECK\r\n$16\r\n0000000000000005\r\n$4\r\nteam\r\n"
	checkAnswer(t, limitsAddress, check, "*5")
	checkAnswer(t, limitsAddress, strings.Replace(check, "team", "gold", 1), "-ERR no plan 'gold'")
	checkAnswer(t, clientAddress, request("1", "c=limit.check,t=team,d=1400"), "-ERR c has no meaning")

	writeFile(t, operator, "[limits]\nlisten = \"nowhere\"\n")
	sendSignal(t, process, syscall.SIGHUP)
	entry := log.wait(t, "config", "configuration not reloaded")
	if !strings.Contains(fmt.Sprint(entry["error"]), "op.toml:2: limits.listen") {
		t.Error(entry)
	}
	checkAnswer(t, limitsAddress, check, "*5")
	writeFile(t, operator, validOperator+"level = \"debug\"\n")
	sendSignal(t, process, syscall.SIGHUP)
	log.wait(t, "config", "operator file changes need a restart")
	log.wait(t, "config", "configuration reloaded")
	checkAnswer(t, limitsAddress, check, "*5")
	checkStats(t, managementAddress, "gw_reload_failure 1", "gw_reload_success 1", "gw_limit_checks_granted 3",
		"gw_limit_faults 1", "gw_counter_outage_seconds 0", "gw_quota_drift_units 0", "gw_counter_breaker_open 0")
	sendSignal(t, process, syscall.SIGTERM)
	log.wait(t, "frontend", "stopped")
	if err := process.Wait(); err != nil {
		t.Error(err)
	}
}

// checkStats checks that the metrics at a management address contain all of the lines.
func checkStats(t *testing.T, managementAddress string, lines ...string) {
	t.Helper()
	url := "http://" + managementAddress + "/admin/stats"
	statsRequest, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(statsRequest)
	if err != nil {
		t.Fatal(err)
	}
	defer closeIgnoringError(response.Body)
	stats, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range lines {
		if !strings.Contains(string(stats), line+"\n") {
			t.Errorf("the metrics lack %q", line)
		}
	}
}
