package dnszone

import (
	"strings"

	"github.com/miekg/dns"
)

// Update applies an update message as received from the wire (RFC 2136, 3.1 to 3.4). atNanos is the time of its
// receipt, in unix ns. The caller must have checked its signature. Update returns the step to a new zone, or an
// *UpdateError. If the update does not set the serial, the serial increases by one (RFC 2136, 3.6).
func (z *Zone) Update(message *dns.Msg, atNanos int64, signature Signature) (*Transition, error) {
	if err := z.checkZoneSection(message.Question); err != nil {
		return nil, err
	}
	d := z.newDraft()
	if err := d.checkPrerequisites(message.Answer); err != nil {
		return nil, err
	}
	if err := d.prescan(message.Ns); err != nil {
		return nil, err
	}
	if err := d.applyUpdateSection(message.Ns); err != nil {
		return nil, err
	}
	if len(d.added) == 0 && len(d.deleted) == 0 {
		return &Transition{Zone: z}, nil
	}
	d.raiseSerial()
	step, err := d.finish(atNanos, signature)
	if err != nil {
		return nil, refuse(dns.RcodeRefused, "%v", err)
	}
	return step, nil
}

// checkZoneSection implements RFC 2136, 3.1.
func (z *Zone) checkZoneSection(section []dns.Question) error {
	if len(section) != 1 || section[0].Qtype != dns.TypeSOA || section[0].Qclass != dns.ClassINET {
		return refuse(dns.RcodeFormatError, "the zone section is not one SOA of class IN")
	}
	if !strings.EqualFold(dns.CanonicalName(section[0].Name), z.Origin) {
		return refuse(dns.RcodeNotAuth, "the zone is %s, not %.100q", z.Origin, section[0].Name)
	}
	return nil
}

// raiseSerial increases the serial by one if the update did not set it.
func (d *draft) raiseSerial() {
	old := d.rrset(d.base.Origin, dns.TypeSOA)[0].(*dns.SOA)
	if old.Serial != d.base.Serial() {
		return
	}
	d.remove(old)
	raised := dns.Copy(old).(*dns.SOA)
	raised.Serial = nextSerial(old.Serial)
	d.add(raised)
}
