package config

import (
	"fmt"
	"strings"
)

// applyShape lays the settings of a shape file over the migrated settings.
func (m *migration) applyShape(file string) error {
	shape, err := readStrict(file)
	if err != nil {
		return err
	}
	if err := m.overlay(file, keySettings, settingsOf(m.migrated), shape); err != nil {
		return err
	}
	m.matchRows(keyClasses)
	m.matchRows(keyPlans)
	return nil
}

// overlay lays the shape's settings over the old ones. Objects are merged key by key; any other value is
// replaced as a whole. An unknown key is an error here, because the shape file was written for this purpose.
func (m *migration) overlay(file, path string, settings, shape map[string]any) error {
	for _, key := range sortedKeys(shape) {
		keyPath := joinPath(path, key)
		if !isKnownKey(path, key) {
			shown := strings.TrimPrefix(keyPath, keySettings+".")
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
			m.lose(keyPath, "true: the new shape does not allow it")
		}
		settings[key] = shape[key]
	}
	return nil
}

// matchRows compares a list of the old settings with the shape's. A row of the old list that has no counterpart
// of the same name is lost. A class that has one keeps its fallback mode.
func (m *migration) matchRows(list string) {
	rows, _ := settingsOf(m.migrated)[list].([]any)
	oldRows := settingsOf(m.old)[list].([]any) // objects, because the text has been parsed
	for n, value := range oldRows {
		oldRow := value.(map[string]any)
		if !hasCounterpart(oldRow, rows) {
			m.lose(fmt.Sprintf("%s[%d]", joinPath(keySettings, list), n),
				fmt.Sprintf("%q has no counterpart in the new shape", oldRow[keyName]))
		}
		carryFallbackMode(oldRow, rows) // finds none in a plan, unless the old file has the key there
	}
}

// hasCounterpart reports whether one of the rows has the name of an old row.
func hasCounterpart(oldRow map[string]any, rows []any) bool {
	return len(counterparts(oldRow, rows)) > 0
}

// carryFallbackMode carries the fallback mode of an old row over to the rows of the same name that have none:
// operators preset fallback modes, and a shape has none.
func carryFallbackMode(oldRow map[string]any, rows []any) {
	mode := oldRow[keyFallbackMode]
	if mode == nil {
		return
	}
	for _, row := range counterparts(oldRow, rows) {
		if _, ok := row[keyFallbackMode]; !ok {
			row[keyFallbackMode] = mode
		}
	}
}

// counterparts returns the rows that have the name of an old row.
func counterparts(oldRow map[string]any, rows []any) []map[string]any {
	var found []map[string]any
	for _, value := range rows {
		if row, ok := value.(map[string]any); ok && row[keyName] == oldRow[keyName] {
			found = append(found, row)
		}
	}
	return found
}
