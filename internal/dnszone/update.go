package dnszone

import (
	"strings"

	"github.com/miekg/dns"
)

// Update applies an update message as received from the wire (RFC 2136, 3.1 to 3.4). receivedNanos is the time of
// receipt, in unix ns. The caller must have verified the signature of the message. Update returns the transition to
// a new zone, or an *UpdateError. If the update does not set the serial, the serial is incremented (RFC 2136, 3.6).
func (z *Zone) Update(message *dns.Msg, receivedNanos int64, signature Signature) (*Transition, error) {
	if err := z.checkZoneSection(message.Question); err != nil {
		return nil, err
	}
	tx := z.newTransaction()
	if err := tx.checkPrerequisites(message.Answer); err != nil {
		return nil, err
	}
	if err := tx.prescan(message.Ns); err != nil {
		return nil, err
	}
	if err := tx.applyUpdateSection(message.Ns); err != nil {
		return nil, err
	}
	if len(tx.added) == 0 && len(tx.deleted) == 0 {
		return &Transition{Zone: z}, nil
	}
	tx.incrementSerial()
	transition, err := tx.commit(receivedNanos, signature)
	if err != nil {
		return nil, newUpdateError(dns.RcodeRefused, "%v", err)
	}
	return transition, nil
}

// checkZoneSection processes the zone section of an update (RFC 2136, 3.1).
func (z *Zone) checkZoneSection(section []dns.Question) error {
	if len(section) != 1 || section[0].Qtype != dns.TypeSOA || section[0].Qclass != dns.ClassINET {
		return newUpdateError(dns.RcodeFormatError, "the zone section is not one SOA of class IN")
	}
	if !strings.EqualFold(dns.CanonicalName(section[0].Name), z.Origin) {
		return newUpdateError(dns.RcodeNotAuth, "the zone is %s, not %.100q", z.Origin, section[0].Name)
	}
	return nil
}

// incrementSerial increments the serial of the zone, unless the update has set it.
func (tx *transaction) incrementSerial() {
	current := tx.rrset(tx.base.Origin, dns.TypeSOA)[0].(*dns.SOA)
	if current.Serial != tx.base.Serial() {
		return
	}
	tx.remove(current)
	incremented := dns.Copy(current).(*dns.SOA)
	incremented.Serial = nextSerial(current.Serial)
	tx.add(incremented)
}
