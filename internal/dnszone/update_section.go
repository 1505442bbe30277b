package dnszone

import "github.com/miekg/dns"

// applyUpdateSection processes the update section of an update (RFC 2136, 3.4.2). All records must have passed the
// prescan.
func (tx *transaction) applyUpdateSection(section []dns.RR) error {
	for _, rr := range section {
		if err := tx.applyUpdateRecord(rr); err != nil {
			return err
		}
	}
	return nil
}

// applyUpdateRecord performs the operation of one record of the update section, which its class selects.
func (tx *transaction) applyUpdateRecord(rr dns.RR) error {
	rr = canonicalize(dns.Copy(rr))
	switch rr.Header().Class {
	case dns.ClassANY:
		tx.deleteRRsets(rr.Header())
		return nil
	case dns.ClassNONE:
		tx.deleteRecord(rr)
		return nil
	}
	if err := tx.base.checkRecord(rr); err != nil {
		return newUpdateError(dns.RcodeRefused, "%v", err)
	}
	if soa, ok := rr.(*dns.SOA); ok {
		tx.replaceSOA(soa)
		return nil
	}
	tx.addRecord(rr)
	return nil
}

// deleteRRsets deletes an RRset or, with type ANY, all RRsets of a name. The SOA and NS records of the apex are not
// deleted (RFC 2136, 3.4.2.3).
func (tx *transaction) deleteRRsets(header *dns.RR_Header) {
	isApex := header.Name == tx.base.Origin
	for _, rrtype := range supportedTypes {
		if header.Rrtype != dns.TypeANY && header.Rrtype != rrtype {
			continue
		}
		if isApex && (rrtype == dns.TypeSOA || rrtype == dns.TypeNS) {
			continue
		}
		for _, rr := range tx.rrset(header.Name, rrtype) {
			tx.remove(rr)
		}
	}
}

// deleteRecord deletes one record from an RRset. It does not delete an SOA, or the last NS record of the
// apex (RFC 2136, 3.4.2.4).
func (tx *transaction) deleteRecord(rr dns.RR) {
	header := rr.Header()
	header.Class = dns.ClassINET // class NONE requests the deletion; the record in the zone has class IN
	existing := tx.find(rr)
	if existing == nil || header.Rrtype == dns.TypeSOA {
		return
	}
	isApexNS := header.Name == tx.base.Origin && header.Rrtype == dns.TypeNS
	if isApexNS && len(tx.rrset(header.Name, dns.TypeNS)) == 1 {
		return
	}
	tx.remove(existing)
}

// replaceSOA replaces the SOA record if the new one has a greater serial, and ignores it otherwise (RFC 2136,
// 3.4.2.2).
func (tx *transaction) replaceSOA(soa *dns.SOA) {
	current := tx.rrset(soa.Hdr.Name, dns.TypeSOA)[0].(*dns.SOA)
	if SerialNewer(soa.Serial, current.Serial) {
		tx.remove(current)
		tx.add(soa)
	}
}

// addRecord adds a record, or replaces the existing record that differs only in its TTL. A CNAME must be the only
// record of its name, so a record that would violate this rule is ignored (RFC 2136, 3.4.2.2). A CNAME replaces an
// existing CNAME of the same name.
func (tx *transaction) addRecord(rr dns.RR) {
	header := rr.Header()
	isAlias := header.Rrtype == dns.TypeCNAME
	aliases := tx.rrset(header.Name, dns.TypeCNAME)
	if !isAlias && len(aliases) > 0 {
		return
	}
	if isAlias && len(aliases) == 0 && tx.nameInUse(header.Name) {
		return
	}
	if isAlias {
		for _, alias := range aliases {
			tx.remove(alias)
		}
	}
	if existing := tx.find(rr); existing != nil {
		if existing.Header().Ttl == header.Ttl {
			return
		}
		tx.remove(existing)
	}
	tx.add(rr)
}
