package billingservice

import (
	"errors"
	"fmt"
)

// ErrStore reports that an operation is not known to be committed. If the write got no answer, it may still be
// committed. If the operation is repeated with the same id or epoch, it is applied only once.
//
// The text is the same in two cases in which the store does answer, and nothing is committed: the stored account
// cannot be read (repeating does not help; the error in brackets says why), and the account was changed by
// others between reading and writing at each attempt, for operationTimeout.
var ErrStore = errors.New("the store gives no answer; ask again with the same words")

// ErrReceiverAhead reports that the receiver has records that this store has never numbered. Each
// round of the export fails with it until Resume.
var ErrReceiverAhead = errors.New("the receiver has records that the store has not numbered: " +
	"it was put back to an old copy. Nothing is exported until `fawnplank billing resume`")

// InvalidReportError reports that the units of a stored report cannot be added to accounts. The report stays
// in the store.
type InvalidReportError struct {
	ReportName string // the part of its key after the prefix
	Err        error
}

// Error returns the report's name and the reason.
func (e *InvalidReportError) Error() string { return fmt.Sprintf("report %s: %v", e.ReportName, e.Err) }

// Unwrap returns the reason.
func (e *InvalidReportError) Unwrap() error { return e.Err }

// MissingRecordError reports that a record of the batch in flight is not in the store, or is not readable.
type MissingRecordError struct {
	Sequence uint64
}

// Error names the record.
func (e *MissingRecordError) Error() string {
	return fmt.Sprintf("record %d is missing in the store", e.Sequence)
}

// AlreadyExportedError reports that Resume was given a sequence before the last one that was exported.
type AlreadyExportedError struct {
	AcknowledgedSequence uint64 // the last sequence that the receiver has acknowledged
}

// Error names the sequence that the receiver has.
func (e *AlreadyExportedError) Error() string {
	return fmt.Sprintf("record %d is exported already: the receiver has %d at least",
		e.AcknowledgedSequence, e.AcknowledgedSequence)
}

// ReceiverStatusError reports that a Receiver's answer has a status that is not a success.
type ReceiverStatusError struct {
	StatusCode int    // an HTTP status code
	Status     string // the code with its text
	Body       []byte // the beginning of the answer
}

// Error returns the status and the beginning of the answer.
func (e *ReceiverStatusError) Error() string {
	return fmt.Sprintf("the receiver answers %s: %.200s", e.Status, e.Body)
}
