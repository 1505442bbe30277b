// Package durable replaces files so that the new content survives a crash of the machine.
//
// It owns nothing between calls and is safe for concurrent use, also by several processes: of two writers of one
// file, the last rename wins, and no reader sees a mixture.
package durable

import (
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// DirOpenError reports that the file was replaced, but its folder could not be opened to sync the rename. A
// process may write to a folder that it may not read.
type DirOpenError struct {
	Err error
}

// Error returns the text of the error that the file system gave.
func (e *DirOpenError) Error() string { return e.Err.Error() }

// Unwrap returns the error that the file system gave.
func (e *DirOpenError) Unwrap() error { return e.Err }

// WriteFile writes the content under another name in the file's folder, syncs it, renames it over the old
// file, and then syncs the folder. Until the rename, an error leaves the old file unchanged. After the rename,
// the error is a *DirOpenError if the folder could not be opened; whether the new file survives a crash is
// then, as after any error of the sync, not known.
func WriteFile(path string, content []byte, mode os.FileMode) error {
	if err := renameio.WriteFile(path, content, mode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder makes a rename in the folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return &DirOpenError{Err: err}
	}
	defer func() { _ = folder.Close() }() // the folder was only read
	return folder.Sync()
}
