package dnszone

import (
	"fmt"
	"strings"

	"github.com/miekg/dns"
)

// keySeparator ends the owner name, the type and an SRV target in a record's key. It sorts before every byte of
// a name, so that the records of one name and one RRset are adjacent.
const keySeparator = "\x00"

// recordKey returns the key that orders and identifies a record: owner name, type and data, with the target
// first in SRV data. The TTL is not part of it, so a zone has only one of two records that differ in nothing
// else.
func recordKey(rr dns.RR) string {
	header := rr.Header()
	if srv, ok := rr.(*dns.SRV); ok {
		return srvTargetPrefix(header.Name, srv.Target) +
			fmt.Sprintf("%05d%s%05d %05d", srv.Port, keySeparator, srv.Priority, srv.Weight)
	}
	return rrsetPrefix(header.Name, header.Rrtype) + strings.TrimPrefix(rr.String(), header.String())
}

// namePrefix returns the prefix of the keys of all records of a name.
func namePrefix(name string) string { return name + keySeparator }

// rrsetPrefix returns the prefix of the keys of one RRset.
func rrsetPrefix(name string, rrtype uint16) string {
	return namePrefix(name) + dns.Type(rrtype).String() + keySeparator
}

// srvTargetPrefix returns the prefix of the keys of the SRV records of a service with one target.
func srvTargetPrefix(service, targetName string) string {
	return rrsetPrefix(service, dns.TypeSRV) + targetName + keySeparator
}
