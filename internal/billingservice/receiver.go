package billingservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"fawnplank/internal/billing"
)

const (
	// receiverTimeout bounds a call to the receiver, which stores a few kilobytes.
	receiverTimeout = 10 * time.Second
	// receiverIdleTimeout is how long a connection to the receiver is reused.
	receiverIdleTimeout = time.Minute
	// maxResponseBytes bounds how much of an answer is read. The answer is a number, or the text of an error.
	maxResponseBytes = 4 << 10
)

// HTTPSink is a sink that uses HTTP. It sends a batch as lines with POST and the header Idempotency-Key:
// fawnplank-FIRST-LAST, and gets {"last": N} with GET. It is safe for concurrent use.
type HTTPSink struct {
	url    string
	client *http.Client
}

// NewHTTPSink returns a sink that sends to the receiver at a URL.
func NewHTTPSink(url string) *HTTPSink {
	return &HTTPSink{
		url: url,
		client: &http.Client{
			Timeout:   receiverTimeout,
			Transport: &http.Transport{IdleConnTimeout: receiverIdleTimeout},
		},
	}
}

// LastSequence asks the receiver for the last sequence that it has. An answer that is not a success is a
// *ReceiverStatusError.
func (r *HTTPSink) LastSequence(ctx context.Context) (uint64, error) {
	text, err := r.call(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	var answer struct {
		LastSequence *uint64 `json:"last"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || answer.LastSequence == nil {
		return 0, fmt.Errorf("the receiver answers %.100q in place of {\"last\": N}", text)
	}
	return *answer.LastSequence, nil
}

// Send sends a batch to the receiver. An answer that is not a success is a *ReceiverStatusError.
func (r *HTTPSink) Send(ctx context.Context, batch []billing.UsageRecord) error {
	key := fmt.Sprintf("fawnplank-%d-%d", batch[0].Sequence, batch[len(batch)-1].Sequence)
	_, err := r.call(ctx, http.MethodPost, key, encodeBatch(batch))
	return err
}

// call makes a request, with an idempotency key unless key is empty, and returns the body of a successful
// answer.
func (r *HTTPSink) call(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, r.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Content-Type", "application/x-ndjson")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = response.Body.Close() // the body was only read
	}()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if !isSuccess(response.StatusCode) {
		return nil, &ReceiverStatusError{StatusCode: response.StatusCode, Status: response.Status, Body: text}
	}
	return text, nil
}

// isSuccess reports whether an HTTP status code is one of 200 to 299.
func isSuccess(statusCode int) bool {
	return statusCode >= http.StatusOK && statusCode < http.StatusMultipleChoices
}
