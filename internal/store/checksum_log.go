package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
)

// checksumMagic is the prefix of the stored Extensions of an entry that has a checksum. It is stored, so it must not
// change.
var checksumMagic = []byte("fpx1")

// checksumLog is Raft's log with a checksum for each entry. The log file has no checksums: without them, a byte that
// changed on the disk would be applied as a part of the command. The checksum is stored in the entry's Extensions,
// which nothing else uses, and is not sent to other replicas. Entries that an earlier version wrote have no checksum
// and are not verified.
//
// A checksumLog is as safe for concurrent use as the log that it wraps.
type checksumLog struct{ raft.LogStore }

// CorruptEntryError reports that the checksum of a log entry does not match its content.
type CorruptEntryError struct {
	Index uint64
}

// Error returns a message with the index of the entry and the steps that repair the replica.
func (e *CorruptEntryError) Error() string {
	return fmt.Sprintf("log entry %d: wrong checksum; remove this replica, empty its directory, and add it again",
		e.Index)
}

// GetLog reads an entry, and returns a *CorruptEntryError if its checksum does not match.
func (l checksumLog) GetLog(index uint64, entry *raft.Log) error {
	if err := l.LogStore.GetLog(index, entry); err != nil {
		return err
	}
	if len(entry.Extensions) == 0 {
		return nil
	}
	if !bytes.Equal(entry.Extensions, checksumExtension(entry)) {
		return &CorruptEntryError{Index: index}
	}
	entry.Extensions = nil
	return nil
}

// StoreLog stores an entry with its checksum.
func (l checksumLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores copies of the entries with their checksums. It does not modify the entries, because Raft
// continues to use them.
func (l checksumLog) StoreLogs(entries []*raft.Log) error {
	checksummed := make([]*raft.Log, len(entries))
	for i, entry := range entries {
		checksummedEntry := *entry
		checksummedEntry.Extensions = checksumExtension(entry)
		checksummed[i] = &checksummedEntry
	}
	return l.LogStore.StoreLogs(checksummed)
}

// verifyAll reads and verifies all entries, and returns the first error.
func (l checksumLog) verifyAll() error {
	firstIndex, err := l.FirstIndex()
	if err != nil {
		return err
	}
	lastIndex, err := l.LastIndex()
	if err != nil {
		return err
	}
	for index := max(firstIndex, 1); index <= lastIndex; index++ {
		var entry raft.Log
		if err := l.GetLog(index, &entry); err != nil {
			return err
		}
	}
	return nil
}

// checksumExtension returns the Extensions to store with an entry: checksumMagic and a hash of the entry's index, term,
// type and data.
func checksumExtension(entry *raft.Log) []byte {
	hash := xxhash.New()
	var header []byte
	header = binary.BigEndian.AppendUint64(header, entry.Index)
	header = binary.BigEndian.AppendUint64(header, entry.Term)
	header = append(header, byte(entry.Type))
	_, _ = hash.Write(header) // a hash never returns an error
	_, _ = hash.Write(entry.Data)
	return binary.BigEndian.AppendUint64(bytes.Clone(checksumMagic), hash.Sum64())
}
