package dnszone

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/miekg/dns"
)

// maxRecords bounds the size of a zone. It allows three records for each of a hundred thousand backends.
const maxRecords = 300_000

// supportedTypes lists the record types that a zone may hold here. Any other type in a file is an error.
var supportedTypes = []uint16{
	dns.TypeSOA, dns.TypeNS, dns.TypeSRV, dns.TypeA, dns.TypeAAAA, dns.TypeTXT, dns.TypeCNAME,
}

// recordKey returns the key that orders and identifies a record: owner name, type and data, with the target
// first in SRV data. Of records that differ only in their TTL, a zone holds one.
func recordKey(rr dns.RR) string {
	header := rr.Header()
	data := strings.TrimPrefix(rr.String(), header.String())
	if srv, ok := rr.(*dns.SRV); ok {
		data = fmt.Sprintf("%s\x00%05d\x00%05d %05d", srv.Target, srv.Port, srv.Priority, srv.Weight)
	}
	return keyPrefix(header.Name, header.Rrtype) + data
}

// keyPrefix returns the prefix of the keys of one RRset.
func keyPrefix(name string, rrtype uint16) string {
	return name + "\x00" + dns.Type(rrtype).String() + "\x00"
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
	if rr == nil {
		return nil, errors.New("no record")
	}
	return canonicalize(rr), nil
}

// parseAllowedRecord parses one record in master file format and checks that the zone may hold it.
func (z *Zone) parseAllowedRecord(text string) (dns.RR, error) {
	rr, err := parseRecord(text)
	if err != nil {
		return nil, err
	}
	return rr, z.checkRecord(rr)
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
		return fmt.Errorf("%s: records of type %s have no place here", header.Name, dns.Type(header.Rrtype))
	case header.Rrtype == dns.TypeSOA && header.Name != z.Origin:
		return fmt.Errorf("SOA record at %s, which is not the zone's name", header.Name)
	case header.Rrtype == dns.TypeSRV && header.Name != z.Service:
		return fmt.Errorf("SRV record at %s; the service is %s", header.Name, z.Service)
	}
	return nil
}
