package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// This file turns a configuration of the old shape into its counterpart for the new one. It goes by the keys and
// words that configurations may hold, so that nothing is dropped without a word; what a front door makes of them
// is read in config.go and terms.go.

// known are the keys of a configuration by the path of their object; rows of a list go by the list's.
var known = map[string]string{
	"":       "name listen discovery counter seed limits known settings",
	"limits": "cores memory_mb sockets",
	"settings": "replicas-of-me lanes clients discovery domain-type family-info blend shapes permissions me prices " +
		"telemetry invariants tariffs step-ms stage tiers weights my-zone zones",
	"settings.lanes": "aim-stretch goal-time-ms deadline-ms effect group late-worth name silence stream window-ms " +
		"value",
	"settings.clients": "marks-retry",
	"settings.family-info": "may-count call-price counter-timeout-ms metering-ms max-units inbox-per-s " +
		"post-paid",
	"settings.blend": "whole worst-class worst-tenant worst-window",
	"settings.permissions": "cancelling conn-idle-ms connect-timeout-ms cpu-us-per-request cpu-us-per-s send-cap " +
		"max-open max-retry-after-ms peer-messages probes retry-after second-copies max-streams",
	"settings.prices":    "connection cross-zone discovery handshake late-fail moves origin peer probe waste",
	"settings.telemetry": "columns how",
	"settings.invariants": "grace-to-answer-ms ask-within-ms cold-share warm-up-ms stop-sending-within-ms " +
		"tip-multiple fall-ms",
	"settings.tariffs": "peak-units ceiling-burst cap-rate tolerance name parallel beyond-costs beyond-earns " +
		"value-factor quota-rate",
}

// words are the values that a word of the settings may have.
var words = map[string]string{
	"settings.discovery": "pushed on_request", "settings.weights": "off nominal rough live",
	"settings.telemetry.how": "inline on_probe off",
}

// Migrate reads the configuration file from, of the old shape, and writes its counterpart for the new shape to the
// file to: one without probes, and with the settings of the file shape, if one is named, over the old ones. It
// gives a line for each thing that it could not carry over. With dry it writes nothing. The file from is never
// changed, and to is written whole or not at all, and only if it is in order and was not there before.
func Migrate(from, shape, to string, dry bool) (lines []string, err error) {
	old, err := load(from)
	if err != nil {
		return nil, err
	}
	absent, stand := standIns(old)
	text, _ := json.Marshal(old)
	if _, err := parse(text, stand); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", from, err)
	}
	m := migration{}
	for _, key := range absent {
		m.line(key, "left out: "+environment[key]+" has to stand in for it, as before")
	}
	m.prune("", old)
	fresh, err := load(from) // a second copy, to compare with
	if err != nil {
		return nil, err
	}
	(&migration{}).prune("", fresh)
	settings := fresh["settings"].(map[string]any)
	allowed := settings["permissions"].(map[string]any)
	if allowed["probes"] == true {
		allowed["probes"] = false
		m.line("settings.permissions.probes",
			"true: the new shape allows none; backends are judged by their answers alone")
	}
	if t, ok := settings["telemetry"].(map[string]any); ok && t["how"] == "on_probe" {
		t["how"], t["columns"] = "off", []any{}
		m.line("settings.telemetry", "reports that come with probes: there are none without probes")
	}
	if list, ok := fresh["known"].(map[string]any); ok {
		if ends, _ := list["endpoints"].([]any); len(ends) > 0 {
			delete(fresh, "known")
			m.line("known", fmt.Sprintf("%d backends of the old deployment: the new list comes from discovery", len(ends)))
		}
	}
	both := from
	if shape != "" {
		both += " with " + shape
		over, err := load(shape)
		if err != nil {
			return nil, err
		}
		if err := m.overlay(shape, "settings", settings, over); err != nil {
			return nil, err
		}
		m.named("lanes", old, settings)
		m.named("tariffs", old, settings)
	}
	text, err = json.MarshalIndent(fresh, "", "  ")
	if err != nil {
		return nil, err
	}
	text = append(text, '\n')
	if _, err := parse(text, stand); err != nil {
		return nil, fmt.Errorf("configuration %s: its counterpart is not in order: %w", both, err)
	}
	if err := fits(fresh); err != nil {
		return nil, fmt.Errorf("configuration %s: its counterpart is not in order: %w", both, err)
	}
	if dry {
		return m.lines, nil
	}
	return m.lines, write(to, text)
}

// environment is what may stand in for keys that a file leaves out.
var environment = map[string]string{"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY",
	"mgmt": "GW_MGMT"}

// standIns lists the keys that a file leaves to the environment, and gives an environment to check the rest by.
func standIns(old map[string]any) (absent []string, env func(string) string) {
	for _, key := range []string{"name", "listen", "discovery"} {
		if _, there := old[key]; !there {
			absent = append(absent, key)
		}
	}
	return absent, func(name string) string {
		return map[string]string{"GW_NAME": "n", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:1"}[name]
	}
}

// load reads a JSON object, numbers as they are written. A key that comes twice is a fault: one would be lost.
func load(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	x, err := value(d, "")
	if err == nil {
		if _, more := d.Token(); more != io.EOF {
			err = errors.New("something follows the object")
		}
	}
	m, ok := x.(map[string]any)
	if err == nil && !ok {
		err = errors.New("is no JSON object")
	}
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return m, nil
}

func value(d *json.Decoder, path string) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, fmt.Errorf("%s: no JSON: %w", place(path), err)
	}
	switch t {
	case json.Delim('{'):
		m := map[string]any{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return nil, fmt.Errorf("%s: no JSON: %w", place(path), err)
			}
			key := k.(string)
			if _, twice := m[key]; twice {
				return nil, fmt.Errorf("%s comes twice", join(path, key))
			}
			if m[key], err = value(d, join(path, key)); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return m, err
	case json.Delim('['):
		list := []any{}
		for d.More() {
			x, err := value(d, fmt.Sprintf("%s[%d]", path, len(list)))
			if err != nil {
				return nil, err
			}
			list = append(list, x)
		}
		_, err = d.Token()
		return list, err
	}
	return t, nil
}

func join(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }
func place(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

// migration gathers what could not be carried over.
type migration struct{ lines []string }

func (m *migration) line(key, what string) { m.lines = append(m.lines, key+": "+what) }

// prune takes out keys that are not known, with a line for each, in order. Rows of lists go by their list.
func (m *migration) prune(path string, x map[string]any) {
	keys, listed := known[path]
	if !listed {
		return
	}
	for _, key := range sorted(x) {
		at := join(path, key)
		if !slices.Contains(strings.Fields(keys), key) {
			delete(x, key)
			m.line(at, "not known here")
			continue
		}
		switch v := x[key].(type) {
		case map[string]any:
			m.prune(at, v)
		case []any:
			for n, row := range v {
				if r, ok := row.(map[string]any); ok {
					before := len(m.lines)
					m.prune(at, r)
					for i := range m.lines[before:] {
						m.lines[before+i] = strings.Replace(m.lines[before+i], at, fmt.Sprintf("%s[%d]", at, n), 1)
					}
				}
			}
		}
	}
}

func sorted(x map[string]any) []string {
	var keys []string
	for key := range x {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// overlay lays the new shape's settings over the old ones: objects key by key, anything else whole. A key that is
// not known is a fault here, since the file is written for this.
func (m *migration) overlay(file, path string, x, over map[string]any) error {
	for _, key := range sorted(over) {
		at := join(path, key)
		if !slices.Contains(strings.Fields(known[path]), key) {
			return fmt.Errorf("configuration %s: %s is not known here", file, strings.TrimPrefix(at, "settings."))
		}
		inner, ok := over[key].(map[string]any)
		if was, there := x[key].(map[string]any); ok && there {
			if err := m.overlay(file, at, was, inner); err != nil {
				return err
			}
			continue
		}
		if x[key] == true && over[key] == false {
			m.line(at, "true: the new shape does not allow it")
		}
		x[key] = over[key]
	}
	return nil
}

// named says which rows of the old list have no counterpart of their name, and keeps the presets of those that do.
func (m *migration) named(list string, old, settings map[string]any) {
	rows, _ := settings[list].([]any)
	for n, x := range old["settings"].(map[string]any)[list].([]any) {
		was, found := x.(map[string]any), false
		for _, y := range rows {
			row, ok := y.(map[string]any)
			if !ok || row["name"] != was["name"] {
				continue
			}
			found = true
			if _, set := row["silence"]; !set && was["silence"] != nil {
				row["silence"] = was["silence"]
			}
		}
		if !found {
			m.line(fmt.Sprintf("settings.%s[%d]", list, n),
				fmt.Sprintf("%q has no counterpart in the new shape", was["name"]))
		}
	}
}

// fits checks what a front door would not trip over but an operator would: words with no meaning, and numbers
// that point outside their lists.
func fits(x map[string]any) error {
	settings := x["settings"].(map[string]any)
	for _, path := range []string{"settings.discovery", "settings.telemetry.how", "settings.weights"} {
		var v any = x
		for _, key := range strings.Split(path, ".") {
			m, _ := v.(map[string]any)
			v = m[key]
		}
		if v != nil && (v == "" || !slices.Contains(strings.Fields(words[path]), fmt.Sprint(v))) {
			return fmt.Errorf("%s is %v, which has no meaning", path, v)
		}
	}
	number := func(key string) float64 {
		n, _ := settings[key].(json.Number)
		f, _ := n.Float64()
		return f
	}
	if me := number("me"); me >= number("replicas-of-me") {
		return fmt.Errorf("settings.me is %v, of %v front doors", me, number("replicas-of-me"))
	}
	zones, _ := settings["zones"].([]any)
	if zone := number("my-zone"); zone > 0 && int(zone) >= len(zones) {
		return fmt.Errorf("settings.my-zone is %v, of %d zones", zone, len(zones))
	}
	return nil
}

// write puts the text in a file of its own beside the place, and only then there: never over a file, and never
// half of it.
func write(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".fawnplank-*")
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Link(f.Name(), path) // fails where a file is: the source too
	}
	if errors.Is(err, os.ErrExist) {
		err = errors.New("is there already")
	}
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
