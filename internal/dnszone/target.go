package dnszone

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

const (
	// maxAliases is how many CNAMEs are followed from a target to its addresses. A loop exceeds any limit.
	maxAliases = 8
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

// srvTarget holds what the records say at the target of an SRV record.
type srvTarget struct {
	addresses  []netip.Addr
	zone       string // availability zone
	group      uint16
	draining   bool
	size       float64 // 0 if not stated
	startNanos int64   // 0 if not stated
}

// readTarget reads the records of a target. Attributes are at the target's own name; addresses may be behind
// aliases.
func (d *draft) readTarget(name string) (*srvTarget, error) {
	owner, err := d.resolveAliases(name)
	if err != nil {
		return nil, err
	}
	target := &srvTarget{}
	if target.addresses, err = d.readAddresses(name, owner); err != nil {
		return nil, err
	}
	if err := d.readAttributes(name, target); err != nil {
		return nil, err
	}
	if owner != name { // changes there do not touch the target, so every update reads it again
		if d.next.aliasedTargets == nil {
			d.next.aliasedTargets = map[string]bool{}
		}
		d.next.aliasedTargets[name] = true
	}
	return target, nil
}

// resolveAliases follows CNAME records from a name and returns the last name.
func (d *draft) resolveAliases(name string) (string, error) {
	owner := name
	for n := 0; ; n++ {
		alias := d.next.RRset(owner, dns.TypeCNAME)
		if len(alias) == 0 {
			return owner, nil
		}
		if n == maxAliases {
			return "", d.base.positioned(alias[0],
				fmt.Errorf("the names behind %s make a loop, or more than %d steps", name, maxAliases))
		}
		owner = dns.CanonicalName(alias[0].(*dns.CNAME).Target)
	}
}

// readAddresses returns the addresses of a target, which are at owner, in an order that is the same at every
// gateway.
func (d *draft) readAddresses(name, owner string) (addresses []netip.Addr, err error) {
	for _, rr := range d.next.RRset(owner, dns.TypeAAAA) {
		if address, ok := netip.AddrFromSlice(rr.(*dns.AAAA).AAAA); ok {
			addresses = append(addresses, address.Unmap())
		}
	}
	for _, rr := range d.next.RRset(owner, dns.TypeA) {
		if address, ok := netip.AddrFromSlice(rr.(*dns.A).A.To4()); ok {
			addresses = append(addresses, address)
		}
	}
	for _, address := range addresses {
		if address.IsUnspecified() || address.IsMulticast() {
			return nil, fmt.Errorf("%s has the address %s, which no backend can have", owner, address)
		}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("%s has no address in the zone (looked for at %s)", name, owner)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses, nil
}

// readAttributes reads the TXT record at a target that begins with the mark.
func (d *draft) readAttributes(name string, target *srvTarget) error {
	found := false
	for _, rr := range d.next.RRset(name, dns.TypeTXT) {
		words := rr.(*dns.TXT).Txt
		if len(words) == 0 || words[0] != attributeMark {
			continue
		}
		if found {
			return d.base.positioned(rr,
				fmt.Errorf("%s has two texts that begin with %s", name, attributeMark))
		}
		found = true
		if err := target.parseAttributes(words[1:]); err != nil {
			return d.base.positioned(rr, fmt.Errorf("%s: %w", name, err))
		}
	}
	return nil
}

// parseAttributes parses words of the form key=value. Each key may appear only once.
func (t *srvTarget) parseAttributes(words []string) error {
	seen := map[string]bool{}
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok || seen[key] {
			return fmt.Errorf("%.40q is not of the form key=value, or stands twice", word)
		}
		seen[key] = true
		if err := t.setAttribute(key, value); err != nil {
			return fmt.Errorf("%.40q: %w", word, err)
		}
	}
	return nil
}

// setAttribute sets one attribute: zone=NAME, group=0..65535, status=up|draining, size=0.01..100 or
// since=UNIX-MILLISECONDS.
func (t *srvTarget) setAttribute(key, value string) (err error) {
	switch key {
	case "zone":
		if len(value) > maxAvailabilityZoneBytes {
			return fmt.Errorf("longer than %d bytes", maxAvailabilityZoneBytes)
		}
		t.zone = value
	case "group":
		group, err := strconv.ParseUint(value, 10, 16)
		t.group = uint16(group)
		return err
	case "status":
		if value != "up" && value != "draining" {
			return errors.New("neither up nor draining")
		}
		t.draining = value == "draining"
	case "size":
		t.size, err = parseSize(value)
	case "since":
		t.startNanos, err = parseStart(value)
	default:
		return errors.New("unknown; zone, group, status, size and since are known")
	}
	return err
}

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

func parseStart(value string) (nanos int64, err error) {
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, err
	}
	if millis < 0 || millis > maxStartMillis {
		return 0, errors.New("no time in milliseconds since 1970")
	}
	return millis * nanosPerMilli, nil
}
