package dnszone

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

const (
	// attributeMarker is the first character-string of a TXT record that describes backends. Other TXT records at
	// an SRV target are ignored.
	attributeMarker = "fawnplank"
	// maxAvailabilityZoneBytes is the maximum length of the zone attribute, which names an availability zone. It
	// equals the maximum length of a DNS label.
	maxAvailabilityZoneBytes = 63
	// maxStartMillis is the latest start time that the since attribute may have, in the year 2109.
	maxStartMillis = 1 << 42
	// minSize and maxSize are the limits of the size attribute, which is relative to a backend of weight 1.
	minSize, maxSize = 0.01, 100
)

var (
	errUnknownAttribute = errors.New("unknown; zone, group, status, size and since are known")
	errUnknownStatus    = errors.New("neither up nor draining")
	errNotUnixMillis    = errors.New("not a time in milliseconds since 1970")
)

// attributes holds the attributes in the TXT record of an SRV target. They apply to all backends at the target.
type attributes struct {
	availabilityZone string
	group            uint16
	draining         bool
	size             float64 // relative to a backend of weight 1; 0 without the size attribute
	startNanos       int64   // unix ns; 0 without the since attribute
}

// readAttributes reads the TXT record at a target that begins with attributeMarker. Without such a record, all
// attributes have their zero values.
func (tx *transaction) readAttributes(targetName string) (attributes, error) {
	var result attributes
	found := false
	for _, rr := range tx.rrset(targetName, dns.TypeTXT) {
		characterStrings := rr.(*dns.TXT).Txt
		if len(characterStrings) == 0 || characterStrings[0] != attributeMarker {
			continue
		}
		if found {
			return result, tx.base.withPosition(rr,
				fmt.Errorf("%s has two TXT records that begin with %s", targetName, attributeMarker))
		}
		found = true
		if err := result.parse(characterStrings[1:]); err != nil {
			return result, tx.base.withPosition(rr, fmt.Errorf("%s: %w", targetName, err))
		}
	}
	return result, nil
}

// parse parses character-strings of the form key=value. Each key may appear only once.
func (a *attributes) parse(characterStrings []string) error {
	seen := map[string]bool{}
	for _, characterString := range characterStrings {
		key, value, ok := strings.Cut(characterString, "=")
		if !ok || seen[key] {
			return fmt.Errorf("%.40q is not of the form key=value, or appears twice", characterString)
		}
		seen[key] = true
		if err := a.set(key, value); err != nil {
			return fmt.Errorf("%.40q: %w", characterString, err)
		}
	}
	return nil
}

// set sets one attribute: zone=NAME, group=0..65535, status=up|draining, size=0.01..100 or
// since=UNIX-MILLISECONDS.
func (a *attributes) set(key, value string) (err error) {
	switch key {
	case "zone":
		a.availabilityZone, err = parseAvailabilityZone(value)
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

// parseSize parses a size relative to a backend of weight 1.
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

// parseStart parses a start time in unix ms and returns it in unix ns.
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
