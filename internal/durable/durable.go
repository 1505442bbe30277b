// Package durable replaces files so that the new content survives a crash of the machine.
//
// The package has no state and is safe for concurrent use, also by several processes. If two writers replace the same
// file, the last rename takes effect, and every reader gets the complete content of one writer.
package durable

import (
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// DirOpenError reports that the file was replaced, but its directory could not be opened to sync the rename. This
// happens if the process has permission to write to the directory but not to read it.
type DirOpenError struct {
	Err error
}

// Error returns the text of the error from opening the directory.
func (e *DirOpenError) Error() string { return e.Err.Error() }

// Unwrap returns the error from opening the directory.
func (e *DirOpenError) Unwrap() error { return e.Err }

// WriteFile writes the content to a temporary file in the directory of path, syncs it, renames it to path, and then
// syncs the directory. An error before the rename leaves the old file unchanged. After the rename, the error is a
// *DirOpenError if the directory could not be opened. After that error, or a failed sync of the directory, it is not
// known whether the new file would survive a crash.
func WriteFile(path string, content []byte, mode os.FileMode) error {
	if err := renameio.WriteFile(path, content, mode); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir makes renames in a directory durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return &DirOpenError{Err: err}
	}
	defer func() { _ = dir.Close() }() // the directory was only read
	return dir.Sync()
}
