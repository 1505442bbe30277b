package tomlfile

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Renames lists the deprecated names that a file format still accepts. The zero value renames nothing.
type Renames struct {
	Keys   []KeyRename
	Values []ValueRename
}

// KeyRename is a renamed key or table.
type KeyRename struct {
	Table string // path of the table that contains the key, in new names; "" for the top level
	Old   string
	New   string
}

// ValueRename is a renamed string value of a key.
type ValueRename struct {
	Key string // path of the key, in new names
	Old string
	New string
}

// Deprecation reports that a text uses an old name.
type Deprecation struct {
	File string
	Line int // line of the first use, counted from 1
	Old  string
	New  string
}

// String returns a warning with the file, the line, the old name and the new name.
func (d Deprecation) String() string {
	return fmt.Sprintf("%s:%d: %s is deprecated: use %s", d.File, d.Line, d.Old, d.New)
}

// ReadWithRenames decodes a text like Read, but also accepts old names. The returned File and all errors use the new
// names. It returns one Deprecation for each old name in use, in the order of the text. It is an error if a text
// gives the same key by its old and by its new name.
func ReadWithRenames(name string, text []byte, into any, renames Renames) (*File, []Deprecation, error) {
	r := newRenamer(name, text, renames)
	if err := r.walk(); err != nil {
		return nil, nil, err
	}
	file, err := Read(name, r.renamedText(), into)
	return file, r.deprecations, err
}

// location is the path of a key, in new names.
type location struct {
	path        string // without row numbers, such as "class.deadline", for lookups in the renames
	indexedPath string // with row numbers, such as "class[1].deadline"
}

func (l location) child(name string) location {
	if l.path == "" {
		return location{path: name, indexedPath: name}
	}
	return location{path: l.path + "." + name, indexedPath: l.indexedPath + "." + name}
}

func (l location) element(n int) location {
	return location{path: l.path, indexedPath: fmt.Sprintf("%s[%d]", l.indexedPath, n)}
}

// firstUse records the name, old or new, that the first use of a key has in the text.
type firstUse struct {
	name string
	line int
}

// edit replaces a range of the text.
type edit struct {
	textRange   unstable.Range
	replacement string
}

// renamer replaces the old names in a text by the new names.
type renamer struct {
	name   string
	text   []byte
	parser unstable.Parser
	keys   map[string]string            // new names, by the path that ends in the old name
	values map[string]map[string]string // new values, by the path of the key and the old value

	firstUses     map[string]firstUse // by indexed path
	elementCounts map[string]int      // number of elements so far, by the indexed path of an array of tables
	reported      map[string]bool     // old names with a deprecation
	edits         []edit              // in the order of the text
	deprecations  []Deprecation
}

func newRenamer(name string, text []byte, renames Renames) *renamer {
	r := &renamer{
		name:          name,
		text:          text,
		keys:          map[string]string{},
		values:        map[string]map[string]string{},
		firstUses:     map[string]firstUse{},
		elementCounts: map[string]int{},
		reported:      map[string]bool{},
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

// walk collects the edits and deprecations. At malformed TOML it stops without an error, because Read reports the error
// afterwards.
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
			r.elementCounts[table.indexedPath]++
			table = r.latestElement(table)
		case unstable.KeyValue:
			err = r.walkKeyValue(table, expression)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// latestElement returns the location of the latest element if loc is an array of tables, and loc otherwise.
func (r *renamer) latestElement(loc location) location {
	if n := r.elementCounts[loc.indexedPath]; n > 0 {
		return loc.element(n - 1)
	}
	return loc
}

// walkKeyValue renames a key, and the names within its value.
func (r *renamer) walkKeyValue(table location, keyValue *unstable.Node) error {
	loc, err := r.walkKey(table, keyValue)
	if err != nil {
		return err
	}
	return r.walkValue(loc, keyValue.Value())
}

// walkKey renames the parts of a dotted key and returns its location.
func (r *renamer) walkKey(table location, expression *unstable.Node) (location, error) {
	loc := table
	for it := expression.Key(); it.Next(); {
		var err error
		if loc, err = r.renameKey(r.latestElement(loc), it.Node()); err != nil {
			return loc, err
		}
	}
	return loc, nil
}

func (r *renamer) walkValue(loc location, value *unstable.Node) error {
	switch value.Kind {
	case unstable.String:
		r.renameValue(loc, value)
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			if err := r.walkKeyValue(loc, it.Node()); err != nil {
				return err
			}
		}
	case unstable.Array:
		n := 0
		for it := value.Children(); it.Next(); n++ {
			if err := r.walkValue(loc.element(n), it.Node()); err != nil {
				return err
			}
		}
	}
	return nil
}

// renameKey renames one part of a dotted key and returns its location. It returns an error if an earlier line uses the
// other name of the same key.
func (r *renamer) renameKey(table location, node *unstable.Node) (location, error) {
	name := string(node.Data)
	loc := table.child(name)
	if newName, ok := r.keys[loc.path]; ok {
		oldPath := loc.path
		loc = table.child(newName)
		r.replaceOldName(node, oldPath, loc.path, newName)
	}
	line := r.lineOf(node)
	first, used := r.firstUses[loc.indexedPath]
	if !used {
		r.firstUses[loc.indexedPath] = firstUse{name: name, line: line}
		return loc, nil
	}
	if first.name != name {
		return loc, &PositionError{File: r.name, Line: line, Err: &KeyError{
			Key:     loc.indexedPath,
			Problem: fmt.Sprintf("is given as %q in line %d and as %q here: keep one", first.name, first.line, name),
		}}
	}
	return loc, nil
}

func (r *renamer) renameValue(key location, node *unstable.Node) {
	oldValue := string(node.Data)
	newValue, ok := r.values[key.path][oldValue]
	if !ok {
		return
	}
	r.replaceOldName(node, fmt.Sprintf("%s = %q", key.path, oldValue), strconv.Quote(newValue), strconv.Quote(newValue))
}

// replaceOldName records an edit that replaces a node, and a deprecation for the first use of the old name.
func (r *renamer) replaceOldName(node *unstable.Node, oldName, newName, replacement string) {
	r.edits = append(r.edits, edit{textRange: node.Raw, replacement: replacement})
	if r.reported[oldName] {
		return
	}
	r.reported[oldName] = true
	r.deprecations = append(r.deprecations, Deprecation{
		File: r.name, Line: r.lineOf(node), Old: oldName, New: newName,
	})
}

func (r *renamer) lineOf(node *unstable.Node) int { return r.parser.Shape(node.Raw).Start.Line }

// renamedText returns the text with all edits applied. New names and values contain no line breaks, so the line numbers
// do not change.
func (r *renamer) renamedText() []byte {
	var text bytes.Buffer
	end := 0
	for _, e := range r.edits {
		text.Write(r.text[end:e.textRange.Offset])
		text.WriteString(e.replacement)
		end = int(e.textRange.Offset + e.textRange.Length)
	}
	text.Write(r.text[end:])
	return text.Bytes()
}
