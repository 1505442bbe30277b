package billingservice

import (
	"bytes"
	"context"
	"encoding/json"

	"fawnplank/internal/billing"
)

// Sink receives exported records. It must be idempotent: it accepts a batch that it already has, which it identifies by
// the first and last sequence number, without effect.
type Sink interface {
	// LastSequence returns the sequence number of the sink's last record, or 0 if it has none.
	LastSequence(ctx context.Context) (uint64, error)
	// Send sends a batch, which must not be empty. After an error the sink may still have accepted the batch. Send
	// returns an error if the sink already has the batch with different content.
	Send(ctx context.Context, batch []billing.UsageRecord) error
}

// encodeBatch encodes a batch as one JSON object per line.
func encodeBatch(batch []billing.UsageRecord) []byte {
	var encoded bytes.Buffer
	for _, record := range batch {
		line, _ := json.Marshal(record) // cannot fail, because a record consists of numbers and strings
		encoded.Write(append(line, '\n'))
	}
	return encoded.Bytes()
}
