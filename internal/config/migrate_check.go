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

// check checks that the gateway would start with the counterpart. It also rejects what the gateway would accept
// but an operator would stumble over: words with no meaning, and numbers that point outside their lists.
func (m *migration) check() error {
	if err := checkParses(m.migrated, m.getenv); err != nil {
		return err
	}
	if err := checkWords(m.migrated); err != nil {
		return err
	}
	return checkIndexes(settingsOf(m.migrated))
}

// checkWords checks the settings that hold one word of a set.
func checkWords(fields map[string]any) error {
	for _, setting := range wordSettings {
		value := valueAt(fields, setting.path)
		if value != nil && (value == "" || !slices.Contains(setting.words, fmt.Sprint(value))) {
			return fmt.Errorf("%s is %v, which has no meaning", setting.path, value)
		}
	}
	return nil
}

// checkIndexes checks the settings that point into a list.
func checkIndexes(settings map[string]any) error {
	index := numberAt(settings, keyInstanceIndex)
	instances := numberAt(settings, keyInstances)
	if index >= instances {
		return fmt.Errorf("settings.me is %v, of %v instances", index, instances)
	}
	zones, _ := settings[keyZones].([]any)
	if zone := numberAt(settings, keyZone); zone > 0 && int(zone) >= len(zones) {
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
