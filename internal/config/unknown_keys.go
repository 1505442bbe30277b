package config

import "fmt"

// unknownKey is a key that is not in knownKeys, and the object that contains it.
type unknownKey struct {
	object      map[string]any
	key         string
	displayPath string // the full path of the key, with row numbers
}

// unknownKeys returns the paths of the unknown keys of a configuration, in order. It omits keyManagement, which is
// valid here but is absent from knownKeys so that Migrate drops it.
func unknownKeys(top map[string]any) []string {
	var paths []string
	walkUnknownKeys("", "", top, func(unknown unknownKey) {
		if unknown.displayPath != keyManagement {
			paths = append(paths, unknown.displayPath)
		}
	})
	return paths
}

// walkUnknownKeys visits the unknown keys of an object and of the objects within it, in order. The function visit may
// delete a key. The object's path in knownKeys is path; displayPath also contains row numbers.
func walkUnknownKeys(path, displayPath string, fields map[string]any, visit func(unknownKey)) {
	if _, ok := knownKeys[path]; !ok {
		return // any key is valid in this object
	}
	for _, key := range sortedKeys(fields) {
		keyPath, keyDisplayPath := joinPath(path, key), joinPath(displayPath, key)
		if !isKnownKey(path, key) {
			visit(unknownKey{object: fields, key: key, displayPath: keyDisplayPath})
			continue
		}
		switch value := fields[key].(type) {
		case map[string]any:
			walkUnknownKeys(keyPath, keyDisplayPath, value, visit)
		case []any:
			walkUnknownKeysOfRows(keyPath, keyDisplayPath, value, visit)
		}
	}
}

func walkUnknownKeysOfRows(path, displayPath string, list []any, visit func(unknownKey)) {
	for n, value := range list {
		if row, ok := value.(map[string]any); ok {
			walkUnknownKeys(path, fmt.Sprintf("%s[%d]", displayPath, n), row, visit)
		}
	}
}
