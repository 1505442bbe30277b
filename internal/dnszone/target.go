package dnszone

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/miekg/dns"
)

const (
	// maxAliases is the maximum number of CNAME records between a target and its addresses. It also ends a loop of
	// CNAME records.
	maxAliases = 8
	// defaultSRVWeight is the SRV weight that corresponds to the backend weight 1. It also replaces the SRV weight
	// 0, which RFC 2782 recommends where no server selection is needed.
	defaultSRVWeight = 100
)

// srvTarget holds the addresses and attributes of the target of an SRV record.
type srvTarget struct {
	addresses []netip.Addr
	attributes
}

// weight returns the backend weight for an SRV record. A size attribute takes precedence over the SRV weight.
func (t *srvTarget) weight(srv *dns.SRV) float64 {
	if t.size != 0 {
		return t.size
	}
	return float64(cmp.Or(srv.Weight, defaultSRVWeight)) / defaultSRVWeight
}

// readTarget reads the addresses and attributes of a target. The attributes are read at the target's own name, the
// addresses at the end of its CNAME chain.
func (tx *transaction) readTarget(targetName string) (*srvTarget, error) {
	owner, err := tx.resolveAliases(targetName)
	if err != nil {
		return nil, err
	}
	addresses, err := tx.readAddresses(targetName, owner)
	if err != nil {
		return nil, err
	}
	attributes, err := tx.readAttributes(targetName)
	if err != nil {
		return nil, err
	}
	if owner != targetName {
		tx.next.markAliased(targetName)
	}
	return &srvTarget{addresses: addresses, attributes: attributes}, nil
}

// markAliased records that a target is an alias, so that its addresses are at another name. A change of those
// addresses does not mark the target as affected; therefore every update reads the target again.
func (z *Zone) markAliased(targetName string) {
	if z.aliasedTargets == nil {
		z.aliasedTargets = map[string]bool{}
	}
	z.aliasedTargets[targetName] = true
}

// resolveAliases follows the CNAME records that start at a name and returns the name at the end of the chain.
func (tx *transaction) resolveAliases(name string) (string, error) {
	owner := name
	for aliasCount := 0; ; aliasCount++ {
		alias := tx.rrset(owner, dns.TypeCNAME)
		if len(alias) == 0 {
			return owner, nil
		}
		if aliasCount == maxAliases {
			return "", tx.base.withPosition(alias[0],
				fmt.Errorf("the CNAMEs from %s form a loop, or exceed %d steps", name, maxAliases))
		}
		owner = dns.CanonicalName(alias[0].(*dns.CNAME).Target)
	}
}

// readAddresses returns the addresses of a target from the records at owner, the end of the target's CNAME chain.
// The addresses are sorted, so that their order is the same on every gateway.
func (tx *transaction) readAddresses(targetName, owner string) (addresses []netip.Addr, err error) {
	for _, rr := range tx.rrset(owner, dns.TypeAAAA) {
		if address, ok := netip.AddrFromSlice(rr.(*dns.AAAA).AAAA); ok {
			addresses = append(addresses, address.Unmap())
		}
	}
	for _, rr := range tx.rrset(owner, dns.TypeA) {
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
		return nil, fmt.Errorf("%s has no address in the zone (looked for at %s)", targetName, owner)
	}
	slices.SortFunc(addresses, netip.Addr.Compare)
	return addresses, nil
}
