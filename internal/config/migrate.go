package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// MigrateOptions says what Migrate reads and writes.
type MigrateOptions struct {
	From   string // configuration file of the old deployment; it is never changed
	Shape  string // file of settings that replace the old ones key by key; empty for none
	To     string // file to write; it must not exist yet
	DryRun bool   // if set, nothing is written
}

// Migrate turns a configuration of the old deployment into its counterpart for the new one, without health
// checks and with the shape's settings laid over the old ones. It knows the keys and words that
// configurations may hold, so that nothing is dropped silently: it returns a note for each thing that it
// could not carry over. It writes the whole file or nothing, and only if the result is valid.
func Migrate(o MigrateOptions) (notes []string, err error) {
	old, err := readStrict(o.From)
	if err != nil {
		return nil, err
	}
	absent, getenv := environmentPlaceholders(old)
	if err := checkParses(old, getenv); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", o.From, err)
	}
	m := &migration{}
	for _, key := range absent {
		m.note(key, "left out: "+environmentNames[key]+" has to stand in for it, as before")
	}
	m.prune("", "", old)
	// migrated is decoded a second time, because old must stay unchanged for the comparison in applyShape. Its
	// unknown keys are pruned too, without a second note for each.
	migrated, err := readStrict(o.From)
	if err != nil {
		return nil, err
	}
	(&migration{}).prune("", "", migrated)
	settings := migrated["settings"].(map[string]any) // present, because the text has been parsed
	m.dropHealthChecks(settings)
	m.dropKnownEndpoints(migrated)
	sources := o.From
	if o.Shape != "" {
		sources += " with " + o.Shape
		if err := m.applyShape(o.Shape, old, settings); err != nil {
			return nil, err
		}
	}
	text, err := json.MarshalIndent(migrated, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := checkMigrated(migrated, getenv); err != nil {
		return nil, fmt.Errorf("configuration %s: its counterpart is not in order: %w", sources, err)
	}
	if o.DryRun {
		return m.notes, nil
	}
	return m.notes, writeNew(o.To, append(text, '\n'))
}

// environmentPlaceholders lists the keys that a file leaves to the environment. It also returns an environment
// with valid placeholders for them, with which the rest is checked.
func environmentPlaceholders(old map[string]any) (absent []string, getenv func(string) string) {
	for _, key := range []string{"name", "listen", "discovery"} {
		if _, ok := old[key]; !ok {
			absent = append(absent, key)
		}
	}
	values := map[string]string{"GW_NAME": "n", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:1"}
	return absent, func(name string) string { return values[name] }
}

// checkParses checks that an instance of the gateway would start with a configuration.
func checkParses(fields map[string]any, getenv func(string) string) error {
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	_, err = parse(text, getenv)
	return err
}

// migration collects notes about what could not be carried over.
type migration struct{ notes []string }

func (m *migration) note(key, what string) { m.notes = append(m.notes, key+": "+what) }

// prune deletes unknown keys and adds a note for each, in order. path is the object's path in knownKeys;
// shown is its path in notes, which includes row numbers.
func (m *migration) prune(path, shown string, fields map[string]any) {
	if _, ok := knownKeys[path]; !ok {
		return // this object may hold any key
	}
	for _, key := range sortedKeys(fields) {
		keyPath, keyShown := joinPath(path, key), joinPath(shown, key)
		if !isKnownKey(path, key) {
			delete(fields, key)
			m.note(keyShown, "not known here")
			continue
		}
		switch value := fields[key].(type) {
		case map[string]any:
			m.prune(keyPath, keyShown, value)
		case []any:
			m.pruneRows(keyPath, keyShown, value)
		}
	}
}

func (m *migration) pruneRows(path, shown string, list []any) {
	for n, value := range list {
		if row, ok := value.(map[string]any); ok {
			m.prune(path, fmt.Sprintf("%s[%d]", shown, n), row)
		}
	}
}

// dropHealthChecks disables health checks and the reports that come with them, because the new deployment has
// none.
func (m *migration) dropHealthChecks(settings map[string]any) {
	permissions := settings["permissions"].(map[string]any) // present, because the text has been parsed
	if permissions["probes"] == true {
		permissions["probes"] = false
		m.note("settings.permissions.probes",
			"true: the new shape allows none; backends are judged by their answers alone")
	}
	if telemetry, ok := settings["telemetry"].(map[string]any); ok && telemetry["how"] == "on_probe" {
		telemetry["how"] = "off"
		telemetry["columns"] = []any{}
		m.note("settings.telemetry", "reports that come with probes: there are none without probes")
	}
}

// dropKnownEndpoints drops a list that names backends, because they belong to the old deployment.
func (m *migration) dropKnownEndpoints(fields map[string]any) {
	known, _ := fields["known"].(map[string]any)
	if endpoints, _ := known["endpoints"].([]any); len(endpoints) > 0 {
		delete(fields, "known")
		m.note("known", fmt.Sprintf("%d backends of the old deployment: the new list comes from discovery",
			len(endpoints)))
	}
}

// applyShape lays the settings of a shape file over the migrated settings.
func (m *migration) applyShape(file string, old, settings map[string]any) error {
	shape, err := readStrict(file)
	if err != nil {
		return err
	}
	if err := m.overlay(file, "settings", settings, shape); err != nil {
		return err
	}
	oldSettings := old["settings"].(map[string]any) // present, because the text has been parsed
	m.matchRows("lanes", oldSettings, settings)
	m.matchRows("tariffs", oldSettings, settings)
	return nil
}

// overlay lays the shape's settings over the old ones. Objects are merged key by key; any other value is
// replaced as a whole. An unknown key is an error here, because the shape file was written for this purpose.
func (m *migration) overlay(file, path string, settings, shape map[string]any) error {
	for _, key := range sortedKeys(shape) {
		keyPath := joinPath(path, key)
		if !isKnownKey(path, key) {
			shown := strings.TrimPrefix(keyPath, "settings.")
			return fmt.Errorf("configuration %s: %s is not known here", file, shown)
		}
		oldFields, oldIsObject := settings[key].(map[string]any)
		newFields, newIsObject := shape[key].(map[string]any)
		if oldIsObject && newIsObject {
			if err := m.overlay(file, keyPath, oldFields, newFields); err != nil {
				return err
			}
			continue
		}
		if settings[key] == true && shape[key] == false {
			m.note(keyPath, "true: the new shape does not allow it")
		}
		settings[key] = shape[key]
	}
	return nil
}

// matchRows adds a note for each row of the old list that has no counterpart of the same name. For rows that
// have one, it keeps the fallback mode: operators preset fallback modes, and a shape has none.
func (m *migration) matchRows(list string, oldSettings, settings map[string]any) {
	rows, _ := settings[list].([]any)
	for n, value := range oldSettings[list].([]any) { // a list of objects, because the text has been parsed
		oldRow := value.(map[string]any)
		found := false
		for _, value := range rows {
			row, ok := value.(map[string]any)
			if !ok || row["name"] != oldRow["name"] {
				continue
			}
			found = true
			if _, ok := row["silence"]; !ok && oldRow["silence"] != nil {
				row["silence"] = oldRow["silence"]
			}
		}
		if !found {
			m.note(fmt.Sprintf("settings.%s[%d]", list, n),
				fmt.Sprintf("%q has no counterpart in the new shape", oldRow["name"]))
		}
	}
}

// checkMigrated checks that the gateway would start with the configuration. It also rejects what the gateway
// would accept but an operator would stumble over: words with no meaning, and numbers that point outside
// their lists.
func checkMigrated(fields map[string]any, getenv func(string) string) error {
	if err := checkParses(fields, getenv); err != nil {
		return err
	}
	for _, setting := range wordSettings {
		value := valueAt(fields, setting.path)
		if value != nil && (value == "" || !slices.Contains(setting.words, fmt.Sprint(value))) {
			return fmt.Errorf("%s is %v, which has no meaning", setting.path, value)
		}
	}
	settings := fields["settings"].(map[string]any) // present, because the text has been parsed
	index, instances := numberAt(settings, "me"), numberAt(settings, "replicas-of-me")
	if index >= instances {
		return fmt.Errorf("settings.me is %v, of %v instances", index, instances)
	}
	zones, _ := settings["zones"].([]any)
	if zone := numberAt(settings, "my-zone"); zone > 0 && int(zone) >= len(zones) {
		return fmt.Errorf("settings.my-zone is %v, of %d zones", zone, len(zones))
	}
	return nil
}

// valueAt returns the value at a dotted path, or nil if there is none.
func valueAt(fields map[string]any, path string) any {
	var value any = fields
	for _, key := range strings.Split(path, ".") {
		inner, _ := value.(map[string]any)
		value = inner[key]
	}
	return value
}

// numberAt returns the number of a key, or 0 if there is none.
func numberAt(fields map[string]any, key string) float64 {
	number, _ := fields[key].(json.Number)
	value, _ := number.Float64() // it was decoded as a number
	return value
}

// writeNew writes a file under a temporary name in the same folder and links it to its path only when it is
// complete. It never replaces an existing file and never leaves half of one.
func writeNew(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".fawnplank-*")
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	defer func() { _ = os.Remove(file.Name()) }() // at worst the file stays under its hidden name
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Link(file.Name(), path) // fails if a file exists at the path, which includes the source file
	}
	if errors.Is(err, os.ErrExist) {
		err = errors.New("is there already")
	}
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
