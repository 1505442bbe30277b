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

// lineCounter counts the lines that the parser has consumed. The parser reads single bytes.
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

// Parse parses a master file. Its errors are a *PositionError with the name and a line, apart from those of the
// settings. The backends count as started long ago, unless their records state a start.
func Parse(name string, text []byte, settings Settings) (*Zone, error) {
	settings, err := settings.Canonical()
	if err != nil {
		return nil, err
	}
	z := &Zone{Settings: settings, lines: map[dns.RR]int{}, file: name}
	if err := z.parseRecords(withFinalNewline(text)); err != nil {
		return nil, err
	}
	soa := z.soa()
	if soa == nil {
		return nil, &PositionError{File: name, Line: 1, Err: fmt.Errorf("no SOA record of %s", settings.Origin)}
	}
	if len(z.RRset(settings.Service, dns.TypeSRV)) == 0 {
		return nil, z.positioned(soa, &NoBackendError{Service: settings.Service})
	}
	return z.withBackends(func(_ string, rr dns.RR) Provenance {
		return Provenance{File: name, Line: z.lines[rr], Serial: soa.Serial}
	})
}

// withFinalNewline returns a text that ends with a newline, because lineCounter counts a line at its end.
func withFinalNewline(text []byte) []byte {
	if len(text) == 0 || text[len(text)-1] == '\n' {
		return text
	}
	return append(slices.Clone(text), '\n')
}

// parseRecords fills an empty zone with the records of a master file.
func (z *Zone) parseRecords(text []byte) error {
	input := &lineCounter{Reader: bytes.NewReader(text)}
	parser := dns.NewZoneParser(input, z.Origin, z.file)
	parser.SetDefaultTTL(defaultTTLSeconds)
	for rr, ok := parser.Next(); ok; rr, ok = parser.Next() {
		canonicalize(rr)
		z.lines[rr] = input.line
		if err := z.addParsed(rr); err != nil {
			return z.positioned(rr, err)
		}
	}
	if err := parser.Err(); err != nil {
		return syntaxError(z.file, input.line, err)
	}
	return nil
}

// addParsed adds a record of a master file.
func (z *Zone) addParsed(rr dns.RR) error {
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

// syntaxError converts an error of the library's parser, "NAME: dns: WHAT at line: LINE:COLUMN", to the form
// of this package. lastLine is used if the library names no line.
func syntaxError(name string, lastLine int, parserErr error) error {
	text := strings.TrimPrefix(strings.TrimPrefix(parserErr.Error(), name+": "), "dns: ")
	what, position, _ := strings.Cut(text, " at line: ")
	lineText, _, _ := strings.Cut(position, ":")
	line, err := strconv.Atoi(lineText)
	if err != nil {
		line = lastLine
	}
	return &PositionError{File: name, Line: line, Err: errors.New(what)}
}
