package dnszone

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/miekg/dns"
)

const (
	// maxAliases is how many CNAMEs are followed from a target to its addresses. A loop exceeds any limit.
	maxAliases = 8
	// defaultSRVWeight is the weight of an ordinary backend. It also replaces 0, which RFC 2782 defines as no
	// weight.
	defaultSRVWeight = 100
)

// srvTarget describes the target of an SRV record.
type srvTarget struct {
	addresses []netip.Addr
	attributes
}

// weight returns the weight of a backend relative to an ordinary one. A size attribute overrides the SRV
// weight.
func (t *srvTarget) weight(srv *dns.SRV) float64 {
	if t.size != 0 {
		return t.size
	}
	return float64(cmp.Or(srv.Weight, defaultSRVWeight)) / defaultSRVWeight
}

// readTarget reads the records of a target. Attributes are at the target's own name; addresses may be behind
// aliases.
func (d *draft) readTarget(name string) (*srvTarget, error) {
	owner, err := d.resolveAliases(name)
	if err != nil {
		return nil, err
	}
	addresses, err := d.readAddresses(name, owner)
	if err != nil {
		return nil, err
	}
	attributes, err := d.readAttributes(name)
	if err != nil {
		return nil, err
	}
	if owner != name {
		d.next.markAliased(name)
	}
	return &srvTarget{addresses: addresses, attributes: attributes}, nil
}

// markAliased records that a target's addresses are at another name. Changes there do not touch the target, so
// every update reads it again.
func (z *Zone) markAliased(targetName string) {
	if z.aliasedTargets == nil {
		z.aliasedTargets = map[string]bool{}
	}
	z.aliasedTargets[targetName] = true
}

// resolveAliases follows CNAME records from a name and returns the last name.
func (d *draft) resolveAliases(name string) (string, error) {
	owner := name
	for followed := 0; ; followed++ {
		alias := d.rrset(owner, dns.TypeCNAME)
		if len(alias) == 0 {
			return owner, nil
		}
		if followed == maxAliases {
			return "", d.base.positioned(alias[0],
				fmt.Errorf("the CNAMEs from %s form a loop, or exceed %d steps", name, maxAliases))
		}
		owner = dns.CanonicalName(alias[0].(*dns.CNAME).Target)
	}
}

// readAddresses returns the addresses of a target, which are at owner, in an order that is the same at every
// gateway.
func (d *draft) readAddresses(name, owner string) (addresses []netip.Addr, err error) {
	for _, rr := range d.rrset(owner, dns.TypeAAAA) {
		if address, ok := netip.AddrFromSlice(rr.(*dns.AAAA).AAAA); ok {
			addresses = append(addresses, address.Unmap())
		}
	}
	for _, rr := range d.rrset(owner, dns.TypeA) {
		if address, ok := netip.AddrFromSlice(rr.(*dns.A).A.To4()); ok {
			addresses = append(addresses, address)
		}
	}
	for _, address := range addresses {
		if address.IsUnspecified() || address.IsMulticast() {
			return nil, fmt.Errorf("%s has the address %s, which no backend can have", owner, address)
		}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("%s has no address in the zone (looked for at %s)", name, owner)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses, nil
}
