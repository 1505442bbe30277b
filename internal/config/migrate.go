package config

import (
	"encoding/json"
	"fmt"
)

// MigrateOptions says what Migrate reads and writes.
type MigrateOptions struct {
	SourceFile   string // configuration file of the old deployment; it is never changed
	OverrideFile string // file of settings that replace the old ones key by key; empty for none
	OutputFile   string // file to write; it must not exist yet
	DryRun       bool   // if set, nothing is written
}

// sources names the files that the counterpart comes from.
func (o MigrateOptions) sources() string {
	if o.OverrideFile == "" {
		return o.SourceFile
	}
	return o.SourceFile + " with " + o.OverrideFile
}

// Loss is a part of the old configuration that its counterpart does not hold.
type Loss struct {
	Key    string // with its path and the numbers of its rows, as in settings.lanes[1].mood
	Reason string // and what stands in for it, if anything does
}

// String returns the key and the reason, as operators read them.
func (l Loss) String() string { return l.Key + ": " + l.Reason }

// Migrate turns a configuration of the old deployment into its counterpart for the new one, without health
// checks and with the shape's settings laid over the old ones. It knows the keys and words that
// configurations may hold, so that nothing is dropped silently: it returns everything that it could not carry
// over. It writes the whole file or nothing, and only if the result is valid. Errors name the file and the key;
// one about a key of the configuration wraps a *SettingError.
func Migrate(o MigrateOptions) ([]Loss, error) {
	m, err := newMigration(o.SourceFile)
	if err != nil {
		return nil, err
	}
	m.dropUnknownKeys()
	m.dropHealthChecks()
	m.dropKnownEndpoints()
	if o.OverrideFile != "" {
		if err := m.applyShape(o.OverrideFile); err != nil {
			return nil, err
		}
	}
	text, err := json.MarshalIndent(m.migrated, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: its counterpart is not in order: %w", o.sources(), err)
	}
	if o.DryRun {
		return m.losses, nil
	}
	return m.losses, writeNew(o.OutputFile, append(text, '\n'))
}

// migration turns one configuration into its counterpart, and collects what is lost on the way.
type migration struct {
	old      map[string]any // stays as it was read, for the comparison of its rows with the shape's
	migrated map[string]any // becomes the counterpart
	getenv   func(name string) string
	losses   []Loss
}

// newMigration reads a configuration that an instance of the gateway could start with.
func newMigration(path string) (*migration, error) {
	old, err := readStrict(path)
	if err != nil {
		return nil, err
	}
	absent, getenv := environmentPlaceholders(old)
	if err := checkParses(old, getenv); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	migrated, err := readStrict(path) // a copy that shares nothing with old
	if err != nil {
		return nil, err
	}
	m := &migration{old: old, migrated: migrated, getenv: getenv}
	for _, key := range absent {
		m.lose(key, "left out: "+environmentNames[key]+" has to stand in for it, as before")
	}
	return m, nil
}

// lose records that a key is not carried over.
func (m *migration) lose(key, reason string) {
	m.losses = append(m.losses, Loss{Key: key, Reason: reason})
}

// settingsOf returns the settings of a configuration, which are present once it has been parsed.
func settingsOf(fields map[string]any) map[string]any { return fields[keySettings].(map[string]any) }

// environmentPlaceholders lists the keys that a file leaves to the environment. It also returns an environment
// with valid placeholders for them, with which the rest is checked.
func environmentPlaceholders(old map[string]any) (absent []string, getenv func(string) string) {
	for _, key := range []string{keyName, keyListen, keyDiscovery} {
		if _, ok := old[key]; !ok {
			absent = append(absent, key)
		}
	}
	values := map[string]string{"GW_NAME": "n", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:1"}
	return absent, func(name string) string { return values[name] }
}
