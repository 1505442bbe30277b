package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestWarmStart_SurvivesRestarts checks that a gateway imports the warm-start state of the previous process, and that
// it refuses an incomplete file with a log entry and starts without it.
func TestWarmStart_SurvivesRestarts(t *testing.T) {
	folder := t.TempDir()
	settings := filepath.Join(folder, "config.json")
	operator := filepath.Join(folder, "op.toml")
	file := filepath.Join(folder, "state")
	writeFile(t, settings, fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3"))
	writeFile(t, operator, fmt.Sprintf("[learned]\nfile = %q\nevery = \"100ms\"\n", file))
	checkRunLogs(t, settings, operator, "")
	if _, err := os.Stat(file); err != nil {
		t.Fatal(err)
	}
	checkRunLogs(t, settings, operator, "state imported")
	text := readFile(t, file)
	writeFile(t, file, text[:len(text)/2])
	checkRunLogs(t, settings, operator, "state refused")
	checkRunLogs(t, settings, operator, "state imported") // the previous run has written a complete file
}

// checkRunLogs runs a gateway until it listens, and checks that it logs a message, unless that is empty, and exits
// without an error.
func checkRunLogs(t *testing.T, settings, operator, message string) {
	t.Helper()
	process := programCommand(t, "serve", "-c", settings, "--operator", operator)
	log := startWithLog(t, process)
	logged := false
	signaled := false
	for lines := bufio.NewScanner(log); lines.Scan(); {
		line := lines.Text()
		logged = logged || message != "" && strings.Contains(line, message)
		if !signaled && strings.Contains(line, "component=frontend") && strings.Contains(line, "listening") {
			signaled = true
			sendSignal(t, process, syscall.SIGTERM)
		}
	}
	if err := process.Wait(); err != nil || message != "" && !logged {
		t.Errorf("exit: %v; %q was logged: %t", err, message, logged)
	}
}
