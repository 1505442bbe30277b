package dnsserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"fawnplank/internal/dnszone"
)

var (
	errChecksum     = errors.New("the checksum does not match")
	errEmptyJournal = errors.New("the journal is empty")
)

// JournalError reports a corrupted journal, or a journal that does not match the settings.
type JournalError struct {
	File string
	Line int // from 1
	Err  error
}

// Error returns the error with its file and line, and the remedy.
func (e *JournalError) Error() string {
	return fmt.Sprintf("%s:%d: %v; restore the journal from a copy, or move it away so that the zone file alone applies",
		e.File, e.Line, e.Err)
}

// Unwrap returns the error without its position.
func (e *JournalError) Unwrap() error { return e.Err }

// readJournal reads a journal while another process may be writing it. If the journal is missing, the error wraps
// os.ErrNotExist. Corruption anywhere except in the last line is a *JournalError, because skipping the corrupted part
// would restore removed backends.
func readJournal(path string, settings dnszone.Settings) (*storedZone, error) {
	text, err := readAll(path)
	if err != nil {
		return nil, err
	}
	if len(text) == 0 {
		return nil, &JournalError{File: path, Line: 1, Err: errEmptyJournal}
	}
	var stored *storedZone
	for lineNumber := 1; len(text) > 0; lineNumber++ {
		line, rest, isTerminated := bytes.Cut(text, []byte{'\n'})
		body, isValid := decodeJournalLine(line)
		isIntact := isTerminated && isValid
		if !isIntact && lineNumber > 1 && len(rest) == 0 {
			stored.tornBytes = int64(len(text))
			break
		}
		switch {
		case !isIntact:
			err = errChecksum
		case lineNumber == 1:
			stored, err = decodeZoneRecord(body, settings)
		default:
			err = stored.decodeChange(body)
		}
		if err != nil {
			return nil, &JournalError{File: path, Line: lineNumber, Err: err}
		}
		stored.size += int64(len(line)) + 1 // plus the newline
		text = rest
	}
	return stored, nil
}

// decodeChange decodes a line after the first one and applies its change.
func (z *storedZone) decodeChange(body []byte) error {
	transition, err := decodeTransition(z.zone, body)
	if err != nil {
		return err
	}
	z.applyTransition(transition)
	return nil
}

func readAll(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return io.ReadAll(file)
}
