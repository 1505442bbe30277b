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

// provenanceFunc returns the provenance of a backend that the base zone does not have. srv is the backend's SRV
// record.
type provenanceFunc func(name string, srv dns.RR) Provenance

// withBackends returns the zone with its backends rebuilt from all its records.
func (z *Zone) withBackends(provenance provenanceFunc) (*Zone, error) {
	tx := z.newTransaction()
	for _, rr := range z.RRset(z.Service, dns.TypeSRV) {
		tx.affectedNames[rr.(*dns.SRV).Target] = true
	}
	if err := tx.rebuildBackends(provenance); err != nil {
		return nil, err
	}
	return tx.next, nil
}

// rebuildBackends rebuilds the backends of the affected names from their records.
func (tx *transaction) rebuildBackends(provenance provenanceFunc) error {
	maps.Copy(tx.affectedNames, tx.next.aliasedTargets) // any changed name may be the one that holds their addresses
	targets := slices.Sorted(maps.Keys(tx.affectedNames))
	for _, name := range targets {
		delete(tx.next.aliasedTargets, name)
		tx.markBackendsOf(name)
	}
	// All marked backends are removed before any is added, because an update may move an address from one backend
	// to another.
	tx.removeMarkedBackends()
	for _, name := range targets {
		if err := tx.addBackendsOf(name, provenance); err != nil {
			return err
		}
	}
	tx.next.selectPriority()
	return nil
}

// markBackendsOf adds the existing backends of a target to rebuiltBackends.
func (tx *transaction) markBackendsOf(targetName string) {
	prefix := backendNamePrefix(targetName)
	tx.next.backends.Ascend(prefix, func(name string, _ Backend) bool {
		if !strings.HasPrefix(name, prefix) {
			return false
		}
		tx.rebuiltBackends[name] = true
		return true
	})
}

// removeMarkedBackends removes the backends in rebuiltBackends and their addresses from the next zone.
func (tx *transaction) removeMarkedBackends() {
	for name := range tx.rebuiltBackends {
		backend, _ := tx.next.backends.Delete(name)
		for _, address := range backend.Addresses {
			tx.next.backendByAddress.Delete(address.String())
		}
		tx.next.adjustPriorityCount(backend, -1)
	}
}

// addBackendsOf adds one backend for each SRV record with the given target.
func (tx *transaction) addBackendsOf(targetName string, provenance provenanceFunc) error {
	srvs := tx.next.srvRecords(targetName)
	if len(srvs) == 0 {
		return nil
	}
	if err := tx.base.checkTarget(targetName); err != nil {
		return tx.base.withPosition(srvs[0], err)
	}
	target, err := tx.readTarget(targetName)
	if _, ok := errors.AsType[*PositionError](err); ok {
		return err
	}
	if err != nil {
		return tx.base.withPosition(srvs[0], err)
	}
	for _, rr := range srvs {
		if err := tx.addBackend(rr.(*dns.SRV), target, provenance); err != nil {
			return tx.base.withPosition(rr, err)
		}
	}
	return nil
}

// checkTarget returns an error if a name is not allowed as the target of an SRV record.
func (z *Zone) checkTarget(targetName string) error {
	if targetName == "." {
		return errServiceUnavailable
	}
	if !dns.IsSubDomain(z.Origin, targetName) {
		return fmt.Errorf("target %s does not lie in the zone; names outside are not looked up", targetName)
	}
	return nil
}

// addBackend adds the backend of an SRV record.
func (tx *transaction) addBackend(srv *dns.SRV, target *srvTarget, provenance provenanceFunc) error {
	if srv.Port == 0 {
		return fmt.Errorf("target %s with port 0", srv.Target)
	}
	name := backendNamePrefix(srv.Target) + strconv.Itoa(int(srv.Port))
	if _, duplicate := tx.next.backends.Get(name); duplicate {
		return fmt.Errorf("%s appears twice", name)
	}
	addresses, err := tx.assignAddresses(name, target.addresses, srv.Port)
	if err != nil {
		return err
	}
	backend := Backend{
		Name:                name,
		Addresses:           addresses,
		Zone:                target.availabilityZone,
		Group:               target.group,
		Draining:            target.draining,
		Weight:              target.weight(srv),
		Priority:            srv.Priority,
		AnnouncedStartNanos: target.startNanos,
		Provenance:          tx.provenance(name, srv, provenance),
	}
	tx.rebuiltBackends[name] = true
	tx.next.backends.Set(name, backend)
	tx.next.adjustPriorityCount(backend, 1)
	return nil
}

// assignAddresses assigns the addresses, combined with the port, to the named backend. It returns an error if one
// of them belongs to another backend, because the same server would then count as two backends.
func (tx *transaction) assignAddresses(name string, addresses []netip.Addr, port uint16) ([]netip.AddrPort, error) {
	var assigned []netip.AddrPort
	for _, address := range addresses {
		addressPort := netip.AddrPortFrom(address, port)
		if other, duplicate := tx.next.backendByAddress.Set(addressPort.String(), name); duplicate {
			return nil, fmt.Errorf("%s and %s both have the address %s", other, name, addressPort)
		}
		assigned = append(assigned, addressPort)
	}
	return assigned, nil
}

// provenance returns the provenance of a backend that the base zone has, and calls newProvenance for any other.
func (tx *transaction) provenance(name string, srv dns.RR, newProvenance provenanceFunc) Provenance {
	if existing, ok := tx.base.backends.Get(name); ok {
		return existing.Provenance
	}
	return newProvenance(name, srv)
}

// backendNamePrefix returns the common prefix of the names of all backends of a target.
func backendNamePrefix(targetName string) string { return strings.TrimSuffix(targetName, ".") + ":" }
