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
	// receiverTimeout is the timeout of a call to the receiver. A batch is a few kilobytes.
	receiverTimeout = 10 * time.Second
	// receiverIdleTimeout is how long an idle connection to the receiver is kept open.
	receiverIdleTimeout = time.Minute
	// maxResponseBytes bounds how much of a response is read. A response is a number or an error text.
	maxResponseBytes = 4 << 10
)

// HTTPSink is a sink that sends records over HTTP to the receiver, the operator's billing system. It sends a batch
// with POST, as one JSON object per line and with the header Idempotency-Key: fawnplank-FIRST-LAST. With GET it reads
// the receiver's last sequence number as {"last": N}. It is safe for concurrent use.
type HTTPSink struct {
	url    string
	client *http.Client
}

// NewHTTPSink returns a sink that sends records to the receiver at the given URL.
func NewHTTPSink(url string) *HTTPSink {
	return &HTTPSink{
		url: url,
		client: &http.Client{
			Timeout:   receiverTimeout,
			Transport: &http.Transport{IdleConnTimeout: receiverIdleTimeout},
		},
	}
}

// LastSequence requests the last sequence number that the receiver has. The error is a *ReceiverStatusError if the
// status of the response is not a success.
func (s *HTTPSink) LastSequence(ctx context.Context) (uint64, error) {
	body, err := s.call(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	var response struct {
		LastSequence *uint64 `json:"last"`
	}
	if err := json.Unmarshal(body, &response); err != nil || response.LastSequence == nil {
		return 0, fmt.Errorf("the receiver answered %.100q, want {\"last\": N}", body)
	}
	return *response.LastSequence, nil
}

// Send sends a batch to the receiver. The error is a *ReceiverStatusError if the status of the response is not a
// success.
func (s *HTTPSink) Send(ctx context.Context, batch []billing.UsageRecord) error {
	idempotencyKey := fmt.Sprintf("fawnplank-%d-%d", batch[0].Sequence, batch[len(batch)-1].Sequence)
	_, err := s.call(ctx, http.MethodPost, idempotencyKey, encodeBatch(batch))
	return err
}

// call makes a request and returns the body of a successful response. If idempotencyKey is empty, the request has no
// such header.
func (s *HTTPSink) call(ctx context.Context, method, idempotencyKey string, requestBody []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, s.url, bytes.NewReader(requestBody))
	if err != nil {
		return nil, err
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
		request.Header.Set("Content-Type", "application/x-ndjson")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = response.Body.Close() // an error after reading the body is of no consequence
	}()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if !isSuccess(response.StatusCode) {
		return nil, &ReceiverStatusError{StatusCode: response.StatusCode, Status: response.Status, Body: responseBody}
	}
	return responseBody, nil
}

// isSuccess reports whether an HTTP status code is one of 200 to 299.
func isSuccess(statusCode int) bool {
	return statusCode >= http.StatusOK && statusCode < http.StatusMultipleChoices
}
