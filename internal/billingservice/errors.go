package billingservice

import (
	"errors"
	"fmt"
)

// ErrStore reports that an operation is not known to be committed. If the store did not answer the write, it may still
// be committed. An operation that is repeated with the same id or epoch is applied at most once.
//
// ErrStore is also returned in two cases in which the store does answer and nothing is committed: the stored account
// cannot be decoded (a repetition fails too; the wrapped error states the reason), or every attempt during
// operationTimeout met a conflict with another write of the account.
var ErrStore = errors.New("the store gives no answer; ask again with the same words")

// ErrReceiverAhead reports that the receiver has records whose sequence numbers this store has never assigned. Each
// round of the export fails with it until Resume is called.
var ErrReceiverAhead = errors.New("the receiver has records that the store has not numbered: " +
	"the store was restored from an old backup. The export is halted until `fawnplank billing resume`")

// errReplicaBehind reports that a replica does not apply what the leader has committed.
var errReplicaBehind = errors.New("the replica has not applied the last write of the store; " +
	"name one that follows the leader")

// InvalidReportError reports that the units of a stored report cannot be added to accounts. The report stays
// in the store.
type InvalidReportError struct {
	ReportName string // the report's key without reportPrefix
	Err        error
}

// Error returns the report's name and the underlying error.
func (e *InvalidReportError) Error() string { return fmt.Sprintf("report %s: %v", e.ReportName, e.Err) }

// Unwrap returns the underlying error.
func (e *InvalidReportError) Unwrap() error { return e.Err }

// MissingRecordError reports that a record of the batch in flight is missing in the store or cannot be decoded.
type MissingRecordError struct {
	Sequence uint64
}

// Error states the record's sequence number.
func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("record %d is missing in the store or cannot be decoded", e.Sequence)
}

// AlreadyExportedError reports that Resume was called with a sequence number before that of the last exported record.
type AlreadyExportedError struct {
	AcknowledgedSequence uint64 // of the last record that the receiver has acknowledged
}

// Error states the sequence number of the last acknowledged record.
func (e *AlreadyExportedError) Error() string {
	return fmt.Sprintf("record %d is already exported: resume after record %d or a later one",
		e.AcknowledgedSequence, e.AcknowledgedSequence)
}

// ReceiverStatusError reports that the receiver answered an HTTPSink with a status other than success.
type ReceiverStatusError struct {
	StatusCode int    // an HTTP status code
	Status     string // the status code and its text, as in "404 Not Found"
	Body       []byte // the beginning of the response body
}

// Error returns the status and the beginning of the response body.
func (e *ReceiverStatusError) Error() string {
	return fmt.Sprintf("the receiver answered with status %s: %.200s", e.Status, e.Body)
}
