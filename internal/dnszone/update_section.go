package dnszone

import "github.com/miekg/dns"

// applyUpdateSection implements RFC 2136, 3.4.2. The records have passed the prescan.
func (d *draft) applyUpdateSection(section []dns.RR) error {
	for _, rr := range section {
		if err := d.applyUpdateRecord(rr); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdateRecord applies one record of the update section.
func (d *draft) applyUpdateRecord(rr dns.RR) error {
	rr = canonicalize(dns.Copy(rr))
	switch rr.Header().Class {
	case dns.ClassANY:
		d.deleteRRsets(rr.Header())
		return nil
	case dns.ClassNONE:
		d.deleteRecord(rr)
		return nil
	}
	if err := d.base.checkRecord(rr); err != nil {
		return refuse(dns.RcodeRefused, "%v", err)
	}
	if soa, ok := rr.(*dns.SOA); ok {
		d.replaceSOA(soa)
		return nil
	}
	d.addRecord(rr)
	return nil
}

// deleteRRsets deletes an RRset or, with type ANY, all RRsets of a name. The apex keeps its SOA and NS
// records (RFC 2136, 3.4.2.3).
func (d *draft) deleteRRsets(header *dns.RR_Header) {
	isApex := header.Name == d.base.Origin
	for _, rrtype := range supportedTypes {
		if header.Rrtype != dns.TypeANY && header.Rrtype != rrtype {
			continue
		}
		if isApex && (rrtype == dns.TypeSOA || rrtype == dns.TypeNS) {
			continue
		}
		for _, rr := range d.rrset(header.Name, rrtype) {
			d.remove(rr)
		}
	}
}

// deleteRecord deletes one record from an RRset. It does not delete an SOA, or the last NS record of the
// apex (RFC 2136, 3.4.2.4).
func (d *draft) deleteRecord(rr dns.RR) {
	header := rr.Header()
	header.Class = dns.ClassINET // class NONE only marks the deletion; the record in the zone has class IN
	existing := d.find(rr)
	if existing == nil || header.Rrtype == dns.TypeSOA {
		return
	}
	isApexNS := header.Name == d.base.Origin && header.Rrtype == dns.TypeNS
	if isApexNS && len(d.rrset(header.Name, dns.TypeNS)) == 1 {
		return
	}
	d.remove(existing)
}

// replaceSOA replaces the current SOA with a newer one. An SOA that is not newer is ignored (RFC 2136,
// 3.4.2.2).
func (d *draft) replaceSOA(soa *dns.SOA) {
	old := d.rrset(soa.Hdr.Name, dns.TypeSOA)[0].(*dns.SOA)
	if SerialNewer(soa.Serial, old.Serial) {
		d.remove(old)
		d.add(soa)
	}
}

// addRecord adds a record, or replaces the record that differs only in its TTL. A CNAME must be the only
// record at its name, so a record that would break this rule is ignored (RFC 2136, 3.4.2.2). A CNAME replaces
// another one.
func (d *draft) addRecord(rr dns.RR) {
	header := rr.Header()
	isAlias := header.Rrtype == dns.TypeCNAME
	aliases := d.rrset(header.Name, dns.TypeCNAME)
	if !isAlias && len(aliases) > 0 {
		return
	}
	if isAlias && len(aliases) == 0 && d.nameInUse(header.Name) {
		return
	}
	if isAlias {
		for _, alias := range aliases {
			d.remove(alias)
		}
	}
	if existing := d.find(rr); existing != nil {
		if existing.Header().Ttl == header.Ttl {
			return
		}
		d.remove(existing)
	}
	d.add(rr)
}
