package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// readStrict reads a file that holds a JSON object and preserves the notation of numbers. Unlike json.Unmarshal, it
// rejects duplicate keys, because one of the two values would be lost.
func readStrict(path string) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	fields, err := decodeStrict(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return fields, nil
}

func decodeStrict(text []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	value, err := decodeValue(decoder, "")
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the JSON object")
	}
	fields, ok := value.(map[string]any)
	if !ok {
		return nil, errors.New("the top-level value is not a JSON object")
	}
	return fields, nil
}

// decodeValue decodes the next value. Errors refer to the value by its path.
func decodeValue(decoder *json.Decoder, path string) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, syntaxError(path, err)
	}
	switch token {
	case json.Delim('{'):
		return decodeFields(decoder, path)
	case json.Delim('['):
		return decodeList(decoder, path)
	}
	return token, nil
}

// decodeFields decodes the fields of an object whose opening brace has been read.
func decodeFields(decoder *json.Decoder, path string) (map[string]any, error) {
	fields := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxError(path, err)
		}
		key := token.(string) // the decoder returns only strings as keys
		if _, ok := fields[key]; ok {
			return nil, fmt.Errorf("%s is a duplicate key", joinPath(path, key))
		}
		if fields[key], err = decodeValue(decoder, joinPath(path, key)); err != nil {
			return nil, err
		}
	}
	_, err := decoder.Token() // the closing brace
	return fields, err
}

// decodeList decodes the elements of a list whose opening bracket has been read.
func decodeList(decoder *json.Decoder, path string) ([]any, error) {
	list := []any{}
	for decoder.More() {
		value, err := decodeValue(decoder, fmt.Sprintf("%s[%d]", path, len(list)))
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := decoder.Token() // the closing bracket
	return list, err
}

func syntaxError(path string, err error) error {
	if path == "" {
		path = "the file"
	}
	return fmt.Errorf("%s: invalid JSON: %w", path, err)
}
