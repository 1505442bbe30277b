package dnszone

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

// defaultTTLSeconds is the TTL of records in a master file without $TTL.
const defaultTTLSeconds = 60

// lineCounter counts the lines that the zone parser has read. The parser reads one byte at a time, so the count is
// the number of the line that ends the latest record.
type lineCounter struct {
	*bytes.Reader
	line int
}

// ReadByte implements io.ByteReader.
func (c *lineCounter) ReadByte() (byte, error) {
	b, err := c.Reader.ReadByte()
	if err == nil && b == '\n' {
		c.line++
	}
	return b, err
}

// Parse parses a master file. It returns a *PositionError with the file name and the line, or another error if the
// settings are not valid. A backend whose records announce no start time is treated as started in the distant
// past.
func Parse(name string, text []byte, settings Settings) (*Zone, error) {
	settings, err := settings.Canonical()
	if err != nil {
		return nil, err
	}
	z := &Zone{Settings: settings, recordLines: map[dns.RR]int{}, fileName: name}
	if err := z.parseRecords(withFinalNewline(text)); err != nil {
		return nil, err
	}
	soa := z.soa()
	if soa == nil {
		return nil, &PositionError{File: name, Line: 1, Err: fmt.Errorf("no SOA record of %s", settings.Origin)}
	}
	if len(z.RRset(settings.Service, dns.TypeSRV)) == 0 {
		return nil, z.withPosition(soa, &NoBackendError{Service: settings.Service})
	}
	return z.withBackends(func(_ string, rr dns.RR) Provenance {
		return Provenance{File: name, Line: z.recordLines[rr], Serial: soa.Serial}
	})
}

// withFinalNewline returns the text with a newline at the end, because lineCounter counts a line when it reads the
// newline.
func withFinalNewline(text []byte) []byte {
	if len(text) == 0 || text[len(text)-1] == '\n' {
		return text
	}
	return append(slices.Clone(text), '\n')
}

// parseRecords fills an empty zone with the records of a master file.
func (z *Zone) parseRecords(text []byte) error {
	input := &lineCounter{Reader: bytes.NewReader(text)}
	parser := dns.NewZoneParser(input, z.Origin, z.fileName)
	parser.SetDefaultTTL(defaultTTLSeconds)
	for rr, ok := parser.Next(); ok; rr, ok = parser.Next() {
		canonicalize(rr)
		z.recordLines[rr] = input.line
		if err := z.addParsedRecord(rr); err != nil {
			return z.withPosition(rr, err)
		}
	}
	if err := parser.Err(); err != nil {
		return syntaxError(z.fileName, input.line, err)
	}
	return nil
}

// addParsedRecord checks a record of a master file and adds it to the zone. Duplicates are errors.
func (z *Zone) addParsedRecord(rr dns.RR) error {
	if err := z.checkRecord(rr); err != nil {
		return err
	}
	header := rr.Header()
	_, isDuplicate := z.records.Set(recordKey(rr), rr)
	isSecondSOA := header.Rrtype == dns.TypeSOA && len(z.RRset(z.Origin, dns.TypeSOA)) > 1
	if isDuplicate || isSecondSOA {
		return fmt.Errorf("%s %s appears twice", header.Name, dns.Type(header.Rrtype))
	}
	return z.checkSize()
}

// syntaxError converts an error of the DNS library's zone parser, "NAME: dns: MESSAGE at line: LINE:COLUMN", to a
// *PositionError. lastLine is used if the error text contains no line.
func syntaxError(name string, lastLine int, parserErr error) error {
	text := strings.TrimPrefix(strings.TrimPrefix(parserErr.Error(), name+": "), "dns: ")
	message, position, _ := strings.Cut(text, " at line: ")
	lineText, _, _ := strings.Cut(position, ":")
	line, err := strconv.Atoi(lineText)
	if err != nil {
		line = lastLine
	}
	return &PositionError{File: name, Line: line, Err: errors.New(message)}
}
