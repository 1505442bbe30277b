// Package tomlfile reads TOML texts (toml.io, version 1.0) strictly into Go values and keeps the line of each
// key, so that every fault names the file, the line and the key. It owns no settings and gives no defaults.
package tomlfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a text that was read whole, with the lines of its keys.
type File struct {
	name  string
	lines map[string]int
}

// Read reads the text strictly into the value that into points to: an unknown key, one that stands twice, a
// value of the wrong type and a text cut short are errors. name stands for the text in messages. Each error
// has the form "name:line: what".
func Read(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	if err := f.index(text); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	err := decoder.DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var fault *toml.DecodeError
	switch {
	case errors.As(err, &missing) && len(missing.Errors) > 0:
		line, _ := missing.Errors[0].Position()
		return nil, fmt.Errorf("%s:%d: unknown key %s", name, line, strings.Join(missing.Errors[0].Key(), "."))
	case errors.As(err, &fault):
		line, _ := fault.Position()
		what := strings.TrimPrefix(fault.Error(), "toml: ")
		if key := strings.Join(fault.Key(), "."); key != "" && !strings.Contains(what, key) {
			what = key + ": " + what
		}
		return nil, fmt.Errorf("%s:%d: %s", name, line, what)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// index notes the line of each key, under its full path: "load.rate", "profile[1].effect". It refuses what the
// decoder lets pass: a key that stands twice within a table of an array.
func (f *File) index(text []byte) error {
	var p unstable.Parser
	p.Reset(text)
	prefix, rows := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var names []string
		line := 0
		for it := e.Key(); it.Next(); {
			names = append(names, string(it.Node().Data))
			line = p.Shape(it.Node().Raw).Start.Line
		}
		path := strings.Join(names, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = path + "."
			f.lines[path] = line
		case unstable.ArrayTable:
			n := rows[path]
			rows[path]++
			path = fmt.Sprintf("%s[%d]", path, n)
			prefix = path + "."
			f.lines[path] = line
		case unstable.KeyValue:
			path = prefix + path
			if first, twice := f.lines[path]; twice {
				return fmt.Errorf("%s:%d: %s stands twice, first in line %d", f.name, line, path, first)
			}
			f.lines[path] = line
		}
	}
	if err := p.Error(); err != nil {
		line := strings.Count(string(text), "\n") + 1
		var at *unstable.ParserError
		if errors.As(err, &at) && len(at.Highlight) > 0 {
			line = p.Shape(p.Range(at.Highlight)).Start.Line
		}
		return fmt.Errorf("%s:%d: %s", f.name, line, strings.TrimPrefix(err.Error(), "toml: "))
	}
	return nil
}

// Has says whether the key stands in the text.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Fault is an error about a key: with its line, or that of the nearest table around it.
func (f *File) Fault(key, what string) error {
	at := key
	for f.lines[at] == 0 {
		dot := strings.LastIndexByte(at, '.')
		if dot < 0 {
			return fmt.Errorf("%s: %s %s", f.name, key, what)
		}
		at = at[:dot]
	}
	return fmt.Errorf("%s:%d: %s %s", f.name, f.lines[at], key, what)
}
