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

// The warm-start state of a gateway is there for the next process, and a file that is not complete is
// refused with a log entry, without harm.
func TestWarmStart_OverRestarts(t *testing.T) {
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
	checkRunLogs(t, settings, operator, "state imported") // written anew
}

// checkRunLogs runs a gateway until it listens, and checks that it logs a phrase, if any, and exits without
// an error.
func checkRunLogs(t *testing.T, settings, operator, phrase string) {
	t.Helper()
	process := program(t, "serve", "-c", settings, "--operator", operator)
	log := startWithLog(t, process)
	logged := false
	signaled := false
	for lines := bufio.NewScanner(log); lines.Scan(); {
		line := lines.Text()
		logged = logged || phrase != "" && strings.Contains(line, phrase)
		if !signaled && strings.Contains(line, "component=frontend") && strings.Contains(line, "listening") {
			signaled = true
			sendSignal(t, process, syscall.SIGTERM)
		}
	}
	if err := process.Wait(); err != nil || phrase != "" && !logged {
		t.Errorf("%v; %q was logged: %t", err, phrase, logged)
	}
}
