package dnsserver

import (
	"encoding/json"
	"fmt"

	"fawnplank/internal/dnszone"
)

// storedFormat is the version of the stored format. Any other version is rejected.
const storedFormat = 1

// storedZone is the content of a journal or of the store.
type storedZone struct {
	zone      *dnszone.Zone
	fileSum   string            // checksum of the last adopted zone file
	changes   []*dnszone.Change // since the snapshot, in order
	size      int64             // length of a journal's intact lines, in bytes
	tornBytes int64             // length of a journal's last line, if that line is torn
}

// zoneRecord is the stored form of a zone with its settings. It is the first line of a journal, and the
// snapshot in the store.
type zoneRecord struct {
	Format   int              `json:"format"`
	Origin   string           `json:"origin"`   // canonical
	Service  string           `json:"service"`  // canonical
	FileSum  string           `json:"file_sum"` // checksum of the last adopted zone file
	Snapshot dnszone.Snapshot `json:"snapshot"`
}

func newZoneRecord(zone *dnszone.Zone, fileSum string) zoneRecord {
	return zoneRecord{
		Format:   storedFormat,
		Origin:   zone.Origin,
		Service:  zone.Service,
		FileSum:  fileSum,
		Snapshot: zone.Snapshot(),
	}
}

func (r *zoneRecord) settings() dnszone.Settings {
	return dnszone.Settings{Origin: r.Origin, Service: r.Service}
}

// decodeZoneRecord decodes a zone record. It returns an error if the record has another format, zone or service than
// this version and the settings.
func decodeZoneRecord(text []byte, settings dnszone.Settings) (*storedZone, error) {
	var record zoneRecord
	if err := json.Unmarshal(text, &record); err != nil {
		return nil, err
	}
	if record.Format != storedFormat {
		return nil, &StoredFormatError{Format: record.Format}
	}
	if storedSettings := record.settings(); storedSettings != settings {
		return nil, &SettingsMismatchError{Stored: storedSettings, Configured: settings}
	}
	zone, err := dnszone.Restore(record.Snapshot, settings)
	if err != nil {
		return nil, err
	}
	return &storedZone{zone: zone, fileSum: record.FileSum}, nil
}

// decodeTransition decodes a stored change and applies it to a zone. The transition contains the change as it is
// stored.
func decodeTransition(zone *dnszone.Zone, text []byte) (*dnszone.Transition, error) {
	change := &dnszone.Change{}
	if err := json.Unmarshal(text, change); err != nil {
		return nil, err
	}
	transition, err := zone.Apply(change)
	if err != nil {
		return nil, err
	}
	transition.Change = change
	return transition, nil
}

// applyTransition replaces the zone with the transition's zone, and records the change.
func (z *storedZone) applyTransition(transition *dnszone.Transition) {
	z.zone = transition.Zone
	z.changes = append(z.changes, transition.Change)
}

// StoredFormatError reports a journal or a store in a format that this version does not read.
type StoredFormatError struct {
	Format int // as stored
}

// Error returns a message with both formats.
func (e *StoredFormatError) Error() string {
	return fmt.Sprintf("stored format %d is not supported; this version reads format %d", e.Format, storedFormat)
}

// SettingsMismatchError reports a journal or a store that belongs to another zone or service.
type SettingsMismatchError struct {
	Stored, Configured dnszone.Settings
}

// Error returns a message with both zones and services.
func (e *SettingsMismatchError) Error() string {
	return fmt.Sprintf("stored for zone %s and service %s, but %s and %s are configured",
		e.Stored.Origin, e.Stored.Service, e.Configured.Origin, e.Configured.Service)
}
