package dnszone

import (
	"fmt"
	"slices"

	"github.com/miekg/dns"
)

// maxRecords is the maximum number of records in a zone. It allows three records for each of 100,000 backends.
const maxRecords = 300_000

// supportedTypes lists the record types that a zone may contain. Master files and updates with any other type are
// rejected.
var supportedTypes = []uint16{
	dns.TypeSOA, dns.TypeNS, dns.TypeSRV, dns.TypeA, dns.TypeAAAA, dns.TypeTXT, dns.TypeCNAME,
}

// canonicalize converts the owner name and the names in the data of a record to canonical form, in place, and
// returns the record.
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

// parseAndCheckRecord parses one record in master file format and checks it with checkRecord.
func (z *Zone) parseAndCheckRecord(text string) (dns.RR, error) {
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

// checkRecord returns an error if a record may not be in the zone, whatever the other records are.
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
