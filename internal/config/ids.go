package config

import "fawnplank/policy"

// rowID is the number of a row: a policy.ClassID or a policy.PlanID.
type rowID interface{ ~uint16 | ~uint32 }

// idsByName numbers rows in their order and returns the numbers by name. A name is not empty and is of one row, since
// requests name their class and plan by it.
func idsByName[ID rowID](rows []object) map[string]ID {
	ids := map[string]ID{}
	for n, row := range rows {
		name := required[string](row, keyName)
		if name == "" {
			row.failf(keyName, "is empty")
		}
		if earlier, taken := ids[name]; taken {
			row.failf(keyName, "is %q, as that of row %d; give each row a name of its own", name, earlier)
		}
		ids[name] = ID(n)
	}
	return ids
}

// KeepIDs renumbers the classes and plans of a newly read configuration, so that ids mean what they meant in
// old. A name whose row is unchanged keeps its id. A new name, or one whose row changed, gets an id after all
// ids of old. Old rows stay for the requests in flight under them; names that are gone admit no request. A class that
// AddCheckOnlyClass adds must be there already.
func (c *Config) KeepIDs(old *Config) {
	classes := c.classTable().withIDsOf(old.classTable())
	c.Settings.Classes = classes.rows
	c.Classes = classes.ids
	plans := c.planTable().withIDsOf(old.planTable())
	c.Settings.Plans = plans.rows
	c.Plans = plans.ids
}

func (c *Config) classTable() table[policy.ClassSettings, policy.ClassID] {
	return table[policy.ClassSettings, policy.ClassID]{rows: c.Settings.Classes, ids: c.Classes}
}

func (c *Config) planTable() table[policy.PlanSettings, policy.PlanID] {
	return table[policy.PlanSettings, policy.PlanID]{rows: c.Settings.Plans, ids: c.Plans}
}

// table holds rows, indexed by id, and the ids of their names.
type table[T comparable, ID rowID] struct {
	rows []T
	ids  map[string]ID
}

// names returns the names of the rows, by id.
func (t table[T, ID]) names() []string {
	names := make([]string, len(t.rows))
	for name, id := range t.ids {
		names[id] = name
	}
	return names
}

// withIDsOf returns the table with the rows of old before its own, where an unchanged row keeps its old id.
func (t table[T, ID]) withIDsOf(old table[T, ID]) table[T, ID] {
	merged := table[T, ID]{rows: append([]T(nil), old.rows...), ids: map[string]ID{}}
	for id, name := range t.names() { // in the file's order, so that the same file gives the same ids
		if oldID, ok := old.ids[name]; ok && merged.rows[oldID] == t.rows[id] {
			merged.ids[name] = oldID
			continue
		}
		merged.ids[name] = ID(len(merged.rows))
		merged.rows = append(merged.rows, t.rows[id])
	}
	return merged
}
