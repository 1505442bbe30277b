package dialer

import (
	"net/netip"
	"slices"
	"time"
)

// ipv4Precedence is that of ::ffff:0:0/96 in the table below: netip keeps IPv4 addresses apart from IPv6.
const ipv4Precedence = 35

// precedences is the default policy table of RFC 6724, section 2.1, with the longer prefixes first: of two
// addresses that the host can reach, the one with the higher precedence comes first.
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
	return 0
}

// candidate is an address that is to be put in order.
type candidate struct {
	address    netip.AddrPort
	reachable  bool
	precedence int
}

// Order returns the addresses in the order in which to try them: those that the host cannot reach last (RFC
// 6724, section 6, rule 1), then by precedence (rule 6), then as they were (rule 10); with the families
// interleaved after that (RFC 8305, section 4). The rules on scopes, labels and prefixes, which stand between
// these, are left out: backends are in one network. reachable reports whether the host has a route to an
// address.
func Order(addresses []netip.AddrPort, reachable func(netip.Addr) bool) []netip.AddrPort {
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

// compare puts candidates that are reachable, and those of higher precedence, first.
func compare(a, b candidate) int {
	if a.reachable != b.reachable {
		if a.reachable {
			return -1
		}
		return 1
	}
	return b.precedence - a.precedence
}

// nextOfOtherFamily returns the index of the first candidate that is not of the last one's family; the first
// of all if there is none, or if that would put an unreachable address before a reachable one.
func nextOfOtherFamily(candidates []candidate, last netip.AddrPort) int {
	other := slices.IndexFunc(candidates, func(c candidate) bool {
		return c.address.Addr().Is4() != last.Addr().Is4()
	})
	if other < 0 || candidates[other].reachable != candidates[0].reachable {
		return 0
	}
	return other
}

const (
	// recommendedAttemptDelay is that of RFC 8305, section 5.
	recommendedAttemptDelay = 250 * time.Millisecond
	// minAttemptDelay is RFC 8305's lower bound.
	minAttemptDelay = 10 * time.Millisecond
)

// attemptDelay is how long one address is waited for before the next is tried beside it, where there are so
// many and all together may take so long: the recommended delay, or less, so that the last is tried while
// time is left for it.
func attemptDelay(addresses int, timeout time.Duration) time.Duration {
	equalParts := timeout / time.Duration(addresses+1)
	return min(recommendedAttemptDelay, max(equalParts, minAttemptDelay))
}
