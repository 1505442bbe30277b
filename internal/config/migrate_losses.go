package config

import "fmt"

// dropUnknownKeys drops the keys that have no meaning.
func (m *migration) dropUnknownKeys() { m.prune("", "", m.migrated) }

// prune deletes the unknown keys of an object, in order. path is the object's path in knownKeys; shown is its
// path in the losses, which includes row numbers.
func (m *migration) prune(path, shown string, fields map[string]any) {
	if _, ok := knownKeys[path]; !ok {
		return // this object may hold any key
	}
	for _, key := range sortedKeys(fields) {
		keyPath, keyShown := joinPath(path, key), joinPath(shown, key)
		if !isKnownKey(path, key) {
			delete(fields, key)
			m.lose(keyShown, "not known here")
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
func (m *migration) dropHealthChecks() {
	settings := settingsOf(m.migrated)
	permissions := settings[keyPermissions].(map[string]any) // present, because the text has been parsed
	if permissions[keyHealthChecks] == true {
		permissions[keyHealthChecks] = false
		m.lose(joinPath(joinPath(keySettings, keyPermissions), keyHealthChecks),
			"true: the new shape allows none; backends are judged by their answers alone")
	}
	if telemetry, ok := settings["telemetry"].(map[string]any); ok && telemetry["how"] == "on_probe" {
		telemetry["how"] = "off"
		telemetry["columns"] = []any{}
		m.lose("settings.telemetry", "reports that come with probes: there are none without probes")
	}
}

// dropKnownEndpoints drops a list that names backends, because they belong to the old deployment.
func (m *migration) dropKnownEndpoints() {
	known, _ := m.migrated[keyKnownEndpoints].(map[string]any)
	if endpoints, _ := known["endpoints"].([]any); len(endpoints) > 0 {
		delete(m.migrated, keyKnownEndpoints)
		m.lose(keyKnownEndpoints, fmt.Sprintf("%d backends of the old deployment: the new list comes from discovery",
			len(endpoints)))
	}
}
