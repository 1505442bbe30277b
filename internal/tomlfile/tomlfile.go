// Package tomlfile decodes TOML texts (toml.io, version 1.0) strictly into Go values. It records the line of each key,
// so that errors name the file, the line and the key. It also accepts the old names of renamed keys and values, and
// reports their use. It defines no settings and sets no defaults.
//
// Read and ReadWithRenames are safe for concurrent use. A File is immutable.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// PositionError is an error at a position in a text. It wraps a KeyError, or an error that does not concern the value
// of a key, such as malformed TOML or an unknown key.
type PositionError struct {
	File string
	Line int // counted from 1; 0 if the line is unknown
	Err  error
}

// Error returns "file:line: error", or "file: error" if the line is unknown.
func (e *PositionError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the error without its position.
func (e *PositionError) Unwrap() error { return e.Err }

// KeyError is an error in the value of a key.
type KeyError struct {
	Key     string // the full path of the key, such as limits.key[0].name
	Problem string // predicate of a sentence whose subject is the key, such as "is not from 1 to 10"
}

// Error returns the key, followed by the problem.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// File holds the name of a decoded text and the lines of its keys.
type File struct {
	name  string
	lines map[string]int // counted from 1, by full path, such as "load.rate" or "class[1].deadline"
}

// Read decodes a text strictly into the value that into points to. Unknown keys, duplicate keys, values of the wrong
// type and truncated texts are errors. Error messages contain name as the name of the file. Errors are of type
// *PositionError.
func Read(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	if err := f.indexLines(text); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	if err := decoder.DisallowUnknownFields().Decode(into); err != nil {
		return nil, f.decodeError(err)
	}
	return f, nil
}

// decodeError converts an error of the decoder to a *PositionError.
func (f *File) decodeError(err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		unknown := missing.Errors[0]
		line, _ := unknown.Position()
		return f.errorAt(line, fmt.Errorf("unknown key %s", strings.Join(unknown.Key(), ".")))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		message := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		if key := strings.Join(decodeErr.Key(), "."); key != "" && !strings.Contains(message, key) {
			message = key + ": " + message
		}
		return f.errorAt(line, errors.New(message))
	}
	return f.errorAt(0, err)
}

func (f *File) errorAt(line int, err error) error {
	return &PositionError{File: f.name, Line: line, Err: err}
}

// indexLines records the line of each key. It rejects duplicate keys, since the decoder does not detect a duplicate key
// within a table of an array.
func (f *File) indexLines(text []byte) error {
	var parser unstable.Parser
	parser.Reset(text)
	prefix := "" // path prefix of the keys in the current table
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

// parseError converts an error of the parser to a *PositionError. An error without a position comes from a truncated
// text, so it gets the last line.
func (f *File) parseError(parser *unstable.Parser, text []byte, err error) error {
	line := bytes.Count(text, []byte("\n")) + 1
	var parserError *unstable.ParserError
	if errors.As(err, &parserError) && len(parserError.Highlight) > 0 {
		line = parser.Shape(parser.Range(parserError.Highlight)).Start.Line
	}
	return f.errorAt(line, errors.New(strings.TrimPrefix(err.Error(), "toml: ")))
}

// HasKey reports whether the text sets a key, given by its full path.
func (f *File) HasKey(key string) bool { return f.lines[key] > 0 }

// KeyErrorf returns an error about a key: a *PositionError that wraps a *KeyError. Its line is that of the key, or of
// the innermost enclosing table if the text does not set the key. The format and its arguments yield the problem.
func (f *File) KeyErrorf(key, format string, args ...any) error {
	nearest := key
	for f.lines[nearest] == 0 {
		dot := strings.LastIndexByte(nearest, '.')
		if dot < 0 {
			break
		}
		nearest = nearest[:dot]
	}
	return f.errorAt(f.lines[nearest], &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)})
}
