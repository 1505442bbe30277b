package backend

import (
	"bytes"
	"strconv"
	"strings"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/resp"
)

const (
	// maxLineBytes bounds a line, such as an error with its load report. It is several times the size of a load report
	// with all fields that the settings name.
	maxLineBytes = 1 << 10
	// maxParts bounds the number of parts of a response: value, usage, load report, and room for further parts.
	maxParts = 8
	// maxUnits is the exclusive upper bound on the units of a usage report; larger numbers are ignored as invalid.
	maxUnits = 1e9
	// float64Bits is the bitSize of strconv.ParseFloat for a float64.
	float64Bits = 64
)

// The indices of the parts of a response that are used. The other parts are skipped.
const (
	valuePart = 0
	usagePart = 1
)

// response is a backend's answer.
type response struct {
	isComplete bool
	size       int     // in bytes; 0 while incomplete
	value      []byte  // as received, including its length line; it aliases the parsed buffer
	units      float64 // the actual cost of the request according to the usage; 0: not stated
}

// parseResponse parses the bytes received so far of a response. It checks each length before the bytes that the
// length counts. An incomplete response without an error means that more bytes are needed; with an error it means that
// the received bytes cannot be the beginning of a valid response. A complete response with an error represents that
// error. received must not be empty.
func parseResponse(received []byte) (response, error) {
	if received[0] == '-' {
		return parseErrorLine(received)
	}
	count, ok := resp.ParseLength(received, '*', maxParts)
	if !ok || count.IsComplete() && count.Value < 1 {
		return response{}, dispatch.ErrBackendFailed
	}
	if !count.IsComplete() {
		return response{}, nil
	}
	return parseParts(received, count.Size, partRange{first: valuePart, end: count.Value})
}

// partRange is a range of indices of the parts of a response, including first and excluding end.
type partRange struct {
	first int
	end   int
}

// parseParts parses the parts of a response from an offset on. Its results are those of parseResponse.
func parseParts(received []byte, offset int, indices partRange) (response, error) {
	var r response
	for index := indices.first; index < indices.end; index++ {
		if offset == len(received) {
			return response{}, nil
		}
		p, err := parsePart(received[offset:], index)
		if p.size == 0 || err != nil {
			return response{}, err
		}
		switch index {
		case valuePart:
			r.value = received[offset : offset+p.size]
		case usagePart:
			r.units = parseActualUnits(p.payload)
		}
		offset += p.size
	}
	r.size = offset
	r.isComplete = true
	return r, nil
}

// parseErrorLine parses a response that begins like an error. The word BUSY proves that the request did not run, the
// word ERR does not, and any other word is invalid.
func parseErrorLine(received []byte) (response, error) {
	line, ok := resp.ParseLine(received, maxLineBytes)
	if !ok {
		return response{}, dispatch.ErrBackendFailed
	}
	if !line.IsComplete() {
		return response{}, nil
	}
	word, _, _ := bytes.Cut(line.Text, []byte(" "))
	switch string(word) {
	case "BUSY":
		return response{isComplete: true, size: line.Size}, dispatch.ErrRejected
	case "ERR":
		return response{isComplete: true, size: line.Size}, dispatch.ErrBackendFailed
	}
	return response{}, dispatch.ErrBackendFailed
}

// part is one element of a response's array.
type part struct {
	size    int    // in bytes; 0 while incomplete
	payload []byte // of a bulk string; nil if it is null or not a bulk string
}

// parsePart parses the part with the given index, which is at the beginning of received. The value must be a bulk
// string; the usage and the load report may also be null, or of another type, which is skipped.
func parsePart(received []byte, index int) (part, error) {
	isValue := index == valuePart
	if !isValue && received[0] != '$' {
		return parseSkippedPart(received)
	}
	bulk, err := resp.ParseBulkString(received)
	if err != nil || isValue && bulk.IsComplete() && bulk.IsNull() {
		return part{}, dispatch.ErrBackendFailed
	}
	return part{size: bulk.Size, payload: bulk.Payload}, nil // the size is 0 while the bulk string is incomplete
}

// parseSkippedPart parses a part that is a single line and not a bulk string. Its content is not used.
func parseSkippedPart(received []byte) (part, error) {
	line, ok := resp.ParseLine(received, maxLineBytes)
	if !ok || strings.IndexByte("+-:", received[0]) < 0 {
		return part{}, dispatch.ErrBackendFailed
	}
	return part{size: line.Size}, nil // the size is 0 while the line is incomplete
}

// parseActualUnits returns the actual units from the usage, which consists of name=value pairs as in a load report.
// It returns 0 if the usage does not state them.
func parseActualUnits(usage []byte) float64 {
	for len(usage) > 0 {
		var pair []byte
		pair, usage, _ = bytes.Cut(usage, []byte(","))
		text, ok := bytes.CutPrefix(pair, []byte("cost="))
		if !ok {
			continue
		}
		if units, err := strconv.ParseFloat(string(text), float64Bits); err == nil && units > 0 && units < maxUnits {
			return units
		}
	}
	return 0
}
