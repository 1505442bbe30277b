package dnszone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Settings contains the name of a zone and the name of the service whose SRV records define the backends. Both are
// fully qualified domain names.
type Settings struct {
	Origin  string // name of the zone
	Service string // owner name of the SRV records
}

// Canonical returns the settings with both names in canonical form. It returns an error if a name is not a valid
// domain name, is the root, or if the service is outside the zone.
func (s Settings) Canonical() (Settings, error) {
	for _, name := range []string{s.Origin, s.Service} {
		if _, ok := dns.IsDomainName(name); !ok || name == "" || name == "." {
			return s, fmt.Errorf("%q is no name of a zone", name)
		}
	}
	s.Origin = dns.CanonicalName(s.Origin)
	s.Service = dns.CanonicalName(s.Service)
	if !dns.IsSubDomain(s.Origin, s.Service) {
		return s, fmt.Errorf("service %s does not lie in the zone %s", s.Service, s.Origin)
	}
	return s, nil
}
