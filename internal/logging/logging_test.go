package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestEntriesAreFields(t *testing.T) {
	defer Setup(logrus.StandardLogger().Out, "info", "text", "")
	var out bytes.Buffer
	if err := Setup(&out, "info", "json", "n3"); err != nil {
		t.Fatal(err)
	}
	For("counter").Debug("unseen")
	For("counter").WithError(errors.New("line 1\nline 2")).WithField(Backend, "s-1").Warn("silent")
	Panicked("front", "index out of range", []byte("goroutine 1\n"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines for two entries: %q", len(lines), lines)
	}
	var e map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &e); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]any{"component": "counter", "door": "n3", "backend": "s-1", "event": "silent", "level": "warning", "error": "line 1\nline 2"} {
		if e[key] != want {
			t.Errorf("%s is %v, want %v", key, e[key], want)
		}
	}
	if json.Unmarshal([]byte(lines[1]), &e); e["event"] != "panic" || e["stack"] != "goroutine 1\n" {
		t.Error(e)
	}
	out.Reset()
	Setup(&out, "warning", "text", "n3")
	For("front").Info("unseen")
	For("front").Warn("seen")
	if text := out.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "component=front") || !strings.Contains(text, "door=n3") {
		t.Errorf("%q", text)
	}
	for _, bad := range [][2]string{{"loud", "text"}, {"info", "xml"}, {"", "text"}} {
		if err := Setup(&out, bad[0], bad[1], ""); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}
