package main

import (
	"testing"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// TestClassNames_AfterReload covers class ids that exceed the number of names, as after a reload that removed a class:
// each class has its name at its id, and the id of the removed class has an empty name.
func TestClassNames_AfterReload(t *testing.T) {
	reloaded := &config.Config{Classes: map[string]policy.ClassID{"lookup": 0, "pay": 2}}
	reloaded.Settings.Classes = make([]policy.ClassSettings, 3)
	names := classNames(reloaded)
	if len(names) != 3 || names[0] != "lookup" || names[1] != "" || names[2] != "pay" {
		t.Errorf("%q", names)
	}
}
