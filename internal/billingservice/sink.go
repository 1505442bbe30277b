package billingservice

import (
	"bytes"
	"context"
	"encoding/json"

	"fawnplank/internal/billing"
)

// Sink is a receiver of records. A batch that it was sent before, known by its first and last sequence, it
// accepts again without effect.
type Sink interface {
	// Last is the last sequence that it has; 0: none.
	Last(ctx context.Context) (uint64, error)
	// Send gives it a batch, which is not empty. After an error it may have accepted it. One that it knows
	// with another content is an error.
	Send(ctx context.Context, batch []billing.Record) error
}

// encodeBatch is a batch as it is sent: a JSON object a line.
func encodeBatch(batch []billing.Record) []byte {
	var encoded bytes.Buffer
	for _, record := range batch {
		line, _ := json.Marshal(record) // of numbers and strings: it has no errors
		encoded.Write(append(line, '\n'))
	}
	return encoded.Bytes()
}
