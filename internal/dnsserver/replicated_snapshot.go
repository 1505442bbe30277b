package dnsserver

import (
	"encoding/json"
	"unicode/utf8"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
)

// maxChunkBytes is the maximum length of the snapshot text in one value. It is half of the maximum size of a value,
// because the text is JSON that is encoded as a JSON string.
const maxChunkBytes = kv.MaxValueBytes / 2

// writeSnapshot writes a snapshot, and deletes the chunks and changes of the old head. The write fails with
// errReplicaBehind unless the head in the store still has the given index.
func (r *ReplicatedZone) writeSnapshot(
	zone *dnszone.Zone, fileSum string, oldHead storeHead, index kv.Index,
) error {
	text, err := json.Marshal(newZoneRecord(zone, fileSum))
	if err != nil {
		return err
	}
	chunks, err := splitChunks(text)
	if err != nil {
		return err
	}
	edits, err := r.deletionEdits(oldHead)
	if err != nil {
		return err
	}
	newHead := storeHead{
		Serial:         zone.Serial(),
		SnapshotSerial: zone.Serial(),
		Chunks:         len(chunks),
		FileSum:        fileSum,
	}
	isSameSnapshot := newHead.SnapshotSerial == oldHead.SnapshotSerial
	for number, chunk := range chunks {
		if isSameSnapshot && number < oldHead.Chunks {
			edits[number].Value = chunk // overwritten instead of deleted, because the key is the same
			continue
		}
		edits = append(edits, kv.Edit{Key: chunkKey(newHead.SnapshotSerial, number), Value: chunk})
	}
	return r.write(newHead, index, edits)
}

// deletionEdits returns the edits that delete a head's chunks, which come first and in order, followed by the
// edits that delete its changes.
func (r *ReplicatedZone) deletionEdits(head storeHead) ([]kv.Edit, error) {
	var edits []kv.Edit
	for number := range head.Chunks {
		edits = append(edits, kv.Edit{Key: chunkKey(head.SnapshotSerial, number)})
	}
	serial := head.SnapshotSerial
	for range head.Changes {
		key := changeKey(serial)
		entry, ok := r.ReadLocal(key)
		var change dnszone.Change
		if !ok || json.Unmarshal(entry.Value, &change) != nil {
			return nil, errReplicaBehind
		}
		edits = append(edits, kv.Edit{Key: key})
		serial = change.ToSerial
	}
	return edits, nil
}

// splitChunks splits a text into JSON strings, each with at most maxChunkBytes of the text. It does not split within a
// character.
func splitChunks(text []byte) (chunks [][]byte, err error) {
	for len(text) > 0 {
		size := min(len(text), maxChunkBytes)
		for size < len(text) && !utf8.RuneStart(text[size]) {
			size--
		}
		chunk, err := json.Marshal(string(text[:size]))
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, chunk)
		text = text[size:]
	}
	return chunks, nil
}
