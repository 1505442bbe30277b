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

// What a door learned is there for the next life, and a file that is not whole is refused aloud, without harm.
func TestLearnedStateOverARestart(t *testing.T) {
	folder := t.TempDir()
	config, operator, file := filepath.Join(folder, "config.json"), filepath.Join(folder, "op.toml"), filepath.Join(folder, "learned")
	os.WriteFile(config, []byte(fmt.Sprintf(configuration, freeAddress(t), "127.0.0.1:2", "127.0.0.1:3")), 0o600)
	os.WriteFile(operator, []byte(fmt.Sprintf("[learned]\nfile = %q\nevery = \"100ms\"\n", file)), 0o600)
	life := func(says string) {
		t.Helper()
		c := program("serve", "-c", config, "--operator", operator)
		log, _ := c.StderrPipe()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		defer c.Process.Kill()
		said, told := false, false
		for lines := bufio.NewScanner(log); lines.Scan(); {
			said = said || says != "" && strings.Contains(lines.Text(), says)
			if strings.Contains(lines.Text(), "component=front") && strings.Contains(lines.Text(), "listens") && !told {
				told = true
				c.Process.Signal(syscall.SIGTERM)
			}
		}
		if err := c.Wait(); err != nil || says != "" && !said {
			t.Errorf("%v; %q was said: %t", err, says, said)
		}
	}
	life("")
	if _, err := os.Stat(file); err != nil {
		t.Fatal(err)
	}
	life("taken over")
	text, _ := os.ReadFile(file)
	os.WriteFile(file, text[:len(text)/2], 0o600)
	life("refused; the door starts afresh")
	life("taken over") // written anew
}
