package dialer

import (
	"net"
	"net/netip"
	"slices"
)

// ipv4Precedence is the precedence of ::ffff:0:0/96 in the table below. It has its own constant because netip
// distinguishes IPv4 addresses from IPv6 addresses.
const ipv4Precedence = 35

// precedences is the default policy table of RFC 6724, section 2.1. A prefix stands before those that contain it.
// Of two addresses that the host can reach, the one with the higher precedence comes first.
var precedences = []struct {
	prefix     netip.Prefix
	precedence int
}{
	{netip.MustParsePrefix("::1/128"), 50},
	{netip.MustParsePrefix("::ffff:0:0/96"), ipv4Precedence},
	{netip.MustParsePrefix("2002::/16"), 30},
	{netip.MustParsePrefix("2001::/32"), 5},
	{netip.MustParsePrefix("fc00::/7"), 3},
	{netip.MustParsePrefix("::/96"), 1},
	{netip.MustParsePrefix("fec0::/10"), 1},
	{netip.MustParsePrefix("3ffe::/16"), 1},
	{netip.MustParsePrefix("::/0"), 40},
}

func precedenceOf(address netip.Addr) int {
	if address.Is4() {
		return ipv4Precedence
	}
	for _, row := range precedences {
		if row.prefix.Contains(address) {
			return row.precedence
		}
	}
	// Only an address with a zone gets here: no prefix contains one.
	return 0
}

// candidate is an address to be sorted.
type candidate struct {
	address    netip.AddrPort
	reachable  bool
	precedence int
}

// OrderAddresses returns the addresses in the order in which to try them. Addresses that the host cannot reach come
// last (RFC 6724, section 6, rule 1). The rest of the order is by precedence (rule 6), then as given (rule
// 10). After that the address families are interleaved (RFC 8305, section 4). The rules in between, on
// scopes, labels and prefixes, are left out, since all backends are in one network. reachable reports whether
// the host has a route to an address; HasRoute asks the system.
func OrderAddresses(addresses []netip.AddrPort, reachable func(netip.Addr) bool) []netip.AddrPort {
	var candidates []candidate
	for _, address := range addresses {
		candidates = append(candidates, candidate{
			address:    address,
			reachable:  reachable(address.Addr()),
			precedence: precedenceOf(address.Addr()),
		})
	}
	slices.SortStableFunc(candidates, compare)
	var order []netip.AddrPort
	for len(candidates) > 0 {
		next := 0
		if len(order) > 0 {
			next = nextOfOtherFamily(candidates, order[len(order)-1])
		}
		order = append(order, candidates[next].address)
		candidates = slices.Delete(candidates, next, next+1)
	}
	return order
}

// compare sorts reachable candidates first, then those of higher precedence.
func compare(a, b candidate) int {
	if a.reachable != b.reachable {
		if a.reachable {
			return -1
		}
		return 1
	}
	return b.precedence - a.precedence
}

// nextOfOtherFamily returns the index of the first candidate whose address family differs from that of last.
// It returns 0 if there is none, or if choosing it would put an unreachable address before a reachable one.
func nextOfOtherFamily(candidates []candidate, last netip.AddrPort) int {
	other := slices.IndexFunc(candidates, func(c candidate) bool {
		return c.address.Addr().Is4() != last.Addr().Is4()
	})
	if other < 0 || candidates[other].reachable != candidates[0].reachable {
		return 0
	}
	return other
}

// discardPort is the port of the discard service. Nothing is sent to it.
const discardPort = 9

// HasRoute reports whether the host has a route to an address. It checks whether a UDP socket can be
// connected to the address, which sends nothing.
func HasRoute(address netip.Addr) bool {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, discardPort)))
	if err != nil {
		return false
	}
	_ = conn.Close() // the connect was all that was needed
	return true
}
