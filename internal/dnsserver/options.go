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
	JournalFile         string   // path; stores the zone in force. If empty, updates are refused
	ListenAddress       string   // host and port, for UDP and TCP; if empty, the server does not listen
	Keys                []Key    // keys that may update and transfer the zone
	MaxUpdatesPerSecond float64  // over all senders; at least one update may come at once
	Secondaries         []string // addresses, host and port, that are notified of changes
	// ReplicatedZone, if set, replaces the journal. Updates are then applied in all replicas or in none.
	ReplicatedZone *ReplicatedZone
	// Publish receives every change to the list of backends. It is called once at a time, and before the update
	// that made the change is answered. The server's lock is held, so it must not call the server.
	Publish func(update BackendListUpdate)
}

// BackendListUpdate is a change to the list of backends.
type BackendListUpdate struct {
	Updated []dnszone.Backend // new or changed
	Removed []string          // by name
	Full    bool              // Updated is the complete list
}

// readStoredZone reads the content of the store or the journal. It returns nil if there is none. Settings must be
// canonical.
func (o Options) readStoredZone() (*storedZone, error) {
	if o.ReplicatedZone != nil {
		return o.ReplicatedZone.load(o.Settings)
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
