// Package tomlfile decodes TOML texts (toml.io, version 1.0) strictly into Go values. It records the line of
// each key, so that every error names the file, the line and the key. It also reads names that a format has
// renamed, and reports them. It owns no settings and sets no defaults.
//
// Read and ReadWithRenames are safe for concurrent use, and a File never changes after it has been read.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// PositionError is an error at a position in a text. It concerns the form of the text, or wraps a KeyError.
type PositionError struct {
	File string
	Line int // counted from 1; 0 if no line is known
	Err  error
}

// Error returns "file:line: what", or "file: what" if no line is known.
func (e *PositionError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the error without its position.
func (e *PositionError) Unwrap() error { return e.Err }

// KeyError is a fault in the value of a key.
type KeyError struct {
	Key     string // with its path, as in limits.key[0].name
	Problem string // completes a sentence that begins with the key: "is not from 1 to 10"
}

// Error returns the key and its problem.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// File is a completely read text, with the lines of its keys.
type File struct {
	name  string
	lines map[string]int // from 1 on, by full path: "load.rate", "class[1].deadline"
}

// Read decodes the text strictly into the value that into points to. An unknown key, a key that appears
// twice, a value of the wrong type and a truncated text are errors. Messages refer to the text by name.
// Errors are of type *PositionError.
func Read(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	if err := f.index(text); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	if err := decoder.DisallowUnknownFields().Decode(into); err != nil {
		return nil, f.decodeError(err)
	}
	return f, nil
}

// decodeError converts an error of the decoder to the form of this package.
func (f *File) decodeError(err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		unknown := missing.Errors[0]
		line, _ := unknown.Position()
		return f.errorAt(line, fmt.Errorf("unknown key %s", strings.Join(unknown.Key(), ".")))
	}
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		line, _ := fault.Position()
		what := strings.TrimPrefix(fault.Error(), "toml: ")
		if key := strings.Join(fault.Key(), "."); key != "" && !strings.Contains(what, key) {
			what = key + ": " + what
		}
		return f.errorAt(line, errors.New(what))
	}
	return f.errorAt(0, err)
}

func (f *File) errorAt(line int, err error) error {
	return &PositionError{File: f.name, Line: line, Err: err}
}

// index records the line of each key. It rejects what the decoder lets pass: a key that appears twice within
// a table of an array.
func (f *File) index(text []byte) error {
	var parser unstable.Parser
	parser.Reset(text)
	prefix := "" // of the table that contains the next keys
	rows := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = path + "."
			f.lines[path] = line
		case unstable.ArrayTable:
			row := fmt.Sprintf("%s[%d]", path, rows[path])
			rows[path]++
			prefix = row + "."
			f.lines[row] = line
		case unstable.KeyValue:
			path = prefix + path
			if first, ok := f.lines[path]; ok {
				return f.errorAt(line, fmt.Errorf("%s stands twice, first in line %d", path, first))
			}
			f.lines[path] = line
		}
	}
	if err := parser.Error(); err != nil {
		return f.parseError(&parser, text, err)
	}
	return nil
}

// keyOf returns the dotted key of an expression, and the line of the key's last part.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var names []string
	for it := expression.Key(); it.Next(); {
		names = append(names, string(it.Node().Data))
		line = parser.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(names, "."), line
}

// parseError converts an error of the parser to the form of this package. An error without a position comes
// from a truncated text.
func (f *File) parseError(parser *unstable.Parser, text []byte, err error) error {
	line := bytes.Count(text, []byte("\n")) + 1
	var at *unstable.ParserError
	if errors.As(err, &at) && len(at.Highlight) > 0 {
		line = parser.Shape(parser.Range(at.Highlight)).Start.Line
	}
	return f.errorAt(line, errors.New(strings.TrimPrefix(err.Error(), "toml: ")))
}

// HasKey reports whether the text contains the key.
func (f *File) HasKey(key string) bool { return f.lines[key] > 0 }

// KeyErrorf returns an error about a key: a *KeyError within a *PositionError, with the line of the key or of
// the nearest table around it. The format and its arguments state the problem.
func (f *File) KeyErrorf(key, format string, args ...any) error {
	at := key
	for f.lines[at] == 0 {
		dot := strings.LastIndexByte(at, '.')
		if dot < 0 {
			break
		}
		at = at[:dot]
	}
	return f.errorAt(f.lines[at], &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)})
}
