package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// checkParses checks that an instance of the gateway would start with a configuration.
func checkParses(fields map[string]any, getenv func(string) string) error {
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	_, err = parse(text, getenv)
	return err
}

// check checks that the gateway would start with the migrated configuration. It also rejects errors that the gateway
// does not detect: strings that are not a valid value of their setting, and indexes outside their lists.
func (m *migration) check() error {
	if err := checkParses(m.migrated, m.getenv); err != nil {
		return err
	}
	if err := checkEnumSettings(m.migrated); err != nil {
		return err
	}
	return checkIndexes(settingsOf(m.migrated))
}

// checkEnumSettings checks the settings that hold one of a fixed set of strings.
func checkEnumSettings(fields map[string]any) error {
	for _, setting := range enumSettings {
		value := valueAt(fields, setting.path)
		if value != nil && (value == "" || !slices.Contains(setting.allowed, fmt.Sprint(value))) {
			return fmt.Errorf("%s is %v, which is not a valid value", setting.path, value)
		}
	}
	return nil
}

// checkIndexes checks that the instance index and the zone index are within their lists.
func checkIndexes(settings map[string]any) error {
	index := numberAt(settings, keyInstanceIndex)
	instances := numberAt(settings, keyInstances)
	if index >= instances {
		return fmt.Errorf("settings.me is %v, which is not below settings.replicas-of-me, %v", index, instances)
	}
	zones, _ := settings[keyZones].([]any)
	if zone := numberAt(settings, keyZone); zone > 0 && int(zone) >= len(zones) {
		return fmt.Errorf("settings.my-zone is %v, which is not below the length of settings.zones, %d", zone, len(zones))
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
	value, _ := number.Float64() // cannot fail: the decoder accepts only valid numbers
	return value
}
