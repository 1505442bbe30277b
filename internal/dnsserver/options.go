package dnsserver

import (
	"errors"
	"os"

	"fawnplank/internal/dnszone"
)

// Options configures a server. Settings, ZoneFile and Publish are required.
type Options struct {
	Settings            dnszone.Settings
	ZoneFile            string   // path of the master file
	JournalFile         string   // path; stores the current zone. If empty, updates are refused
	ListenAddress       string   // host and port, for UDP and TCP; if empty, the server does not listen
	Keys                []Key    // keys that may update and transfer the zone
	MaxUpdatesPerSecond float64  // over all senders; a burst of at least one update is allowed
	Secondaries         []string // host and port of each server to notify of changes
	// ReplicatedStore, if set, is used instead of the journal. An update is then applied at all replicas or at none.
	ReplicatedStore *ReplicatedZone
	// Publish receives every change to the list of backends. Calls do not overlap. Publish is called before the
	// update that made the change is answered, and must not call the server, because the server's lock is held.
	Publish func(update BackendListUpdate)
}

// BackendListUpdate is a change to the list of backends.
type BackendListUpdate struct {
	Updated []dnszone.Backend // new or changed
	Removed []string          // by name
	Full    bool              // Updated is the complete list
}

// readStoredZone reads the zone in the store or the journal. It returns nil if no zone is stored. Settings must be
// canonical.
func (o Options) readStoredZone() (*storedZone, error) {
	if o.ReplicatedStore != nil {
		return o.ReplicatedStore.load(o.Settings)
	}
	if o.JournalFile == "" {
		return nil, nil
	}
	stored, err := readJournal(o.JournalFile, o.Settings)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return stored, err
}
