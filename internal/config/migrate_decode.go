package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// readStrict reads a file that holds a JSON object and keeps numbers as they are written. Unlike
// json.Unmarshal it rejects a key that appears twice, because one of its values would be lost.
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
		return nil, errors.New("something follows the object")
	}
	fields, ok := value.(map[string]any)
	if !ok {
		return nil, errors.New("is no JSON object")
	}
	return fields, nil
}

// decodeValue decodes the next value. The path names the value in errors.
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

// decodeFields decodes an object after its opening brace.
func decodeFields(decoder *json.Decoder, path string) (map[string]any, error) {
	fields := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxError(path, err)
		}
		key := token.(string) // the decoder returns only strings in the place of a key
		if _, ok := fields[key]; ok {
			return nil, fmt.Errorf("%s comes twice", joinPath(path, key))
		}
		if fields[key], err = decodeValue(decoder, joinPath(path, key)); err != nil {
			return nil, err
		}
	}
	_, err := decoder.Token() // the closing brace
	return fields, err
}

// decodeList decodes a list after its opening bracket.
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
	return fmt.Errorf("%s: no JSON: %w", path, err)
}
