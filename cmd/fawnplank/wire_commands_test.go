package main

import (
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// runWire runs the program in a folder, with only the given environment, and returns its output and exit status for a
// golden file. The folder's path and the names of Go types and fields are replaced in the output.
func runWire(t *testing.T, folder string, environment []string, words ...string) []string {
	t.Helper()
	command := programCommand(t, words...)
	command.Dir = folder
	command.Env = append([]string{"FAWNPLANK_AS_MAIN=1"}, environment...)
	out, err := command.CombinedOutput()
	state := "succeeds"
	if err != nil {
		state = err.Error()
	}
	text := goTypeName.ReplaceAllString(strings.ReplaceAll(string(out), folder, "<folder>"), "${1}<type>")
	return []string{transcriptLine("<", goFieldName.ReplaceAllString(text, "struct field <field> of type <type>")), state}
}

// The error texts of the JSON and TOML decoders contain names of the program's types and fields, which may be renamed.
var (
	goTypeName  = regexp.MustCompile(`(Go value of type )[a-zA-Z.]+`)
	goFieldName = regexp.MustCompile(`struct field [a-zA-Z.]+ of type [a-zA-Z.]+`)
)

// invalidSettings are replacements in wireSettings; the command check refuses each result.
var invalidSettings = []struct{ old, invalid string }{
	{`"name":"n0",`, ``},
	{`"name":"n0"`, `"name":0`},
	{`"listen":"127.0.0.1:1",`, ``},
	{`"listen":"127.0.0.1:1"`, `"listen":"nowhere"`},
	{`"discovery":"127.0.0.1:3",`, ``},
	{`"discovery":"127.0.0.1:3"`, `"discovery":"x:"`},
	{`"counter":"127.0.0.1:4",`, ``},
	{`"counter":"127.0.0.1:4"`, `"counter":1`},
	{`"mgmt":"127.0.0.1:2"`, `"mgmt":"x"`},
	{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`},
	{`"seed":"8c1f30d27a5be964",`, ``},
	{`"sockets":256`, `"sockets":63`},
	{`"sockets":256`, `"sockets":0`},
	{`"memory_mb":64`, `"memory_mb":-1`},
	{`"memory_mb":64`, `"memory_mb":"x"`},
	{`"limits":{"memory_mb":64,"sockets":256}`, `"limits":1`},
	{`"settings":{`, `"nothing":{`},
	{`"me":0`, `"me":"x"`},
	{`"me":0,`, ``},
	{`"replicas-of-me":2,`, ``},
	{`"zones":["a"]`, `"zones":[1]`},
	{`"zones":["a"]`, `"zones":"a"`},
	{`"permissions":{`, `"nothing":{`},
	{`"send-cap":3`, `"send-cap":0`},
	{`"send-cap":3,`, ``},
	{`"second-copies":false`, `"second-copies":1`},
	{`"probes":true`, `"probes":"x"`},
	{`"retry-after":true`, `"retry-after":0`},
	{`"max-retry-after-ms":900`, `"max-retry-after-ms":"x"`},
	{`"max-retry-after-ms":900`, `"conn-idle-ms":0`},
	{`"max-retry-after-ms":900`, `"connect-timeout-ms":-5`},
	{`"invariants":{`, `"nothing":{`},
	{`"cold-share":0.2,`, ``},
	{`"warm-up-ms":9000`, `"warm-up-ms":"x"`},
	{`"tip-multiple":2,`, ``},
	{`"fall-ms":1000`, `"fall-ms":[]`},
	{`"fall-ms":1000`, `"fall-ms":1000,"stop-sending-within-ms":0`},
	{`"max-units":8`, `"max-units":0`},
	{`"may-count":true`, `"may-count":1`},
	{`"lanes":[`, `"nothing":[`},
	{`{"name":"lookup"`, `1,{"name":"lookup"`},
	{`{"name":"lookup"`, `{"name":1`},
	{`"goal-time-ms":750,`, ``},
	{`"deadline-ms":1500`, `"deadline-ms":0`},
	{`"effect":"read_like"`, `"effect":"none"`},
	{`"effect":"read_like"`, `"x":1`},
	{`"group":"all"`, `"group":"x"`},
	{`"effect":"read_like"`, `"effect":"read_like","silence":"x"`},
	{`"tariffs":[`, `"nothing":[`},
	{`"quota-rate":5`, `"quota-rate":-5`},
	{`"quota-rate":5,`, ``},
	{`"peak-units":200`, `"peak-units":"x"`},
	{`"parallel":1`, `"parallel":1.5`},
	{`"parallel":1`, `"parallel":-1`},
	{`"cap-rate":1`, `"cap-rate":-1`},
	{`"ceiling-burst":2`, `"ceiling-burst":-1`},
	{`"beyond-earns":1`, `"beyond-earns":-1`},
	{`"beyond-earns":1`, `"beyond-costs":-1`},
	{`"name":"s-1"`, `"name":""`},
	{`"address":"127.0.0.1:5"`, `"address":"x"`},
	{`"known":{`, `"known":1,"x":{`},
	{`{"name":"n0"`, `x`},
	{`{"name":"n0"`, `[{"name":"n0"`},
}

// invalidOperatorFiles are operator files that the command check refuses, and an empty one, which it accepts.
var invalidOperatorFiles = []string{
	"limits = 3",
	"[limits",
	"[limits]\nlisten = 3",
	"[limits]\nlisten = \"x\"",
	"[limits]\nspeed = 3",
	"[nothing]\nx = 1",
	"[limits]\nanswer_within = \"0s\"",
	"[limits]\nanswer_within = \"soon\"",
	"[limits]\nconnections = 0",
	"[limits]\nlisten = \"127.0.0.1:1\"\n[[limits.key]]\nname = \"\"",
	"[[limits.key]]\nname = \"a\"\nsecret_file = \"none\"",
	"[[limits.key]]\nname = \"a\"\nsecret_file = \"short\"",
	"[[limits.key]]\nname = \"a\"\nsecret_file = \"secret\"",
	"[[limits.key]]\nname = \"a\"\nsecret_file = \"secret\"\nrights = [\"x\"]",
	"[limits]\ntls_certificate = \"none\"\ntls_key = \"none\"",
	"[counter]\nprotocol = \"x\"",
	"[log]\nformat = \"x\"",
	"[log]\nlevel = \"x\"",
	"[log]\nlevel = \"info\"\nlevel = \"info\"",
	"[learned]\nevery = \"1ms\"",
	"[billing]\nwindow = \"1ms\"",
	"[billing]\nlead = \"1ms\"",
	"[billing]\nclock_skew = \"1h\"",
	"[billing]\nlease = \"1ms\"",
	"[billing]\nlate = \"1ms\"",
	"[billing]\nreport_every = \"1ms\"",
	"[billing]\nexport_folder = \"none\"",
	"[billing]\nexport_url = \"ftp://x\"",
	"[billing]\nexport_url = \"http://x\"\nexport_folder = \"none\"",
	"[dns]\nlisten = \"127.0.0.1:1\"",
	"[dns]\nzone_file = \"none\"",
	"[dns]\nzone_file = \"z\"\norigin = \"example.\"\nservice = \"a.other.\"",
	"[dns]\nzone_file = \"z\"\norigin = \"example.\"\nservice = \"_a._tcp.example.\"\nlisten = \"x\"",
	"[dns]\nzone_file = \"z\"\norigin = \"example.\"\nservice = \"_a._tcp.example.\"\nupdates_per_second = 0.0",
	"[dns]\nzone_file = \"z\"\norigin = \"example.\"\nservice = \"_a._tcp.example.\"\nnotify = [\"x\"]",
	"[dns]\nzone_file = \"none\"\norigin = \"example.\"\nservice = \"_a._tcp.example.\"",
	"[dns]\nzone_file = \"z\"\norigin = \"example.\"\nservice = \"_a._tcp.example.\"\n[[dns.key]]\nname = \"k\"",
	"",
}

// fullEnvironment sets all keys that may be missing from the settings.
var fullEnvironment = []string{
	"GW_NAME=env", "GW_LISTEN=127.0.0.1:1", "GW_DISCOVERY=127.0.0.1:3", "GW_MGMT=127.0.0.1:2",
}

func withEnvironment(more ...string) []string { return slices.Concat(fullEnvironment, more) }

// checkEnvironments are runs of the command check with environment variables.
var checkEnvironments = []struct {
	name        string
	environment []string
	args        []string
}{
	{"GW_CONFIG", []string{"GW_CONFIG=good.json"}, []string{"check"}},
	{"GW_CONFIG beside a flag", []string{"GW_CONFIG=none.json"}, []string{"check", "-c", "good.json"}},
	{"GW_OPERATOR", []string{"GW_OPERATOR=op.toml"}, []string{"check", "-c", "good.json"}},
	{"GW_NAME, GW_LISTEN, GW_DISCOVERY, GW_MGMT", fullEnvironment, []string{"check", "-c", "bare.json"}},
	{"GW_NAME beside the file's", []string{"GW_NAME=env"}, []string{"check", "-c", "good.json"}},
	{"GW_NAME missing", fullEnvironment[1:], []string{"check", "-c", "bare.json"}},
	{"GW_LISTEN faulty", withEnvironment("GW_LISTEN=x"), []string{"check", "-c", "bare.json"}},
	{"GW_DISCOVERY faulty", withEnvironment("GW_DISCOVERY=x"), []string{"check", "-c", "bare.json"}},
	{"GW_MGMT faulty", withEnvironment("GW_MGMT=x"), []string{"check", "-c", "bare.json"}},
	{"GW_SOCKET_FD faulty", []string{"GW_SOCKET_FD=x"}, []string{"check", "-c", "good.json"}},
	{"SOCKET_FD faulty", []string{"SOCKET_FD=-1"}, []string{"check", "-c", "good.json"}},
	{"GW_SOCKET_FD goes first", []string{"GW_SOCKET_FD=3", "SOCKET_FD=x"}, []string{"check", "-c", "good.json"}},
}

// TestCheck_ErrorsOnWire compares the output and exit status of check for invalid settings, operator files and
// environments.
func TestCheck_ErrorsOnWire(t *testing.T) {
	file := openGolden(t, "check_faults")
	folder := t.TempDir()
	validSettings := fmt.Sprintf(wireSettings, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4",
		wireEndpoint("127.0.0.1:5"))
	write := func(name, text string) {
		t.Helper()
		writeFile(t, filepath.Join(folder, name), text)
	}
	write("good.json", validSettings)
	file.compare("in order", runWire(t, folder, nil, "check", "-c", "good.json")...)
	for _, test := range invalidSettings {
		if !strings.Contains(validSettings, test.old) {
			t.Errorf("the settings do not contain %s", test.old)
		}
		write("bad.json", strings.Replace(validSettings, test.old, test.invalid, 1))
		file.compare(test.old+" -> "+test.invalid, runWire(t, folder, nil, "check", "-c", "bad.json")...)
	}
	for _, text := range invalidOperatorFiles {
		write("secret", "0123456789abcdef-secret\n")
		write("short", "x")
		write("z", "")
		write("op.toml", text)
		file.compare(fmt.Sprintf("operator file %q", text), runWire(t, folder, nil, "check", "op.toml")...)
	}
	file.compare("no operator file", runWire(t, folder, nil, "check", "none.toml")...)
	file.compare("no file", runWire(t, folder, nil, "check", "-c", "none.json")...)
	file.compare("no file named", runWire(t, folder, nil, "check")...)
	write("op.toml", "[log]\nlevel = \"x\"\n")
	bare := strings.NewReplacer(`"name":"n0",`, ``, `"listen":"127.0.0.1:1",`, ``, `"discovery":"127.0.0.1:3",`, ``,
		`"mgmt":"127.0.0.1:2",`, ``)
	write("bare.json", bare.Replace(validSettings))
	for _, test := range checkEnvironments {
		file.compare(test.name, runWire(t, folder, test.environment, test.args...)...)
	}
}

var (
	helpCommand = regexp.MustCompile(`(?m)^  ([a-z][a-z-]*) +\S`)
	helpFlag    = regexp.MustCompile(`(?m)^ +(?:(-[a-zA-Z]), )?(--[a-z-]+)(?: ([a-zA-Z]+)|(\[=[a-z|]+\]))?(?:  |$)`)
)

// TestHelp_NamesOnWire compares the names of commands and flags, and the types of the flags' values. The help texts
// are not compared.
func TestHelp_NamesOnWire(t *testing.T) {
	file := openGolden(t, "help_names")
	folder := t.TempDir()
	var compareHelp func(words []string)
	compareHelp = func(words []string) {
		t.Helper()
		command := programCommand(t, append(slices.Clone(words), "--help")...)
		command.Dir, command.Env = folder, []string{"FAWNPLANK_AS_MAIN=1"}
		text, err := command.CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v, %s", words, err, text)
		}
		var lines, commands []string
		if _, rest, ok := strings.Cut(string(text), "\nAvailable Commands:\n"); ok {
			rest, _, _ = strings.Cut(rest, "\n\n")
			for _, match := range helpCommand.FindAllStringSubmatch(rest, -1) {
				commands = append(commands, match[1])
				lines = append(lines, "command "+match[1])
			}
		}
		for _, match := range helpFlag.FindAllStringSubmatch(string(text), -1) {
			lines = append(lines, strings.Join(strings.Fields("flag "+match[2]+" "+match[1]+" "+match[3]+match[4]), " "))
		}
		slices.Sort(lines)
		file.compare(strings.Join(append([]string{"fawnplank"}, words...), " "), lines...)
		for _, name := range commands {
			if name != "lab" && name != "help" { // the laboratory counts as a separate program
				compareHelp(append(slices.Clone(words), name))
			}
		}
	}
	compareHelp(nil)
}
