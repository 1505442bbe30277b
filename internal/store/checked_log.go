package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// checksumMagic begins the stored Extensions of an entry with a checksum. It is stored, so it must not change.
var checksumMagic = []byte("fpx1")

// checkedLog is Raft's log with a checksum for each entry, since the file itself has none: a byte that changed on the
// disk would be applied as a part of the command. The checksum is stored in the entry's Extensions, which nothing else
// uses, and does not leave this replica. Entries that an earlier version wrote have none and are not checked.
//
// It is as safe for concurrent use as the log that it wraps.
type checkedLog struct{ raft.LogStore }

// CorruptEntryError reports that an entry of the log is not as it was written.
type CorruptEntryError struct {
	Index uint64
}

// Error says what to do.
func (e *CorruptEntryError) Error() string {
	return fmt.Sprintf("entry %d is not as it was written; remove this replica, empty its folder, and add it again",
		e.Index)
}

// GetLog reads an entry, and returns a *CorruptEntryError if its checksum does not fit.
func (l checkedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := l.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	if len(entry.Extensions) == 0 {
		return nil
	}
	if !bytes.Equal(entry.Extensions, checksum(entry)) {
		return &CorruptEntryError{Index: index}
	}
	entry.Extensions = nil
	return nil
}

// StoreLog stores an entry with its checksum.
func (l checkedLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries with their checksums. The entries themselves stay as they are, since Raft goes on using
// them.
func (l checkedLog) StoreLogs(entries []*raft.Log) error {
	checked := make([]*raft.Log, len(entries))
	for i, entry := range entries {
		withChecksum := *entry
		withChecksum.Extensions = checksum(entry)
		checked[i] = &withChecksum
	}
	return l.LogStore.StoreLogs(checked)
}

// verify reads all entries, and returns the first error.
func (l checkedLog) verify() error {
	first, err := l.FirstIndex()
	if err != nil {
		return err
	}
	last, err := l.LastIndex()
	if err != nil {
		return err
	}
	for index := max(first, 1); index <= last; index++ {
		var entry raft.Log
		if err := l.GetLog(index, &entry); err != nil {
			return err
		}
	}
	return nil
}

// checksum returns what the Extensions of an entry hold: checksumMagic and a hash of its index, term, type and data.
func checksum(entry *raft.Log) []byte {
	hash := xxhash.New()
	var head []byte
	head = binary.BigEndian.AppendUint64(head, entry.Index)
	head = binary.BigEndian.AppendUint64(head, entry.Term)
	head = append(head, byte(entry.Type))
	_, _ = hash.Write(head) // a hash never returns an error
	_, _ = hash.Write(entry.Data)
	return binary.BigEndian.AppendUint64(bytes.Clone(checksumMagic), hash.Sum64())
}
