package dnszone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Settings names a zone, and the service in it that lists the backends. Names are fully qualified.
type Settings struct {
	Origin  string // name of the zone
	Service string // owner name of the SRV records
}

// Canonical returns the settings with both names in canonical form, or an error if one of them is not usable.
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
