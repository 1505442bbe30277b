package dialer

import (
	"net"
	"net/netip"
	"slices"
)

// ipv4Precedence is the precedence of ::ffff:0:0/96 in the policy table. It is a separate constant because netip
// does not treat IPv4 addresses as addresses in that prefix.
const ipv4Precedence = 35

// precedences is the default policy table of RFC 6724, section 2.1. Each prefix precedes the prefixes that contain
// it. Of two addresses that the host can reach, the one with the higher precedence comes first.
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
	// Only an address with an IPv6 zone matches no prefix.
	return 0
}

// candidate is an address to be ordered.
type candidate struct {
	address    netip.AddrPort
	reachable  bool
	precedence int
}

// OrderAddresses returns the addresses in the order in which to try them. Addresses that the host cannot reach come
// last (RFC 6724, section 6, rule 1). Otherwise addresses are sorted by precedence (rule 6), and then keep the given
// order (rule 10). Finally the address families are interleaved (RFC 8305, section 4). The rules in between, on
// scopes, labels and prefixes, are not applied, since all backends are in one network. reachable reports whether the
// host can reach an address; HasRoute is an implementation that uses the host's routes.
func OrderAddresses(addresses []netip.AddrPort, reachable func(netip.Addr) bool) []netip.AddrPort {
	var candidates []candidate
	for _, address := range addresses {
		candidates = append(candidates, candidate{
			address:    address,
			reachable:  reachable(address.Addr()),
			precedence: precedenceOf(address.Addr()),
		})
	}
	slices.SortStableFunc(candidates, compareCandidates)
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

// compareCandidates orders reachable candidates before unreachable ones, and then by descending precedence.
func compareCandidates(a, b candidate) int {
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

// HasRoute reports whether the host has a route to an address. It tests whether a UDP socket can be connected to the
// address, which sends no packet.
func HasRoute(address netip.Addr) bool {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, discardPort)))
	if err != nil {
		return false
	}
	_ = conn.Close() // only the result of connecting the socket matters
	return true
}
