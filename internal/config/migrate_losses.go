package config

import "fmt"

// dropUnknownKeys deletes the keys that are not in knownKeys.
func (m *migration) dropUnknownKeys() {
	walkUnknownKeys("", "", m.migrated, func(unknown unknownKey) {
		delete(unknown.object, unknown.key)
		m.recordLoss(unknown.displayPath, "unknown key")
	})
}

// dropHealthChecks disables health checks and the telemetry reports that they carry, because the new deployment has no
// health checks.
func (m *migration) dropHealthChecks() {
	settings := settingsOf(m.migrated)
	permissions := settings[keyPermissions].(map[string]any) // present, because the text has been parsed
	if permissions[keyHealthChecks] == true {
		permissions[keyHealthChecks] = false
		m.recordLoss(joinPath(joinPath(keySettings, keyPermissions), keyHealthChecks),
			"true: the new deployment has no health checks; the state of a backend follows from its answers alone")
	}
	if telemetry, ok := settings["telemetry"].(map[string]any); ok && telemetry["how"] == "on_probe" {
		telemetry["how"] = "off"
		telemetry["columns"] = []any{}
		m.recordLoss("settings.telemetry", "reports on probes: the new deployment has no probes")
	}
}

// dropKnownEndpoints deletes the list of known endpoints if it names backends, because they belong to the old
// deployment.
func (m *migration) dropKnownEndpoints() {
	known, _ := m.migrated[keyKnownEndpoints].(map[string]any)
	if endpoints, _ := known["endpoints"].([]any); len(endpoints) > 0 {
		delete(m.migrated, keyKnownEndpoints)
		m.recordLoss(keyKnownEndpoints, fmt.Sprintf("%d backends of the old deployment: the new list comes from discovery",
			len(endpoints)))
	}
}
