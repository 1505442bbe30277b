package tomlfile

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Renames are the names that a format has given up and still reads. The zero value renames nothing.
type Renames struct {
	Keys   []KeyRename
	Values []ValueRename
}

// KeyRename is a key or table that has a new name.
type KeyRename struct {
	Table string // the path of the table that contains the key, by its new names; "" at the top
	Old   string
	New   string
}

// ValueRename is a word that a key takes by a new name.
type ValueRename struct {
	Key string // the path of the key, by its new names
	Old string
	New string
}

// Deprecation is an old name that a text uses.
type Deprecation struct {
	File string
	Line int // of its first use, from 1 on
	Old  string
	New  string
}

// String returns a warning that names the place, the old name and the new one.
func (d Deprecation) String() string {
	return fmt.Sprintf("%s:%d: %s is deprecated: use %s", d.File, d.Line, d.Old, d.New)
}

// ReadWithRenames decodes a text as Read does, and accepts old names for new ones. The file and all errors use the
// new names. Each old name in use gives one deprecation, in the order of the text. A key that a text gives by
// both names is an error.
func ReadWithRenames(name string, text []byte, into any, renames Renames) (*File, []Deprecation, error) {
	r := newRenamer(name, text, renames)
	if err := r.walk(); err != nil {
		return nil, nil, err
	}
	file, err := Read(name, r.renamedText(), into)
	return file, r.deprecations, err
}

// location is a key's path by its new names.
type location struct {
	path string // "class.deadline", for look-ups in the renames
	row  string // "class[1].deadline", which tells the rows of an array apart
}

func (l location) child(name string) location {
	if l.path == "" {
		return location{path: name, row: name}
	}
	return location{path: l.path + "." + name, row: l.row + "." + name}
}

func (l location) element(n int) location {
	return location{path: l.path, row: fmt.Sprintf("%s[%d]", l.row, n)}
}

// usage is the name by which a text first gives a key.
type usage struct {
	name string
	line int
}

// edit replaces a range of the text.
type edit struct {
	at          unstable.Range
	replacement string
}

// renamer finds the old names in a text.
type renamer struct {
	name   string
	text   []byte
	parser unstable.Parser
	keys   map[string]string            // new names, by the path that ends in the old one
	values map[string]map[string]string // new words, by key and old word

	usages       map[string]usage // by row
	rows         map[string]int   // elements so far of each array of tables
	reported     map[string]bool  // old names that have a deprecation
	edits        []edit           // in the order of the text
	deprecations []Deprecation
}

func newRenamer(name string, text []byte, renames Renames) *renamer {
	r := &renamer{
		name:     name,
		text:     text,
		keys:     map[string]string{},
		values:   map[string]map[string]string{},
		usages:   map[string]usage{},
		rows:     map[string]int{},
		reported: map[string]bool{},
	}
	for _, key := range renames.Keys {
		r.keys[location{path: key.Table}.child(key.Old).path] = key.New
	}
	for _, value := range renames.Values {
		if r.values[value.Key] == nil {
			r.values[value.Key] = map[string]string{}
		}
		r.values[value.Key][value.Old] = value.New
	}
	return r
}

// walk collects the edits and deprecations. It stops without an error where the text is malformed: reading
// reports that.
func (r *renamer) walk() error {
	r.parser.Reset(r.text)
	var table location
	for r.parser.NextExpression() {
		expression := r.parser.Expression()
		var err error
		switch expression.Kind {
		case unstable.Table:
			table, err = r.walkKey(location{}, expression)
		case unstable.ArrayTable:
			table, err = r.walkKey(location{}, expression)
			r.rows[table.row]++
			table = r.latestRow(table)
		case unstable.KeyValue:
			err = r.walkKeyValue(table, expression)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// latestRow returns the latest element if the location is an array of tables.
func (r *renamer) latestRow(at location) location {
	if n := r.rows[at.row]; n > 0 {
		return at.element(n - 1)
	}
	return at
}

// walkKeyValue renames a key and what its value contains.
func (r *renamer) walkKeyValue(table location, keyValue *unstable.Node) error {
	at, err := r.walkKey(table, keyValue)
	if err != nil {
		return err
	}
	return r.walkValue(at, keyValue.Value())
}

// walkKey renames the parts of a dotted key and returns its location.
func (r *renamer) walkKey(table location, expression *unstable.Node) (location, error) {
	at := table
	for it := expression.Key(); it.Next(); {
		var err error
		if at, err = r.renameKey(r.latestRow(at), it.Node()); err != nil {
			return at, err
		}
	}
	return at, nil
}

func (r *renamer) walkValue(at location, value *unstable.Node) error {
	switch value.Kind {
	case unstable.String:
		r.renameValue(at, value)
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			if err := r.walkKeyValue(at, it.Node()); err != nil {
				return err
			}
		}
	case unstable.Array:
		n := 0
		for it := value.Children(); it.Next(); n++ {
			if err := r.walkValue(at.element(n), it.Node()); err != nil {
				return err
			}
		}
	}
	return nil
}

// renameKey renames a part of a key and returns its location. It returns an error if the text also gives the
// key by its other name.
func (r *renamer) renameKey(table location, node *unstable.Node) (location, error) {
	name := string(node.Data)
	at := table.child(name)
	if renamed, ok := r.keys[at.path]; ok {
		old := at.path
		at = table.child(renamed)
		r.deprecate(node, old, at.path, renamed)
	}
	line := r.lineOf(node)
	first, used := r.usages[at.row]
	if !used {
		r.usages[at.row] = usage{name: name, line: line}
		return at, nil
	}
	if first.name != name {
		return at, &PositionError{File: r.name, Line: line, Err: &KeyError{
			Key:     at.row,
			Problem: fmt.Sprintf("is given as %q in line %d and as %q here: keep one", first.name, first.line, name),
		}}
	}
	return at, nil
}

func (r *renamer) renameValue(key location, node *unstable.Node) {
	old := string(node.Data)
	renamed, ok := r.values[key.path][old]
	if !ok {
		return
	}
	r.deprecate(node, fmt.Sprintf("%s = %q", key.path, old), strconv.Quote(renamed), strconv.Quote(renamed))
}

// deprecate replaces a node and reports the first use of its old name.
func (r *renamer) deprecate(node *unstable.Node, oldName, newName, replacement string) {
	r.edits = append(r.edits, edit{at: node.Raw, replacement: replacement})
	if r.reported[oldName] {
		return
	}
	r.reported[oldName] = true
	r.deprecations = append(r.deprecations, Deprecation{
		File: r.name, Line: r.lineOf(node), Old: oldName, New: newName,
	})
}

func (r *renamer) lineOf(node *unstable.Node) int { return r.parser.Shape(node.Raw).Start.Line }

// renamedText returns the text with all edits made. Names and words have no line breaks, so that lines stay
// where they are.
func (r *renamer) renamedText() []byte {
	var text bytes.Buffer
	end := 0
	for _, e := range r.edits {
		text.Write(r.text[end:e.at.Offset])
		text.WriteString(e.replacement)
		end = int(e.at.Offset + e.at.Length)
	}
	text.Write(r.text[end:])
	return text.Bytes()
}
