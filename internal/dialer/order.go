// Package reach opens a connection to something that listens at several addresses, IPv4 and IPv6. Which is tried
// first is decided in this file, by what the RFCs say and by nothing else; reach.go does it.
package dialer

import (
	"net/netip"
	"slices"
	"time"
)

// precedence is the default policy table of RFC 6724, 2.1: of two addresses that the host can reach, the one with
// the higher value comes first.
var precedence = []struct {
	prefix netip.Prefix
	value  int
}{
	{netip.MustParsePrefix("::1/128"), 50},
	{netip.MustParsePrefix("::ffff:0:0/96"), 35},
	{netip.MustParsePrefix("2002::/16"), 30},
	{netip.MustParsePrefix("2001::/32"), 5},
	{netip.MustParsePrefix("fc00::/7"), 3},
	{netip.MustParsePrefix("::/96"), 1},
	{netip.MustParsePrefix("fec0::/10"), 1},
	{netip.MustParsePrefix("3ffe::/16"), 1},
	{netip.MustParsePrefix("::/0"), 40},
}

func value(a netip.Addr) int {
	if a.Is4() {
		return 35 // as ::ffff:0:0/96, which netip keeps apart from IPv6
	}
	for _, p := range precedence {
		if p.prefix.Contains(a) {
			return p.value
		}
	}
	return 0
}

// Order is the order to try addresses in: those that the host has no way to last (RFC 6724, rule 1), then by
// precedence (rule 6), then as they were (rule 10); the families taken in turn after that (RFC 8305, 4). The rules
// on scopes, labels and prefixes between them are left out: backends stand in one network. reachable tells whether
// the host has a way to an address.
func Order(all []netip.AddrPort, reachable func(netip.Addr) bool) []netip.AddrPort {
	type row struct {
		at   netip.AddrPort
		way  bool
		rank int
	}
	var rows []row
	for _, a := range all {
		rows = append(rows, row{a, reachable(a.Addr()), value(a.Addr())})
	}
	slices.SortStableFunc(rows, func(a, b row) int {
		switch {
		case a.way != b.way && a.way:
			return -1
		case a.way != b.way:
			return 1
		}
		return b.rank - a.rank
	})
	var order []netip.AddrPort
	for len(rows) > 0 {
		// The next of the other family, unless only the other family has a way.
		n := 0
		if len(order) > 0 {
			last := order[len(order)-1].Addr().Is4()
			if k := slices.IndexFunc(rows, func(r row) bool { return r.at.Addr().Is4() != last }); k > 0 && rows[k].way == rows[0].way {
				n = k
			}
		}
		order = append(order, rows[n].at)
		rows = slices.Delete(rows, n, n+1)
	}
	return order
}

// Gap is how long one address is waited for before the next is tried beside it, where there are n and the whole may
// take so long: RFC 8305's 250 ms, or less, so that the last is tried while time is left for it; 10 ms at least.
func Gap(n int, whole time.Duration) time.Duration {
	return min(250*time.Millisecond, max(whole/time.Duration(n+1), 10*time.Millisecond))
}
