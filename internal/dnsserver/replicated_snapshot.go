package dnsserver

import (
	"encoding/json"
	"unicode/utf8"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
)

// maxPieceBytes is how much of a snapshot goes into one value: half of the maximum size of a value, because the
// value is JSON within JSON.
const maxPieceBytes = kv.MaxValueBytes / 2

// writeSnapshot writes a snapshot and deletes everything that belongs to the old head, whose index is given.
func (r *ReplicatedZone) writeSnapshot(
	zone *dnszone.Zone, fileSum string, old storeHead, index kv.Index,
) error {
	text, err := json.Marshal(newZoneRecord(zone, fileSum))
	if err != nil {
		return err
	}
	pieces, err := splitPieces(text)
	if err != nil {
		return err
	}
	edits, err := r.deletions(old)
	if err != nil {
		return err
	}
	next := storeHead{
		Serial:         zone.Serial(),
		SnapshotSerial: zone.Serial(),
		Pieces:         len(pieces),
		FileSum:        fileSum,
	}
	isSameSnapshot := next.SnapshotSerial == old.SnapshotSerial
	for number, piece := range pieces {
		if isSameSnapshot && number < old.Pieces {
			edits[number].Value = piece // written instead of deleted, because the key is the same
			continue
		}
		edits = append(edits, kv.Edit{Key: pieceKey(next.SnapshotSerial, number), Value: piece})
	}
	return r.write(next, index, edits)
}

// deletions returns the edits that delete a head's pieces, which come first and in order, followed by those
// that delete its changes.
func (r *ReplicatedZone) deletions(head storeHead) ([]kv.Edit, error) {
	var edits []kv.Edit
	for number := range head.Pieces {
		edits = append(edits, kv.Edit{Key: pieceKey(head.SnapshotSerial, number)})
	}
	serial := head.SnapshotSerial
	for range head.Changes {
		key := changeKey(serial)
		entry, ok := r.ReadLocal(key)
		var change dnszone.Change
		if !ok || json.Unmarshal(entry.Value, &change) != nil {
			return nil, errBehind
		}
		edits = append(edits, kv.Edit{Key: key})
		serial = change.ToSerial
	}
	return edits, nil
}

// splitPieces splits a text into JSON strings. Each holds at most maxPieceBytes of the text, and no character
// is split.
func splitPieces(text []byte) (pieces [][]byte, err error) {
	for len(text) > 0 {
		size := min(len(text), maxPieceBytes)
		for size < len(text) && !utf8.RuneStart(text[size]) {
			size--
		}
		piece, err := json.Marshal(string(text[:size]))
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, piece)
		text = text[size:]
	}
	return pieces, nil
}
