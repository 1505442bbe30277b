package config

import "fawnplank/policy"

// rowID is the type of a row's id: policy.ClassID or policy.PlanID.
type rowID interface{ ~uint16 | ~uint32 }

// idsByName assigns ids to rows, in the order of the rows, and returns the ids by name. A name must be unique and not
// empty, because requests refer to their class and plan by name.
func idsByName[ID rowID](rows []jsonObject) map[string]ID {
	ids := map[string]ID{}
	for n, row := range rows {
		name := required[string](row, keyName)
		if name == "" {
			row.recordErrorf(keyName, "is empty")
		}
		if earlier, exists := ids[name]; exists {
			row.recordErrorf(keyName, "is %q, which row %d already uses; names must be unique", name, earlier)
		}
		ids[name] = ID(n)
	}
	return ids
}

// KeepIDs renumbers the classes and plans of a newly read configuration, so that every id of old still identifies the
// same row. A name with an unchanged row keeps its id. A new name, or a name with a changed row, gets an id after all
// ids of old. The rows of old stay, because requests in flight still use them; new requests that use a removed name
// are rejected. AddCheckOnlyClass must be called before KeepIDs.
func (c *Config) KeepIDs(old *Config) {
	classes := c.classRows().withIDsOf(old.classRows())
	c.Settings.Classes = classes.rows
	c.Classes = classes.ids
	plans := c.planRows().withIDsOf(old.planRows())
	c.Settings.Plans = plans.rows
	c.Plans = plans.ids
}

func (c *Config) classRows() rowTable[policy.ClassSettings, policy.ClassID] {
	return rowTable[policy.ClassSettings, policy.ClassID]{rows: c.Settings.Classes, ids: c.Classes}
}

func (c *Config) planRows() rowTable[policy.PlanSettings, policy.PlanID] {
	return rowTable[policy.PlanSettings, policy.PlanID]{rows: c.Settings.Plans, ids: c.Plans}
}

// rowTable holds the rows of a list, indexed by id, and the id of each name.
type rowTable[T comparable, ID rowID] struct {
	rows []T
	ids  map[string]ID
}

// names returns the names of the rows, indexed by id.
func (t rowTable[T, ID]) names() []string {
	names := make([]string, len(t.rows))
	for name, id := range t.ids {
		names[id] = name
	}
	return names
}

// withIDsOf returns a table that holds the rows of old, followed by the new and changed rows of t. The name of an
// unchanged row keeps its id in old.
func (t rowTable[T, ID]) withIDsOf(old rowTable[T, ID]) rowTable[T, ID] {
	merged := rowTable[T, ID]{rows: append([]T(nil), old.rows...), ids: map[string]ID{}}
	for id, name := range t.names() { // in the order of the file, so that the same file yields the same ids
		if oldID, ok := old.ids[name]; ok && merged.rows[oldID] == t.rows[id] {
			merged.ids[name] = oldID
			continue
		}
		merged.ids[name] = ID(len(merged.rows))
		merged.rows = append(merged.rows, t.rows[id])
	}
	return merged
}
