package dnszone

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

var (
	errNoRecord         = errors.New("contains no resource record")
	errNotExactlyOneSOA = errors.New("there is not exactly one SOA record")
	errRecordNotInZone  = errors.New("cannot be deleted, because it is not in the zone")
	// errServiceUnavailable rejects the target ".", which means in RFC 2782 that the service is not available.
	errServiceUnavailable = errors.New(`an SRV record with the target ".": delete the records instead`)
)

// PositionError is an error in a master file, with the file name and line of the invalid record.
type PositionError struct {
	File string
	Line int // from 1
	Err  error
}

// Error returns the error in the form "file:line: message".
func (e *PositionError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the error without its position.
func (e *PositionError) Unwrap() error { return e.Err }

// withPosition wraps an error in a *PositionError with the line of a record. It returns the error unchanged if the
// record does not come from a master file that is being parsed.
func (z *Zone) withPosition(rr dns.RR, err error) error {
	if line := z.recordLines[rr]; line > 0 {
		return &PositionError{File: z.fileName, Line: line, Err: err}
	}
	return err
}

// NoBackendError reports that a master file has no SRV record for the service.
type NoBackendError struct {
	Service string // owner name of the SRV records
}

// Error returns a message with the service name.
func (e *NoBackendError) Error() string {
	return e.Service + " has no SRV record: a zone file without any backend is rejected"
}

// SequenceError reports that a change cannot be applied to a zone, because the change starts at another serial
// than that of the zone, or does not increase the serial.
type SequenceError struct {
	FromSerial, ToSerial uint32 // of the change
	ZoneSerial           uint32
}

// Error returns a message with the three serials.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("change from serial %d to %d does not follow %d", e.FromSerial, e.ToSerial, e.ZoneSerial)
}

// RecordError reports that a stored record is not valid, or that the record to delete is not in the zone.
type RecordError struct {
	Record string // in master file format
	Err    error
}

// Error returns a message with the record, truncated to 80 characters.
func (e *RecordError) Error() string { return fmt.Sprintf("record %.80q: %v", e.Record, e.Err) }

// Unwrap returns the error without the record.
func (e *RecordError) Unwrap() error { return e.Err }

// UpdateError reports why an update was refused, with the RCODE of the answer.
type UpdateError struct {
	Rcode  int // one of those in RFC 2136, 2.2
	Reason string
}

// Error returns the name of the RCODE and the reason.
func (e *UpdateError) Error() string { return dns.RcodeToString[e.Rcode] + ": " + e.Reason }

// newUpdateError returns an *UpdateError.
func newUpdateError(rcode int, format string, args ...any) error {
	return &UpdateError{Rcode: rcode, Reason: fmt.Sprintf(format, args...)}
}
