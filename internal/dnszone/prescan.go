package dnszone

import (
	"slices"

	"github.com/miekg/dns"
)

// prescan checks all records of the update section before the first one is applied (RFC 2136, 3.4.1).
func (tx *transaction) prescan(section []dns.RR) error {
	for _, rr := range section {
		if err := tx.prescanRecord(rr); err != nil {
			return err
		}
	}
	return nil
}

// prescanRecord returns an error for a malformed record of the update section. The class of the record selects the
// operation (RFC 2136, 2.5).
func (tx *transaction) prescanRecord(rr dns.RR) error {
	header := rr.Header()
	name := dns.CanonicalName(header.Name)
	if !dns.IsSubDomain(tx.base.Origin, name) {
		return newUpdateError(dns.RcodeNotZone, "%.100q lies outside the zone", name)
	}
	switch header.Class {
	case dns.ClassINET:
		return prescanAddition(name, header)
	case dns.ClassANY:
		return prescanRRsetDeletion(name, header)
	case dns.ClassNONE:
		return prescanRecordDeletion(name, header)
	default:
		return newUpdateError(dns.RcodeFormatError, "%.100q is of class %s", name, dns.Class(header.Class))
	}
}

// prescanAddition checks the addition of a record (RFC 2136, 2.5.1). Beyond the checks of the RFC, it refuses types
// that are not in supportedTypes.
func prescanAddition(name string, header *dns.RR_Header) error {
	rrtype := header.Rrtype
	if rrtype == dns.TypeANY || isMetaType(rrtype) || header.Rdlength == 0 {
		return newUpdateError(dns.RcodeFormatError, "%.100q: type %s cannot be added", name, dns.Type(rrtype))
	}
	if !slices.Contains(supportedTypes, rrtype) {
		return newUpdateError(dns.RcodeRefused, "%.100q: records of type %s are not supported", name, dns.Type(rrtype))
	}
	return nil
}

// prescanRRsetDeletion checks the deletion of an RRset or of all RRsets of a name (RFC 2136, 2.5.2 and 2.5.3).
func prescanRRsetDeletion(name string, header *dns.RR_Header) error {
	if header.Ttl != 0 || header.Rdlength != 0 || isMetaType(header.Rrtype) {
		return newUpdateError(dns.RcodeFormatError,
			"%.100q: a deletion with a TTL, data, or type %s", name, dns.Type(header.Rrtype))
	}
	return nil
}

// prescanRecordDeletion checks the deletion of one record (RFC 2136, 2.5.4).
func prescanRecordDeletion(name string, header *dns.RR_Header) error {
	if header.Ttl != 0 || header.Rrtype == dns.TypeANY || isMetaType(header.Rrtype) {
		return newUpdateError(dns.RcodeFormatError,
			"%.100q: a deletion with a TTL or of type %s", name, dns.Type(header.Rrtype))
	}
	return nil
}

// isMetaType reports whether a type cannot occur in a zone. ANY is not included, although it is a meta type,
// because it is valid in some records of the update and prerequisite sections.
func isMetaType(rrtype uint16) bool {
	switch rrtype {
	case dns.TypeAXFR, dns.TypeIXFR, dns.TypeMAILA, dns.TypeMAILB, dns.TypeTSIG, dns.TypeOPT, dns.TypeNone:
		return true
	}
	return false
}
