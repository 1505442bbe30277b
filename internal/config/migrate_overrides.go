package config

import (
	"fmt"
	"strings"
)

// applyOverrides merges the settings of the override file into the migrated settings.
func (m *migration) applyOverrides(file string) error {
	overrides, err := readStrict(file)
	if err != nil {
		return err
	}
	if err := m.mergeSettings(file, keySettings, settingsOf(m.migrated), overrides); err != nil {
		return err
	}
	m.compareRows(keyClasses)
	m.compareRows(keyPlans)
	return nil
}

// mergeSettings merges the overrides into the settings at a path. Objects are merged key by key; any other value is
// replaced as a whole. An unknown key is an error, not a loss, because the override file was written for the new
// deployment.
func (m *migration) mergeSettings(file, path string, settings, overrides map[string]any) error {
	for _, key := range sortedKeys(overrides) {
		keyPath := joinPath(path, key)
		if !isKnownKey(path, key) {
			displayPath := strings.TrimPrefix(keyPath, keySettings+".")
			return fmt.Errorf("configuration %s: %s is an unknown key", file, displayPath)
		}
		fields, isObject := settings[key].(map[string]any)
		overrideFields, overrideIsObject := overrides[key].(map[string]any)
		if isObject && overrideIsObject {
			if err := m.mergeSettings(file, keyPath, fields, overrideFields); err != nil {
				return err
			}
			continue
		}
		if settings[key] == true && overrides[key] == false {
			m.recordLoss(keyPath, "true: the file given by --shape sets it to false")
		}
		settings[key] = overrides[key]
	}
	return nil
}

// compareRows compares a list of the old settings with the migrated list. An old row whose name is not in the migrated
// list is recorded as a loss. A class whose name is in both lists keeps its fallback mode.
func (m *migration) compareRows(list string) {
	rows, _ := settingsOf(m.migrated)[list].([]any)
	oldRows := settingsOf(m.old)[list].([]any) // a list of objects, because the text has been parsed
	for n, value := range oldRows {
		oldRow := value.(map[string]any)
		if !hasRowWithSameName(oldRow, rows) {
			m.recordLoss(fmt.Sprintf("%s[%d]", joinPath(keySettings, list), n),
				fmt.Sprintf("%q is missing from the list in the file given by --shape", oldRow[keyName]))
		}
		copyFallbackMode(oldRow, rows) // no effect on a plan, unless the old file wrongly has the key there
	}
}

// hasRowWithSameName reports whether any of the rows has the name of oldRow.
func hasRowWithSameName(oldRow map[string]any, rows []any) bool {
	return len(rowsWithSameName(oldRow, rows)) > 0
}

// copyFallbackMode copies the fallback mode of an old row to the rows of the same name that do not set one. Operators
// set fallback modes in the old file; an override file does not.
func copyFallbackMode(oldRow map[string]any, rows []any) {
	mode := oldRow[keyFallbackMode]
	if mode == nil {
		return
	}
	for _, row := range rowsWithSameName(oldRow, rows) {
		if _, ok := row[keyFallbackMode]; !ok {
			row[keyFallbackMode] = mode
		}
	}
}

// rowsWithSameName returns the rows that have the name of oldRow.
func rowsWithSameName(oldRow map[string]any, rows []any) []map[string]any {
	var found []map[string]any
	for _, value := range rows {
		if row, ok := value.(map[string]any); ok && row[keyName] == oldRow[keyName] {
			found = append(found, row)
		}
	}
	return found
}
