package dnszone

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

var (
	errNoRecord      = errors.New("no record")
	errNotOneSOA     = errors.New("not one SOA record")
	errRecordMissing = errors.New("not in the zone")
	// errServiceUnavailable rejects the target with which RFC 2782 says that a service is not available.
	errServiceUnavailable = errors.New(`an SRV record with the target ".": delete the records instead`)
)

// PositionError is an error in a master file, with the position of the faulty record.
type PositionError struct {
	File string
	Line int // from 1
	Err  error
}

// Error returns the error in the form "file:line: what".
func (e *PositionError) Error() string { return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err) }

// Unwrap returns the error without its position.
func (e *PositionError) Unwrap() error { return e.Err }

// positioned adds the file and line of a record to an error, if they are known.
func (z *Zone) positioned(rr dns.RR, err error) error {
	if line := z.lines[rr]; line > 0 {
		return &PositionError{File: z.file, Line: line, Err: err}
	}
	return err
}

// NoBackendError reports that a master file has no SRV record of the service.
type NoBackendError struct {
	Service string // owner name of the SRV records
}

// Error names the service.
func (e *NoBackendError) Error() string {
	return e.Service + " has no SRV record: a zone file without any backend is rejected"
}

// SequenceError reports that a change does not follow from the zone to which it was to be applied.
type SequenceError struct {
	FromSerial, ToSerial uint32 // of the change
	ZoneSerial           uint32
}

// Error names the three serials.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("change from serial %d to %d does not follow %d", e.FromSerial, e.ToSerial, e.ZoneSerial)
}

// RecordError reports that a stored record is not valid, or cannot be deleted.
type RecordError struct {
	Record string // in master file format
	Err    error
}

// Error names the record, cut off after 80 characters.
func (e *RecordError) Error() string { return fmt.Sprintf("record %.80q: %v", e.Record, e.Err) }

// Unwrap returns the error without the record.
func (e *RecordError) Unwrap() error { return e.Err }

// UpdateError is the reason for refusing an update, with the RCODE of the answer.
type UpdateError struct {
	Rcode  int // as in RFC 2136, 2.2
	Reason string
}

// Error returns the name of the RCODE and the reason.
func (e *UpdateError) Error() string { return dns.RcodeToString[e.Rcode] + ": " + e.Reason }

// refuse returns an *UpdateError.
func refuse(rcode int, format string, args ...any) error {
	return &UpdateError{Rcode: rcode, Reason: fmt.Sprintf(format, args...)}
}
