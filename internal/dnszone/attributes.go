package dnszone

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

const (
	// attributeMark begins the TXT records that describe a backend. Other TXT records at the backend's name are
	// ignored.
	attributeMark = "fawnplank"
	// maxAvailabilityZoneBytes bounds the zone attribute, an availability zone: the length of a DNS label.
	maxAvailabilityZoneBytes = 63
	// maxStartMillis bounds a stated start, to some time in the year 2109.
	maxStartMillis = 1 << 42
	// minSize and maxSize bound a size attribute, which is relative to an ordinary backend.
	minSize, maxSize = 0.01, 100
)

var (
	errUnknownAttribute = errors.New("unknown; zone, group, status, size and since are known")
	errUnknownStatus    = errors.New("neither up nor draining")
	errNotUnixMillis    = errors.New("not a time in milliseconds since 1970")
)

// attributes holds what the TXT record at a target says about its backends.
type attributes struct {
	zone       string // availability zone
	group      uint16
	draining   bool
	size       float64 // relative to an ordinary backend; 0 if not stated
	startNanos int64   // unix ns; 0 if not stated
}

// readAttributes reads the TXT record at a target that begins with the mark. Without one, all attributes have
// their zero values.
func (d *draft) readAttributes(name string) (attributes, error) {
	var result attributes
	found := false
	for _, rr := range d.rrset(name, dns.TypeTXT) {
		words := rr.(*dns.TXT).Txt
		if len(words) == 0 || words[0] != attributeMark {
			continue
		}
		if found {
			return result, d.base.positioned(rr,
				fmt.Errorf("%s has two TXT records that begin with %s", name, attributeMark))
		}
		found = true
		if err := result.parse(words[1:]); err != nil {
			return result, d.base.positioned(rr, fmt.Errorf("%s: %w", name, err))
		}
	}
	return result, nil
}

// parse parses words of the form key=value. Each key may appear only once.
func (a *attributes) parse(words []string) error {
	seen := map[string]bool{}
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok || seen[key] {
			return fmt.Errorf("%.40q is not of the form key=value, or appears twice", word)
		}
		seen[key] = true
		if err := a.set(key, value); err != nil {
			return fmt.Errorf("%.40q: %w", word, err)
		}
	}
	return nil
}

// set sets one attribute: zone=NAME, group=0..65535, status=up|draining, size=0.01..100 or
// since=UNIX-MILLISECONDS.
func (a *attributes) set(key, value string) (err error) {
	switch key {
	case "zone":
		a.zone, err = parseAvailabilityZone(value)
	case "group":
		a.group, err = parseGroup(value)
	case "status":
		a.draining, err = parseStatus(value)
	case "size":
		a.size, err = parseSize(value)
	case "since":
		a.startNanos, err = parseStart(value)
	default:
		err = errUnknownAttribute
	}
	return err
}

func parseAvailabilityZone(value string) (string, error) {
	if len(value) > maxAvailabilityZoneBytes {
		return "", fmt.Errorf("longer than %d bytes", maxAvailabilityZoneBytes)
	}
	return value, nil
}

func parseGroup(value string) (uint16, error) {
	group, err := strconv.ParseUint(value, 10, 16)
	return uint16(group), err
}

// parseStatus reports whether a status means that the backend is draining.
func parseStatus(value string) (draining bool, err error) {
	if value != "up" && value != "draining" {
		return false, errUnknownStatus
	}
	return value == "draining", nil
}

// parseSize parses a size relative to an ordinary backend.
func parseSize(value string) (float64, error) {
	size, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, err
	}
	if !(size >= minSize && size <= maxSize) { // written so that NaN is rejected too
		return 0, fmt.Errorf("not from %g to %d", minSize, maxSize)
	}
	return size, nil
}

// parseStart parses a start in unix ms.
func parseStart(value string) (nanos int64, err error) {
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, err
	}
	if millis < 0 || millis > maxStartMillis {
		return 0, errNotUnixMillis
	}
	return millis * nanosPerMilli, nil
}
