package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Prefixes of the keys of the replicated store that hold the rows of an overlay. The name of the plan or class follows
// the prefix.
const (
	PlanKeyPrefix  = "plans/"
	ClassKeyPrefix = "classes/"
)

// Overlay holds the plans and classes of the replicated store, by name. A plan or class in the overlay replaces the
// row of the same name in the file. A row with a new name is appended to the rows of the file. The zero value changes
// nothing.
type Overlay struct {
	Plans   map[string]json.RawMessage // each in the format of a row of "tariffs"
	Classes map[string]json.RawMessage // each in the format of a row of "lanes"
}

// namedRow holds the field that rows of plans and classes have in common.
type namedRow struct {
	Name string `json:"name"`
}

// errNoRowName is the error for a row whose key in the store ends at the prefix.
var errNoRowName = errors.New("the key names no row; write the row's name behind the prefix")

// CheckRow checks that a value in the store is a row whose name matches its key. The error describes the mismatch but
// does not contain the key, which the caller adds.
func CheckRow(name string, value json.RawMessage) error {
	var row namedRow
	if err := json.Unmarshal(value, &row); err != nil {
		return err
	}
	if name == "" {
		return errNoRowName
	}
	if row.Name != name {
		return fmt.Errorf("its name is %q, and the key's is %q", row.Name, name)
	}
	return nil
}

// apply returns the text of a configuration with the rows of the overlay merged into it.
func (o Overlay) apply(text []byte) ([]byte, error) {
	if len(o.Plans) == 0 && len(o.Classes) == 0 {
		return text, nil
	}
	var top, settings map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	if err := json.Unmarshal(top[keySettings], &settings); err != nil {
		return nil, fmt.Errorf("settings: no JSON object: %w", err)
	}
	if err := replaceRows(settings, keyPlans, o.Plans); err != nil {
		return nil, err
	}
	if err := replaceRows(settings, keyClasses, o.Classes); err != nil {
		return nil, err
	}
	top[keySettings], _ = json.Marshal(settings) // cannot fail: each value was decoded or marshaled before
	return json.Marshal(top)
}

// replaceRows puts rows into the list that the settings hold under key. A row replaces the row of the same name, or is
// appended if no row has its name.
func replaceRows(settings map[string]json.RawMessage, key string, rows map[string]json.RawMessage) error {
	var list []json.RawMessage
	if err := json.Unmarshal(settings[key], &list); err != nil {
		return fmt.Errorf("settings: %s is no list: %w", key, err)
	}
	inFile := map[string]bool{}
	for n, text := range list {
		var row namedRow
		if err := json.Unmarshal(text, &row); err != nil {
			return fmt.Errorf("settings: %s[%d]: %w", key, n, err)
		}
		if replacement, ok := rows[row.Name]; ok {
			list[n] = replacement
		}
		inFile[row.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) { // sorted, so that the same rows get the same ids
		if !inFile[name] {
			list = append(list, rows[name])
		}
	}
	settings[key], _ = json.Marshal(list) // for invalid JSON in a row it leaves null, which parse rejects
	return nil
}
