package dnsserver

import (
	"encoding/json"
	"slices"
	"unicode/utf8"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// maxChunkBytes is the maximum length of the snapshot text in one value. It is half of the maximum size of a value,
// because the text is JSON that is encoded as a JSON string.
const maxChunkBytes = kv.MaxValueBytes / 2

// writeSnapshot writes a snapshot, and deletes the chunks and changes of the old head. The write fails with
// errReplicaBehind unless the head in the store still has the given index. Changes that are too many for the write are
// deleted after it: no head refers to them any more.
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
	edits, tooMany := splitDeletions(edits, oldHead.Chunks)
	if err := r.write(newHead, index, edits); err != nil {
		return err
	}
	r.deleteInBatches(tooMany)
	return nil
}

// splitDeletions splits the edits of a snapshot so that the first part and the head's edit fit into one command. edits
// begins with those of the old chunks, and continues with the deletions of changes; the edits of new chunks come last.
// Only deletions of changes are split off.
func splitDeletions(edits []kv.Edit, oldChunks int) (fitting, tooMany []kv.Edit) {
	excess := len(edits) + 1 - kv.MaxEdits
	if excess <= 0 {
		return edits, nil
	}
	end := min(oldChunks+excess, len(edits))
	return slices.Concat(edits[:oldChunks], edits[end:]), edits[oldChunks:end]
}

// deleteInBatches deletes keys to which no head refers. If that fails, they are left, which has no consequence but the
// space that they take.
func (r *ReplicatedZone) deleteInBatches(deletions []kv.Edit) {
	for batch := range slices.Chunk(deletions, kv.MaxEdits) {
		if err := r.Edit(batch); err != nil {
			logging.For(component).WithError(err).WithField("changes", len(deletions)).Warn("old changes not deleted")
			return
		}
	}
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
