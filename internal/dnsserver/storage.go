package dnsserver

import "fmt"

// storage is where the server stores the current zone.
type storage int

const (
	storageNone          storage = iota // nowhere: the zone file is the only source
	storageJournal                      // in a journal that this process has locked
	storageLockedJournal                // in a journal that another process has locked
	storageReplicated                   // in the replicated store
)

// String returns the name of the storage.
func (s storage) String() string {
	switch s {
	case storageNone:
		return "none"
	case storageJournal:
		return "journal"
	case storageLockedJournal:
		return "locked journal"
	case storageReplicated:
		return "replicated"
	}
	return fmt.Sprintf("storage(%d)", int(s))
}

// acceptsUpdates reports whether this process can store changes. Updates that cannot be stored are refused.
func (s storage) acceptsUpdates() bool { return s == storageJournal || s == storageReplicated }

// storage returns where this process stores the current zone. The caller holds the lock.
func (s *Server) storage() storage {
	switch {
	case s.options.ReplicatedStore != nil:
		return storageReplicated
	case s.journal != nil:
		return storageJournal
	case s.options.JournalFile != "":
		return storageLockedJournal
	}
	return storageNone
}
