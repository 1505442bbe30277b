package dnszone

import (
	"fmt"
	"slices"

	"github.com/miekg/dns"
)

// maxRecords bounds the size of a zone. It allows three records for each of a hundred thousand backends.
const maxRecords = 300_000

// supportedTypes lists the record types that a zone may contain. Any other type in a master file is an error.
var supportedTypes = []uint16{
	dns.TypeSOA, dns.TypeNS, dns.TypeSRV, dns.TypeA, dns.TypeAAAA, dns.TypeTXT, dns.TypeCNAME,
}

// canonicalize converts the names in a record to canonical form, in place.
func canonicalize(rr dns.RR) dns.RR {
	rr.Header().Name = dns.CanonicalName(rr.Header().Name)
	switch data := rr.(type) {
	case *dns.SRV:
		data.Target = dns.CanonicalName(data.Target)
	case *dns.CNAME:
		data.Target = dns.CanonicalName(data.Target)
	case *dns.NS:
		data.Ns = dns.CanonicalName(data.Ns)
	}
	return rr
}

// parseRecord parses one record in master file format.
func parseRecord(text string) (dns.RR, error) {
	rr, err := dns.NewRR(text)
	if err != nil {
		return nil, err
	}
	if rr == nil { // an empty line or a comment
		return nil, errNoRecord
	}
	return canonicalize(rr), nil
}

// parseAllowedRecord parses one record in master file format and checks that it may be in the zone.
func (z *Zone) parseAllowedRecord(text string) (dns.RR, error) {
	rr, err := parseRecord(text)
	if err != nil {
		return nil, err
	}
	return rr, z.checkRecord(rr)
}

// checkSize returns an error if the zone has more than maxRecords records.
func (z *Zone) checkSize() error {
	if z.records.Len() > maxRecords {
		return fmt.Errorf("more than %d records", maxRecords)
	}
	return nil
}

// checkRecord returns an error if the record, considered by itself, does not belong in the zone.
func (z *Zone) checkRecord(rr dns.RR) error {
	header := rr.Header()
	switch {
	case header.Class != dns.ClassINET:
		return fmt.Errorf("%s is of class %s", header.Name, dns.Class(header.Class))
	case !dns.IsSubDomain(z.Origin, header.Name):
		return fmt.Errorf("%s does not lie in the zone %s", header.Name, z.Origin)
	case !slices.Contains(supportedTypes, header.Rrtype):
		return fmt.Errorf("%s: records of type %s are not supported", header.Name, dns.Type(header.Rrtype))
	case header.Rrtype == dns.TypeSOA && header.Name != z.Origin:
		return fmt.Errorf("SOA record at %s, which is not the zone's name", header.Name)
	case header.Rrtype == dns.TypeSRV && header.Name != z.Service:
		return fmt.Errorf("SRV record at %s; the service is %s", header.Name, z.Service)
	}
	return nil
}
