package dialer

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// parseAddresses parses addresses separated by spaces, and adds a port to each.
func parseAddresses(text string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, address := range strings.Fields(text) {
		addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr(address), 80))
	}
	return addresses
}

func TestOrderAddresses(t *testing.T) {
	for _, test := range []struct{ name, addresses, unreachable, want string }{
		{
			name:      "IPv6 first",
			addresses: "192.0.2.1 2001:db8::1",
			want:      "2001:db8::1 192.0.2.1",
		},
		{
			name:        "unreachable last",
			addresses:   "192.0.2.1 2001:db8::1",
			unreachable: "2001:db8::1",
			want:        "192.0.2.1 2001:db8::1",
		},
		{
			name:      "families interleaved",
			addresses: "192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2",
			want:      "2001:db8::1 192.0.2.1 2001:db8::2 192.0.2.2",
		},
		{
			name:        "unreachable family",
			addresses:   "192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2",
			unreachable: "2001:db8::1 2001:db8::2",
			want:        "192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2",
		},
		{
			name:      "unique local after IPv4",
			addresses: "192.0.2.1 fc00::1",
			want:      "192.0.2.1 fc00::1",
		},
		{
			name:      "by precedence",
			addresses: "fc00::1 2001:db8::1 ::1",
			want:      "::1 2001:db8::1 fc00::1",
		},
		{
			name:      "stable",
			addresses: "192.0.2.2 192.0.2.1",
			want:      "192.0.2.2 192.0.2.1",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			unreachable := strings.Fields(test.unreachable)
			got := OrderAddresses(parseAddresses(test.addresses), func(address netip.Addr) bool {
				return !slices.Contains(unreachable, address.String())
			})
			if !slices.Equal(got, parseAddresses(test.want)) {
				t.Errorf("order of %s with %q unreachable: %v", test.addresses, test.unreachable, got)
			}
		})
	}
}

func TestHasRoute(t *testing.T) {
	if !HasRoute(netip.MustParseAddr("127.0.0.1")) {
		t.Error("the host has no route to its loopback address")
	}
}
