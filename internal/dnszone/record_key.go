package dnszone

import (
	"fmt"
	"strings"

	"github.com/miekg/dns"
)

// keySeparator terminates the owner name, the type, and the target of an SRV record in a record's key. It sorts
// before every byte of a name, so the records of a name, and those of an RRset, are adjacent.
const keySeparator = "\x00"

// recordKey returns the key that identifies a record and determines its position in the zone. It consists of the
// owner name, the type and the data; the data of an SRV record begin with the target. The TTL is not part of the
// key, so a zone cannot contain two records that differ only in their TTL.
func recordKey(rr dns.RR) string {
	header := rr.Header()
	if srv, ok := rr.(*dns.SRV); ok {
		return srvTargetPrefix(header.Name, srv.Target) +
			fmt.Sprintf("%05d%s%05d %05d", srv.Port, keySeparator, srv.Priority, srv.Weight)
	}
	return rrsetPrefix(header.Name, header.Rrtype) + strings.TrimPrefix(rr.String(), header.String())
}

// namePrefix returns the key prefix of all records of a name.
func namePrefix(name string) string { return name + keySeparator }

// rrsetPrefix returns the key prefix of the records of an RRset.
func rrsetPrefix(name string, rrtype uint16) string {
	return namePrefix(name) + dns.Type(rrtype).String() + keySeparator
}

// srvTargetPrefix returns the key prefix of a service's SRV records with the given target.
func srvTargetPrefix(service, targetName string) string {
	return rrsetPrefix(service, dns.TypeSRV) + targetName + keySeparator
}
