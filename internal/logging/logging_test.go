package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// restoreLogAfterTest restores the process-wide log at the end of the test.
func restoreLogAfterTest(t *testing.T) {
	t.Helper()
	output := logrus.StandardLogger().Out
	t.Cleanup(func() {
		if err := Setup(Options{Output: output, Level: "info", Format: "text"}); err != nil {
			t.Error(err)
		}
	})
}

// setUpForTest sets up the log until the end of the test, and returns the buffer to which entries are written.
func setUpForTest(t *testing.T, options Options) *bytes.Buffer {
	t.Helper()
	restoreLogAfterTest(t)
	out := &bytes.Buffer{}
	options.Output = out
	if err := Setup(options); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestSetup_JSONEntryHasFields(t *testing.T) {
	out := setUpForTest(t, Options{Level: "info", Format: "json", Instance: "n3"})
	For("counter").Debug("unseen")
	For("counter").WithError(errors.New("line 1\nline 2")).WithField(Backend, "s-1").Warn("silent")
	LogPanic("frontend", "index out of range", []byte("goroutine 1\n"))

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines for two entries: %q", len(lines), lines)
	}
	var entry map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &entry); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]any{
		"component": "counter",
		"instance":  "n3",
		"backend":   "s-1",
		"event":     "silent",
		"level":     "warning",
		"error":     "line 1\nline 2",
	} {
		if entry[key] != want {
			t.Errorf("%s is %v, want %v", key, entry[key], want)
		}
	}
	if err := json.Unmarshal([]byte(lines[1]), &entry); err != nil {
		t.Fatal(err)
	}
	if entry["event"] != "panic" || entry["stack"] != "goroutine 1\n" {
		t.Error(entry)
	}
}

func TestSetup_TextEntryHasInstance(t *testing.T) {
	out := setUpForTest(t, Options{Level: "warning", Format: "text", Instance: "n3"})
	For("frontend").Info("unseen")
	For("frontend").Warn("seen")
	text := out.String()
	if strings.Count(text, "\n") != 1 || !strings.Contains(text, "component=front") ||
		!strings.Contains(text, "instance=n3") {
		t.Errorf("%q", text)
	}
}

func TestSetup_RejectsUnknownOptions(t *testing.T) {
	restoreLogAfterTest(t)
	for _, o := range []Options{
		{Level: "loud", Format: "text"},
		{Level: "info", Format: "xml"},
		{Level: "", Format: "text"},
	} {
		o.Output = &bytes.Buffer{}
		if err := Setup(o); err == nil {
			t.Errorf("no error for %+v", o)
		}
	}
}
