package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// operatorFiles maps texts of operator files to a part of the expected error, or to "" for a valid file.
var operatorFiles = map[string]string{
	"": "", "[limits]\nlisten = \"127.0.0.1:1\"\n": "",
	"[limits]\nlisten = \"nowhere\"\n":             ":2: limits.listen is \"nowhere\"",
	"[limits]\nlisten = 3\n":                       ":2: ",
	"[limits]\nlistn = \"127.0.0.1:1\"\n":          ":2: unknown key limits.listn",
	"[limits]\nconnections = 0\n":                  ":2: limits.connections",
	"[limits]\nconnections = 1\nconnections = 2\n": ":3: limits.connections stands twice",
	"[limits]\nanswer_within = \"soon\"\n":         ":2: ",
	"[limits]\nanswer_within = \"2h\"\n":           ":2: limits.answer_within",
	"[counter]\nprotocol = \"http\"\n":             ":2: counter.protocol is \"http\"",
	"[counter]\nprotocol = \"re":                   ":2: ",
	"[limits\n":                                    ":1: ",
	"[store]\ndir = \"x\"\n":                       ": unknown key",
	"[log]\nformat = \"xml\"\n":                    ":2: log.format is \"xml\"",
	"[learned]\nevery = \"1ms\"\n":                 ":2: learned.every",
	"[billing]\non = true\nwindow = \"1ms\"\n":     ":3: billing.window is not from 1s to",
	"[billing]\nexport_folder = \"/nowhere\"\n": ":2: billing.export_folder is \"/nowhere\", " +
		"which is no folder",
	"[billing]\nexport_url = \"ftp://x\"\n":                          ":2: billing.export_url is \"ftp://x\"",
	"[billing]\nexport_url = \"http://x\"\nexport_folder=\"/tmp\"\n": ":2: billing.export_url stands beside",
	"[[limits.key]]\nname = \"a\"\nsecret_file = \"/nowhere\"\n":     ":3: limits.key[0].secret_file cannot be read",
	"[[limits.key]]\nsecret_file = \"/nowhere\"\n":                   ":1: limits.key[0].name",
	"[limits]\ntls_certificate = \"/nowhere\"\n":                     ":2: limits.tls_certificate cannot be used",
	"[log]\nlevel = \"loud\"\n":                                      ":2: log.level is \"loud\"",
	"[log]\nformat = \"json\"\nlevel = \"debug\"\n[counter]\n":       "",
	"[limits]\nanswer_within = \"100ms\"\nlisten = \"[::1]:99\"\n":   "",
}

func TestReadOperatorSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "op.toml")
	read := func(t *testing.T, text string) (*OperatorSettings, error) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadOperatorSettings(path)
	}
	for text, want := range operatorFiles {
		o, err := read(t, text)
		if want == "" && err != nil {
			t.Errorf("%q: %v", text, err)
		}
		if want != "" && (err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err == nil && (o.LimitCommands.MaxConnections != 64 || o.Counter.Protocol != "text") {
			t.Errorf("%q: %+v", text, o)
		}
	}
	if o, err := ReadOperatorSettings(""); err != nil || o.LimitCommands.Listen != "" {
		t.Error(o, err)
	}
	if _, err := ReadOperatorSettings(path + ".none"); err == nil || !strings.Contains(err.Error(), "operator file") {
		t.Error(err)
	}
	if _, err := ReadOperatorSettings("../../deploy/fawnplank.toml"); err != nil {
		t.Error(err)
	}
}

// TestConfig_CheckOnlyClassKeepsID checks that the class of the limit commands gets an id after the classes of the
// platform, and keeps it across a reload.
func TestConfig_CheckOnlyClassKeepsID(t *testing.T) {
	c := parseValid(t, validConfig)
	o, err := ReadOperatorSettings("")
	if err != nil {
		t.Fatal(err)
	}
	if c.AddCheckOnlyClass(o); len(c.Classes) != 1 {
		t.Error("a class was added although the limit commands have no address")
	}
	if _, ok := c.CheckOnlyClass(); ok {
		t.Error("CheckOnlyClass returns a class although the limit commands are disabled")
	}

	o.LimitCommands.Listen = "127.0.0.1:1"
	c.AddCheckOnlyClass(o)
	id, ok := c.CheckOnlyClass()
	if !ok || id != 1 || !c.Settings.Classes[1].CheckOnly || c.Settings.Classes[1].Deadline != 750e6 {
		t.Errorf("%v %+v", id, c.Settings.Classes)
	}

	reloaded := parseValid(t, strings.Replace(validConfig, `"deadline-ms": 2000`, `"deadline-ms": 3000`, 1))
	reloaded.AddCheckOnlyClass(o)
	reloaded.KeepIDs(c)
	if reloadedID, ok := reloaded.CheckOnlyClass(); !ok || reloadedID != id ||
		!reloaded.Settings.Classes[reloadedID].CheckOnly {
		t.Errorf("the class id changed in a reload, to %v", reloadedID)
	}
}
