package dnszone

import (
	"slices"

	"github.com/miekg/dns"
)

// rrsetID identifies an RRset.
type rrsetID struct {
	name   string
	rrtype uint16
}

// checkPrerequisites processes the prerequisite section of an update (RFC 2136, 3.2).
func (tx *transaction) checkPrerequisites(section []dns.RR) error {
	required := map[rrsetID][]dns.RR{} // RRsets that must consist of exactly these records
	for _, rr := range section {
		if err := tx.checkPrerequisite(rr); err != nil {
			return err
		}
		if rr.Header().Class == dns.ClassINET {
			addRequiredRecord(required, canonicalize(dns.Copy(rr)))
		}
	}
	return tx.checkRequiredRRsets(required)
}

// addRequiredRecord adds a record to its RRset in required, unless the RRset already contains it.
func addRequiredRecord(required map[rrsetID][]dns.RR, record dns.RR) {
	id := rrsetID{name: record.Header().Name, rrtype: record.Header().Rrtype}
	isSame := func(other dns.RR) bool { return dns.IsDuplicate(other, record) }
	if !slices.ContainsFunc(required[id], isSame) {
		required[id] = append(required[id], record)
	}
}

// checkRequiredRRsets checks the prerequisites "RRset exists (value dependent)" (RFC 2136, 2.4.2).
func (tx *transaction) checkRequiredRRsets(required map[rrsetID][]dns.RR) error {
	isMissing := func(rr dns.RR) bool { return tx.find(rr) == nil }
	for id, rrs := range required {
		if len(tx.rrset(id.name, id.rrtype)) != len(rrs) || slices.ContainsFunc(rrs, isMissing) {
			return newUpdateError(dns.RcodeNXRrset, "%s does not have exactly these %s", id.name, dns.Type(id.rrtype))
		}
	}
	return nil
}

// checkPrerequisite checks that one record of the prerequisite section is well-formed and, unless its class is IN,
// that its condition holds. Records of class IN state conditions about complete RRsets, which checkRequiredRRsets
// checks.
func (tx *transaction) checkPrerequisite(rr dns.RR) error {
	header := rr.Header()
	name := dns.CanonicalName(header.Name)
	switch {
	case header.Ttl != 0:
		return newUpdateError(dns.RcodeFormatError, "prerequisite of %.100q with a TTL", name)
	case !dns.IsSubDomain(tx.base.Origin, name):
		return newUpdateError(dns.RcodeNotZone, "prerequisite of %.100q, outside the zone", name)
	case header.Class != dns.ClassINET && header.Rdlength != 0:
		return newUpdateError(dns.RcodeFormatError, "prerequisite of %.100q with data, which its class excludes", name)
	case header.Class != dns.ClassINET && header.Rrtype == dns.TypeANY:
		return tx.checkNameInUse(name, header.Class)
	case header.Class == dns.ClassANY:
		if len(tx.rrset(name, header.Rrtype)) == 0 {
			return newUpdateError(dns.RcodeNXRrset, "%s has no %s", name, dns.Type(header.Rrtype))
		}
	case header.Class == dns.ClassNONE:
		if len(tx.rrset(name, header.Rrtype)) > 0 {
			return newUpdateError(dns.RcodeYXRrset, "%s has %s", name, dns.Type(header.Rrtype))
		}
	case header.Class != dns.ClassINET || header.Rrtype == dns.TypeANY || isMetaType(header.Rrtype):
		return newUpdateError(dns.RcodeFormatError, "prerequisite of %.100q of class %s and type %s",
			name, dns.Class(header.Class), dns.Type(header.Rrtype))
	}
	return nil
}

// checkNameInUse checks the prerequisite "name is in use" (class ANY) or "name is not in use" (class NONE).
func (tx *transaction) checkNameInUse(name string, class uint16) error {
	inUse := tx.nameInUse(name)
	switch {
	case class == dns.ClassANY && !inUse:
		return newUpdateError(dns.RcodeNameError, "%s is not in use", name)
	case class == dns.ClassNONE && inUse:
		return newUpdateError(dns.RcodeYXDomain, "%s is in use", name)
	}
	return nil
}
