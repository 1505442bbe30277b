package billingservice

import (
	"bytes"
	"context"
	"encoding/json"

	"fawnplank/internal/billing"
)

// Sink receives records. It accepts a batch that was sent before, identified by its first and last sequence,
// again without effect.
type Sink interface {
	// LastSequence returns the last sequence that the sink has; 0 if it has none.
	LastSequence(ctx context.Context) (uint64, error)
	// Send sends a batch, which is not empty. After an error the sink may still have accepted the batch. If the
	// sink knows the batch with different content, Send returns an error.
	Send(ctx context.Context, batch []billing.UsageRecord) error
}

// encodeBatch encodes a batch as it is sent: one JSON object per line.
func encodeBatch(batch []billing.UsageRecord) []byte {
	var encoded bytes.Buffer
	for _, record := range batch {
		line, _ := json.Marshal(record) // a record of numbers and strings always marshals
		encoded.Write(append(line, '\n'))
	}
	return encoded.Bytes()
}
