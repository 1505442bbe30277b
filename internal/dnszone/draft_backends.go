package dnszone

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

// provenanceFunc returns the provenance of a backend that the base does not have. srv is the backend's SRV
// record.
type provenanceFunc func(name string, srv dns.RR) Provenance

// withBackends returns the zone with its backends rebuilt from all its records.
func (z *Zone) withBackends(provenance provenanceFunc) (*Zone, error) {
	d := z.newDraft()
	for _, rr := range z.RRset(z.Service, dns.TypeSRV) {
		d.touchedNames[rr.(*dns.SRV).Target] = true
	}
	if err := d.rebuildBackends(provenance); err != nil {
		return nil, err
	}
	return d.next, nil
}

// rebuildBackends rebuilds the backends of the touched targets.
func (d *draft) rebuildBackends(provenance provenanceFunc) error {
	maps.Copy(d.touchedNames, d.next.aliasedTargets) // a change at any name may change their addresses
	targets := slices.Sorted(maps.Keys(d.touchedNames))
	for _, name := range targets {
		delete(d.next.aliasedTargets, name)
		d.markBackendsOf(name)
	}
	// All marked backends are removed before any is added, because they may exchange addresses.
	d.removeMarkedBackends()
	for _, name := range targets {
		if err := d.addBackendsOf(name, provenance); err != nil {
			return err
		}
	}
	d.next.selectPriority()
	return nil
}

// markBackendsOf marks the backends of one target as rebuilt.
func (d *draft) markBackendsOf(targetName string) {
	prefix := backendNamePrefix(targetName)
	d.next.backends.Ascend(prefix, func(name string, _ Backend) bool {
		if !strings.HasPrefix(name, prefix) {
			return false
		}
		d.rebuiltBackends[name] = true
		return true
	})
}

// removeMarkedBackends removes the marked backends, with their addresses, from the next zone.
func (d *draft) removeMarkedBackends() {
	for name := range d.rebuiltBackends {
		backend, _ := d.next.backends.Delete(name)
		for _, address := range backend.Addresses {
			d.next.backendByAddress.Delete(address.String())
		}
		d.next.addToPriority(backend, -1)
	}
}

// addBackendsOf adds the backends of one target's SRV records.
func (d *draft) addBackendsOf(targetName string, provenance provenanceFunc) error {
	srvs := d.next.srvRecords(targetName)
	if len(srvs) == 0 {
		return nil
	}
	if err := d.base.checkTarget(targetName); err != nil {
		return d.base.positioned(srvs[0], err)
	}
	target, err := d.readTarget(targetName)
	if _, ok := errors.AsType[*PositionError](err); ok {
		return err
	}
	if err != nil {
		return d.base.positioned(srvs[0], err)
	}
	for _, rr := range srvs {
		if err := d.addBackend(rr.(*dns.SRV), target, provenance); err != nil {
			return d.base.positioned(rr, err)
		}
	}
	return nil
}

// checkTarget returns an error if no SRV record may have the target.
func (z *Zone) checkTarget(targetName string) error {
	if targetName == "." {
		return errServiceUnavailable
	}
	if !dns.IsSubDomain(z.Origin, targetName) {
		return fmt.Errorf("target %s does not lie in the zone; names outside are not looked up", targetName)
	}
	return nil
}

// addBackend adds the backend of one SRV record.
func (d *draft) addBackend(srv *dns.SRV, target *srvTarget, provenance provenanceFunc) error {
	if srv.Port == 0 {
		return fmt.Errorf("target %s with port 0", srv.Target)
	}
	name := backendNamePrefix(srv.Target) + strconv.Itoa(int(srv.Port))
	if _, duplicate := d.next.backends.Get(name); duplicate {
		return fmt.Errorf("%s appears twice", name)
	}
	addresses, err := d.claimAddresses(name, target.addresses, srv.Port)
	if err != nil {
		return err
	}
	backend := Backend{
		Name:                name,
		Addresses:           addresses,
		Zone:                target.zone,
		Group:               target.group,
		Draining:            target.draining,
		Weight:              target.weight(srv),
		Priority:            srv.Priority,
		AnnouncedStartNanos: target.startNanos,
		Provenance:          d.provenance(name, srv, provenance),
	}
	d.rebuiltBackends[name] = true
	d.next.backends.Set(name, backend)
	d.next.addToPriority(backend, 1)
	return nil
}

// claimAddresses assigns addresses at a port to the named backend. It returns an error if another backend has
// one of them, because a request could then reach one server as two backends.
func (d *draft) claimAddresses(name string, addresses []netip.Addr, port uint16) ([]netip.AddrPort, error) {
	var claimed []netip.AddrPort
	for _, address := range addresses {
		addressPort := netip.AddrPortFrom(address, port)
		if other, duplicate := d.next.backendByAddress.Set(addressPort.String(), name); duplicate {
			return nil, fmt.Errorf("%s and %s both have the address %s", other, name, addressPort)
		}
		claimed = append(claimed, addressPort)
	}
	return claimed, nil
}

// provenance returns the provenance that the base has for a backend, or that of a new backend.
func (d *draft) provenance(name string, srv dns.RR, ofNew provenanceFunc) Provenance {
	if existing, ok := d.base.backends.Get(name); ok {
		return existing.Provenance
	}
	return ofNew(name, srv)
}

// backendNamePrefix returns what the names of the backends of one target begin with.
func backendNamePrefix(targetName string) string { return strings.TrimSuffix(targetName, ".") + ":" }
