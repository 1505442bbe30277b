// Package sharedids holds the ids of requests in memory that the processes of one gateway share: during an upgrade the
// former and the new process serve the same address, and a request that one of them may have run must not run at the
// other.
//
// A Table is a file in a folder of the machine, mapped into the memory of each process. An id is an entry with an
// expiry on the machine's monotonic clock, which all processes read alike. Claims need no system calls and no locks.
// The last process that closes the file removes it unless an id is still claimed. One that is left, also after a
// kill, is used by the next process.
//
// All methods are safe for concurrent use. Those of a nil Table do nothing, and its claims succeed.
package sharedids

import (
	"errors"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// probeLength is the number of entries in which an id may be.
	probeLength = 8
	// minEntries is the smallest size of a table.
	minEntries = 256
)

// entry is an id that is claimed until its expiry. The layout is that of the file.
type entry struct {
	hash   atomic.Uint64 // of the id
	expiry atomic.Int64  // on the machine's monotonic clock, in nanoseconds; free from then on
}

// Table is a set of ids that the processes of a gateway share.
type Table struct {
	file    *lockedFile
	entries []entry // mapped memory
	// startedAt and startNanos are the same moment, on this process's clock and on the machine's.
	startedAt  time.Time
	startNanos int64
}

// Open opens the table of the processes that serve an address, and creates it if there is none. It has room for about
// the given number of ids; that of a table which exists already is kept. Nil is returned with an error.
func Open(folder, address string, ids int) (*Table, error) {
	size := entriesFor(ids) * int(unsafe.Sizeof(entry{}))
	file, err := openLocked(folder, address, size)
	if err != nil {
		return nil, err
	}
	memory, err := file.mapMemory()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return nil, errors.Join(err, unix.Munmap(memory), file.Close())
	}
	return &Table{
		file:       file,
		entries:    unsafe.Slice((*entry)(unsafe.Pointer(&memory[0])), len(memory)/int(unsafe.Sizeof(entry{}))),
		startedAt:  time.Now(),
		startNanos: now.Nano(),
	}, nil
}

// entriesFor returns the number of entries for a number of ids: twice as many, so that few ids meet full entries, and a
// power of two.
func entriesFor(ids int) int {
	entries := minEntries
	for entries < 2*ids {
		entries *= 2
	}
	return entries
}

// Close removes the table if no other process uses it and no id is claimed. The memory stays mapped: a request may end
// later. Close is called once, when the process is about to end.
func (t *Table) Close() error {
	if t == nil {
		return nil
	}
	var err error
	if !t.hasClaims() {
		err = t.file.removeIfUnused()
	}
	return errors.Join(err, t.file.Close())
}

// hasClaims reports whether an id is claimed.
func (t *Table) hasClaims() bool {
	now := t.now()
	for n := range t.entries {
		if t.entries[n].expiry.Load() > now {
			return true
		}
	}
	return false
}

// Claim claims an id for a duration. It returns false if the id is claimed already.
func (t *Table) Claim(id string, duration time.Duration) bool {
	if t == nil {
		return true
	}
	hash, now := hashOf(id), t.now()
	if t.find(hash, now) != nil {
		return false
	}
	t.insert(hash, now+int64(duration))
	return true
}

// Retain changes how long an id that this process has claimed stays claimed from now on.
func (t *Table) Retain(id string, duration time.Duration) {
	if t == nil {
		return
	}
	now := t.now()
	if claimed := t.find(hashOf(id), now); claimed != nil {
		claimed.expiry.Store(now + int64(duration))
	}
}

// Release frees an id that this process has claimed.
func (t *Table) Release(id string) { t.Retain(id, 0) }

// now returns the time on the machine's monotonic clock, in nanoseconds.
func (t *Table) now() int64 { return t.startNanos + int64(time.Since(t.startedAt)) }

// hashOf returns the hash of an id. All processes compute the same one.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// probe returns the entries in which an id may be.
func (t *Table) probe(hash uint64) []entry {
	first := int(hash % uint64(len(t.entries)-probeLength+1))
	return t.entries[first : first+probeLength]
}

// find returns the entry of a claimed id, or nil.
func (t *Table) find(hash uint64, now int64) *entry {
	probe := t.probe(hash)
	for n := range probe {
		if probe[n].hash.Load() == hash && probe[n].expiry.Load() > now {
			return &probe[n]
		}
	}
	return nil
}

// insert writes an id into a free entry, or into the one that expires first.
func (t *Table) insert(hash uint64, expiry int64) {
	probe := t.probe(hash)
	for range probeLength { // another goroutine or process may take the entry first
		chosen := &probe[0]
		for n := range probe {
			if probe[n].expiry.Load() < chosen.expiry.Load() {
				chosen = &probe[n]
			}
		}
		former := chosen.expiry.Load()
		if chosen.expiry.CompareAndSwap(former, expiry) {
			chosen.hash.Store(hash)
			return
		}
	}
}
