package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// writeNew writes a file under a temporary name in the same folder and links it to its path only when it is
// complete. It never replaces an existing file and never leaves half of one.
func writeNew(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".fawnplank-*")
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	defer func() { _ = os.Remove(file.Name()) }() // at worst the file stays under its hidden name
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Link(file.Name(), path) // fails if a file exists at the path, which includes the source file
	}
	if errors.Is(err, os.ErrExist) {
		err = errors.New("is there already")
	}
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	return nil
}
