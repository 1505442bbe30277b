package backend

import (
	"bytes"
	"strconv"
	"strings"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/resp"
)

const (
	// maxLineBytes bounds the line of an error with its load report: several times what the fields of the
	// settings take.
	maxLineBytes = 1 << 10
	// maxParts bounds the parts of a response: value, usage and load report, and some to spare.
	maxParts = 8
	// maxResponseBytes bounds a response: a value of the largest size, with its usage and load report.
	maxResponseBytes = resp.MaxValue + 4<<10
	// maxUnits is what a usage report stays below; more is treated as noise.
	maxUnits = 1e9
)

// response is what a backend answered.
type response struct {
	size  int     // in bytes; 0 where it has not come whole
	value []byte  // as it came, with its length before it; it aliases the buffer that was parsed
	units float64 // that the request really cost, where the usage says so; else 0
}

// parseResponse judges what has come of a response, each length before what it counts. A size of 0 without an
// error asks for more; with one, what has come can never become a response. A size with an error is a whole
// response that stands for that error. received is not empty.
func parseResponse(received []byte) (response, error) {
	if received[0] == '-' {
		return parseErrorLine(received)
	}
	count, offset, ok := resp.Length(received, '*', maxParts)
	if !ok || offset > 0 && count < 1 {
		return response{}, dispatch.ErrBackendFailed
	}
	if offset == 0 {
		return response{}, nil
	}
	var r response
	for number := range count {
		if offset == len(received) {
			return response{}, nil
		}
		p, err := parsePart(received[offset:], number == 0)
		if p.size == 0 || err != nil {
			return response{}, err
		}
		switch number {
		case 0:
			r.value = received[offset : offset+p.size]
		case 1:
			r.units = usedUnits(p.payload)
		}
		offset += p.size
	}
	r.size = offset
	return r, nil
}

// parseErrorLine judges a response that begins as an error: BUSY proves that nothing ran, ERR does not, and
// any other word is no response.
func parseErrorLine(received []byte) (response, error) {
	text, size, ok := resp.Line(received, maxLineBytes)
	if !ok {
		return response{}, dispatch.ErrBackendFailed
	}
	if size == 0 {
		return response{}, nil
	}
	word, _, _ := bytes.Cut(text, []byte(" "))
	switch string(word) {
	case "BUSY":
		return response{size: size}, dispatch.ErrRejected
	case "ERR":
		return response{size: size}, dispatch.ErrBackendFailed
	}
	return response{}, dispatch.ErrBackendFailed
}

// part is one element of a response's array.
type part struct {
	size    int    // in bytes; 0 where it has not come whole
	payload []byte // of a bulk string; nil where it is null or no bulk string
}

// parsePart judges the part that received begins with. A value has to be a bulk string; usage and load report
// may also be null, or of another type, which is passed over.
func parsePart(received []byte, isValue bool) (part, error) {
	length, header, ok := resp.Length(received, '$', resp.MaxValue)
	if !isValue && !ok && received[0] != '$' {
		length = -1
		_, header, ok = resp.Line(received, maxLineBytes)
		ok = ok && strings.IndexByte("+-:", received[0]) >= 0
	}
	isNull := header > 0 && length < 0
	if !ok || isValue && isNull {
		return part{}, dispatch.ErrBackendFailed
	}
	if header == 0 {
		return part{}, nil
	}
	if isNull {
		return part{size: header}, nil
	}
	size := header + length + len("\r\n")
	if len(received) < size {
		return part{}, nil
	}
	if string(received[size-2:size]) != "\r\n" {
		return part{}, dispatch.ErrBackendFailed
	}
	return part{size: size, payload: received[header : size-2]}, nil
}

// usedUnits finds the true units in the usage: names and values, as in a load report. 0 says that they are
// not there.
func usedUnits(usage []byte) float64 {
	for len(usage) > 0 {
		var pair []byte
		pair, usage, _ = bytes.Cut(usage, []byte(","))
		text, ok := bytes.CutPrefix(pair, []byte("cost="))
		if !ok {
			continue
		}
		if units, err := strconv.ParseFloat(string(text), 64); err == nil && units > 0 && units < maxUnits {
			return units
		}
	}
	return 0
}
