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

// checkPrerequisites implements RFC 2136, 3.2.
func (d *draft) checkPrerequisites(section []dns.RR) error {
	wanted := map[rrsetID][]dns.RR{} // RRsets that must consist of exactly these records
	for _, rr := range section {
		if err := d.checkPrerequisite(rr); err != nil {
			return err
		}
		if rr.Header().Class == dns.ClassINET {
			addWanted(wanted, canonicalize(dns.Copy(rr)))
		}
	}
	return d.checkRRsets(wanted)
}

// addWanted adds a record to the RRset that it belongs to, unless the RRset has it.
func addWanted(wanted map[rrsetID][]dns.RR, record dns.RR) {
	id := rrsetID{name: record.Header().Name, rrtype: record.Header().Rrtype}
	isSame := func(other dns.RR) bool { return dns.IsDuplicate(other, record) }
	if !slices.ContainsFunc(wanted[id], isSame) {
		wanted[id] = append(wanted[id], record)
	}
}

// checkRRsets checks the prerequisites "RRset exists (value dependent)" (RFC 2136, 2.4.2).
func (d *draft) checkRRsets(wanted map[rrsetID][]dns.RR) error {
	isMissing := func(rr dns.RR) bool { return d.find(rr) == nil }
	for id, rrs := range wanted {
		if len(d.rrset(id.name, id.rrtype)) != len(rrs) || slices.ContainsFunc(rrs, isMissing) {
			return refuse(dns.RcodeNXRrset, "%s does not have exactly these %s", id.name, dns.Type(id.rrtype))
		}
	}
	return nil
}

// checkPrerequisite checks the form of one record of the section and, if its class is not IN, its condition.
// The conditions of class IN are about RRsets and checked by checkRRsets.
func (d *draft) checkPrerequisite(rr dns.RR) error {
	header := rr.Header()
	name := dns.CanonicalName(header.Name)
	switch {
	case header.Ttl != 0:
		return refuse(dns.RcodeFormatError, "prerequisite of %.100q with a TTL", name)
	case !dns.IsSubDomain(d.base.Origin, name):
		return refuse(dns.RcodeNotZone, "prerequisite of %.100q, outside the zone", name)
	case header.Class != dns.ClassINET && header.Rdlength != 0:
		return refuse(dns.RcodeFormatError, "prerequisite of %.100q with data, which its class excludes", name)
	case header.Class != dns.ClassINET && header.Rrtype == dns.TypeANY:
		return d.checkNameInUse(name, header.Class)
	case header.Class == dns.ClassANY:
		if len(d.rrset(name, header.Rrtype)) == 0 {
			return refuse(dns.RcodeNXRrset, "%s has no %s", name, dns.Type(header.Rrtype))
		}
	case header.Class == dns.ClassNONE:
		if len(d.rrset(name, header.Rrtype)) > 0 {
			return refuse(dns.RcodeYXRrset, "%s has %s", name, dns.Type(header.Rrtype))
		}
	case header.Class != dns.ClassINET || header.Rrtype == dns.TypeANY || isMetaType(header.Rrtype):
		return refuse(dns.RcodeFormatError, "prerequisite of %.100q of class %s and type %s",
			name, dns.Class(header.Class), dns.Type(header.Rrtype))
	}
	return nil
}

// checkNameInUse checks the prerequisite "name is in use" (class ANY) or "name is not in use" (class NONE).
func (d *draft) checkNameInUse(name string, class uint16) error {
	inUse := d.nameInUse(name)
	switch {
	case class == dns.ClassANY && !inUse:
		return refuse(dns.RcodeNameError, "%s is not in use", name)
	case class == dns.ClassNONE && inUse:
		return refuse(dns.RcodeYXDomain, "%s is in use", name)
	}
	return nil
}
