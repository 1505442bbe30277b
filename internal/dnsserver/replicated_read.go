package dnsserver

import (
	"encoding/json"
	"fmt"
	"strings"

	"fawnplank/internal/dnszone"
)

// load reads the zone from this replica's local state. It returns nil if no zone is stored, and errReplicaBehind if the
// replica has applied only some of the zone's keys.
func (r *ReplicatedZone) load(settings dnszone.Settings) (*storedZone, error) {
	head, index, err := r.readHead()
	if err != nil || index == 0 {
		return nil, err
	}
	stored, err := r.loadSnapshot(head, settings)
	if err != nil {
		return nil, err
	}
	for stored.zone.Serial() != head.Serial {
		transition, err := r.applyNextChange(stored.zone)
		if err != nil {
			return nil, err
		}
		if transition == nil {
			return nil, errReplicaBehind
		}
		stored.applyTransition(transition)
	}
	return stored, nil
}

// loadSnapshot reads and decodes the snapshot that a head refers to.
func (r *ReplicatedZone) loadSnapshot(head storeHead, settings dnszone.Settings) (*storedZone, error) {
	text, err := r.readSnapshotText(head)
	if err != nil {
		return nil, err
	}
	stored, err := decodeZoneRecord([]byte(text), settings)
	if err != nil {
		return nil, fmt.Errorf("store: zone snapshot: %w", err)
	}
	return stored, nil
}

// readSnapshotText concatenates the chunks of the snapshot that a head refers to.
func (r *ReplicatedZone) readSnapshotText(head storeHead) (string, error) {
	var text strings.Builder
	for number := range head.Chunks {
		key := chunkKey(head.SnapshotSerial, number)
		entry, ok := r.ReadLocal(key)
		if !ok {
			return "", fmt.Errorf("store: %s is missing: %w", key, errReplicaBehind)
		}
		var chunk string
		if err := json.Unmarshal(entry.Value, &chunk); err != nil {
			return "", fmt.Errorf("store: %s: %w", key, err)
		}
		text.WriteString(chunk)
	}
	return text.String(), nil
}

// applyNextChange applies the stored change that follows a zone. It returns nil if there is no such change.
func (r *ReplicatedZone) applyNextChange(zone *dnszone.Zone) (*dnszone.Transition, error) {
	key := changeKey(zone.Serial())
	entry, ok := r.ReadLocal(key)
	if !ok {
		return nil, nil
	}
	transition, err := decodeTransition(zone, entry.Value)
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", key, err)
	}
	return transition, nil
}
