package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// writeNew writes a new file. It first writes a temporary file in the same folder, then links it to path, so that it
// never replaces an existing file and never leaves a partial file at path.
func writeNew(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".fawnplank-*")
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	defer func() { _ = os.Remove(file.Name()) }() // on failure, a hidden temporary file remains
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Link(file.Name(), path) // fails if a file exists at path, such as the source file
	}
	if errors.Is(err, os.ErrExist) {
		err = errors.New("is there already")
	}
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
