package main

import (
	"testing"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

// After a reload, ids of classes reach past the number of names; each is named, a retired row by nothing.
func TestClassNames_AfterReload(t *testing.T) {
	reloaded := &config.Config{Classes: map[string]policy.ClassID{"lookup": 0, "pay": 2}}
	reloaded.Settings.Classes = make([]policy.ClassSettings, 3)
	names := classNames(reloaded)
	if len(names) != 3 || names[0] != "lookup" || names[1] != "" || names[2] != "pay" {
		t.Errorf("%q", names)
	}
}
