package config

import (
	"encoding/json"
	"fmt"
)

// MigrateOptions names the files that Migrate reads and writes.
type MigrateOptions struct {
	SourceFile   string // configuration file of the old deployment; Migrate never modifies it
	OverrideFile string // file of settings that replace the old settings key by key; empty for none
	OutputFile   string // file to write; it must not exist yet
	DryRun       bool   // if set, nothing is written
}

// sourceNames names the input files of the migration in error messages.
func (o MigrateOptions) sourceNames() string {
	if o.OverrideFile == "" {
		return o.SourceFile
	}
	return o.SourceFile + " with " + o.OverrideFile
}

// Loss is a part of the old configuration that the migrated configuration does not contain.
type Loss struct {
	Key    string // the full path with row numbers, such as settings.lanes[1].mood
	Reason string // also states what replaces the key, if anything does
}

// String returns the key and the reason in the form in which the command "migrate" prints them.
func (l Loss) String() string { return l.Key + ": " + l.Reason }

// Migrate converts a configuration of the old deployment to one for the new deployment. It disables health checks and
// merges the settings of the override file into the old settings. It returns a Loss for everything that it does not
// carry over; a list of all valid keys and values ensures that nothing is dropped silently. It writes the output file
// completely or not at all, and only if the result is valid. Errors name the file and the key; an error about a key
// of the configuration wraps a *SettingError.
func Migrate(o MigrateOptions) ([]Loss, error) {
	m, err := newMigration(o.SourceFile)
	if err != nil {
		return nil, err
	}
	m.dropUnknownKeys()
	m.dropHealthChecks()
	m.dropKnownEndpoints()
	if o.OverrideFile != "" {
		if err := m.applyOverrides(o.OverrideFile); err != nil {
			return nil, err
		}
	}
	text, err := json.MarshalIndent(m.migrated, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("configuration %s: the migrated configuration is invalid: %w", o.sourceNames(), err)
	}
	if o.DryRun {
		return m.losses, nil
	}
	return m.losses, writeNew(o.OutputFile, append(text, '\n'))
}

// migration is the conversion of one configuration. It collects the losses.
type migration struct {
	old      map[string]any // never modified; its rows are compared with those of the override file
	migrated map[string]any // modified step by step into the result
	getenv   func(name string) string
	losses   []Loss
}

// newMigration reads a configuration and checks that an instance of the gateway could start with it.
func newMigration(path string) (*migration, error) {
	old, err := readStrict(path)
	if err != nil {
		return nil, err
	}
	absent, getenv := environmentPlaceholders(old)
	if err := checkParses(old, getenv); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	migrated, err := readStrict(path) // a deep copy of old
	if err != nil {
		return nil, err
	}
	m := &migration{old: old, migrated: migrated, getenv: getenv}
	for _, key := range absent {
		m.recordLoss(key, "left out: "+environmentVariables[key]+" has to supply it, as before")
	}
	return m, nil
}

// recordLoss records that a key is not carried over.
func (m *migration) recordLoss(key, reason string) {
	m.losses = append(m.losses, Loss{Key: key, Reason: reason})
}

// settingsOf returns the settings of a configuration. The caller has parsed it, so the settings are present.
func settingsOf(fields map[string]any) map[string]any { return fields[keySettings].(map[string]any) }

// environmentPlaceholders lists the keys that a file leaves to environment variables. It also returns an environment
// with valid placeholder values for these keys, so that the other keys can be checked.
func environmentPlaceholders(old map[string]any) (absent []string, getenv func(string) string) {
	for _, key := range []string{keyName, keyListen, keyDiscovery} {
		if _, ok := old[key]; !ok {
			absent = append(absent, key)
		}
	}
	values := map[string]string{"GW_NAME": "n", "GW_LISTEN": "127.0.0.1:1", "GW_DISCOVERY": "127.0.0.1:1"}
	return absent, func(name string) string { return values[name] }
}
