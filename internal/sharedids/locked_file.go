package sharedids

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// fileMode lets only the user of the gateway read and write the file.
const fileMode = 0o600

// maxOpenAttempts bounds how often a file is opened that another process removes at the same moment.
const maxOpenAttempts = 10

var (
	errFileReplaced = errors.New("the file was removed or is empty")
	errForeignFile  = errors.New("the file belongs to another user")
)

// lockedFile is a file with a shared lock for as long as the process uses it.
type lockedFile struct {
	*os.File
	path string
	size int
}

// openLocked opens the file for an address, creates it if there is none, and locks it.
func openLocked(folder, address string, size int) (*lockedFile, error) {
	name := "fawnplank-" + strings.NewReplacer(":", "-", "/", "-").Replace(address) + ".ids"
	path := filepath.Join(folder, name)
	var err error
	for range maxOpenAttempts {
		var file *lockedFile
		if file, err = tryOpenLocked(path, size); err == nil || !errors.Is(err, errFileReplaced) {
			return file, err
		}
	}
	return nil, err
}

// tryOpenLocked is one attempt of openLocked. It returns errFileReplaced if another process removed the file.
func tryOpenLocked(path string, size int) (*lockedFile, error) {
	opened, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW, fileMode)
	if err != nil {
		return nil, err
	}
	file := &lockedFile{File: opened, path: path}
	if err := file.prepare(size); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// prepare locks the file, and gives it its size if no other process uses it.
func (f *lockedFile) prepare(size int) error {
	if err := f.lock(size); err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	opened, err := f.Stat()
	if err != nil {
		return err
	}
	if owner, ok := opened.Sys().(*syscall.Stat_t); !ok || int(owner.Uid) != os.Getuid() {
		return fmt.Errorf("%s: %w", f.path, errForeignFile)
	}
	current, err := os.Lstat(f.path)
	f.size = int(opened.Size())
	if err != nil || !os.SameFile(opened, current) || f.size == 0 {
		return errFileReplaced
	}
	return nil
}

// lock takes a shared lock. If no other process uses the file, lock first gives it the given size; otherwise the file
// keeps its size, since all processes must find an id in the same place.
func (f *lockedFile) lock(size int) error {
	err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		err = f.resize(size)
	}
	if err != nil && !errors.Is(err, unix.EWOULDBLOCK) {
		return err
	}
	return unix.Flock(int(f.Fd()), unix.LOCK_SH)
}

// resize gives the file a size, and empties it if it had another one. It writes zeros, which unlike Truncate takes the
// space: a write to mapped memory without it would end the process.
func (f *lockedFile) resize(size int) error {
	status, err := f.Stat()
	if err != nil || status.Size() == int64(size) {
		return err
	}
	if err := f.Truncate(0); err != nil {
		return err
	}
	_, err = f.WriteAt(make([]byte, size), 0)
	return err
}

// mapMemory maps the file.
func (f *lockedFile) mapMemory() ([]byte, error) {
	return unix.Mmap(int(f.Fd()), 0, f.size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

// removeIfUnused removes the file if no other process has it locked.
func (f *lockedFile) removeIfUnused() error {
	err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil
	}
	if err != nil {
		return err
	}
	return os.Remove(f.path)
}
