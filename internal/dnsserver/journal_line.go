package dnsserver

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"
)

// checksumDigits is the length in hexadecimal digits of the checksum at the start of each line.
const checksumDigits = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeJournalLine returns a journal line: the CRC-32C of the value's JSON, a space, the JSON and a newline.
func encodeJournalLine(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%0*x %s\n", checksumDigits, crc32.Checksum(text, castagnoli), text), nil
}

// decodeJournalLine returns the JSON of a line without its newline, and reports whether the checksum matches.
func decodeJournalLine(line []byte) ([]byte, bool) {
	if len(line) < checksumDigits+2 || line[checksumDigits] != ' ' {
		return nil, false
	}
	sum, err := strconv.ParseUint(string(line[:checksumDigits]), 16, 32)
	text := line[checksumDigits+1:]
	return text, err == nil && crc32.Checksum(text, castagnoli) == uint32(sum)
}
