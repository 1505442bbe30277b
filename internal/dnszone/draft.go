package dnszone

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/miekg/dns"
)

// defaultSRVWeight is the weight of an ordinary backend. It also replaces 0, which RFC 2782 defines as no
// weight.
const defaultSRVWeight = 100

// draft is a zone with changes applied to it that are not yet known to be valid.
type draft struct {
	base            *Zone
	next            *Zone
	touchedNames    map[string]bool // owner names and targets whose backends must be rebuilt
	changedBackends map[string]bool // names of the backends that were rebuilt or removed
	deleted         map[string]bool // records in master file format, net of additions
	added           map[string]bool
}

func (z *Zone) newDraft() *draft {
	return &draft{
		base:            z,
		next:            z.clone(),
		touchedNames:    map[string]bool{},
		changedBackends: map[string]bool{},
		deleted:         map[string]bool{},
		added:           map[string]bool{},
	}
}

func (d *draft) rrset(name string, rrtype uint16) []dns.RR { return d.next.RRset(name, rrtype) }

func (d *draft) nameInUse(name string) bool { return len(d.rrset(name, dns.TypeANY)) > 0 }

// find returns the existing record that differs at most in its TTL, or nil.
func (d *draft) find(rr dns.RR) dns.RR {
	existing, _ := d.next.records.Get(recordKey(rr))
	return existing
}

func (d *draft) touch(rr dns.RR) {
	if srv, ok := rr.(*dns.SRV); ok {
		d.touchedNames[srv.Target] = true
	} else {
		d.touchedNames[rr.Header().Name] = true
	}
}

func (d *draft) add(rr dns.RR) {
	d.touch(rr)
	d.next.records.Set(recordKey(rr), rr)
	if text := rr.String(); d.deleted[text] {
		delete(d.deleted, text)
	} else {
		d.added[text] = true
	}
}

func (d *draft) remove(rr dns.RR) {
	d.touch(rr)
	d.next.records.Delete(recordKey(rr))
	if text := rr.String(); d.added[text] {
		delete(d.added, text)
	} else {
		d.deleted[text] = true
	}
}

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
	maps.Copy(d.touchedNames, d.next.aliasedTargets)
	targets := slices.Sorted(maps.Keys(d.touchedNames))
	for _, name := range targets {
		delete(d.next.aliasedTargets, name)
		d.markBackendsOf(name)
	}
	d.removeMarkedBackends()
	for _, name := range targets {
		if err := d.addBackendsOf(name, provenance); err != nil {
			return err
		}
	}
	d.next.electPriority()
	return nil
}

func (d *draft) markBackendsOf(targetName string) {
	prefix := strings.TrimSuffix(targetName, ".") + ":"
	d.next.backends.Ascend(prefix, func(name string, _ Backend) bool {
		if !strings.HasPrefix(name, prefix) {
			return false
		}
		d.changedBackends[name] = true
		return true
	})
}

func (d *draft) removeMarkedBackends() {
	for name := range d.changedBackends {
		backend, _ := d.next.backends.Delete(name)
		for _, address := range backend.Addresses {
			d.next.backendByAddress.Delete(address.String())
		}
		d.next.count(backend, -1)
	}
}

// addBackendsOf adds the backends of one target's SRV records.
func (d *draft) addBackendsOf(targetName string, provenance provenanceFunc) error {
	rrs := recordsWithPrefix(&d.next.records, keyPrefix(d.base.Service, dns.TypeSRV)+targetName+"\x00")
	if len(rrs) == 0 {
		return nil
	}
	if targetName == "." {
		return d.base.positioned(rrs[0],
			errors.New(`an SRV record with the target ".": withdraw the records in its place`))
	}
	if !dns.IsSubDomain(d.base.Origin, targetName) {
		return d.base.positioned(rrs[0],
			fmt.Errorf("target %s does not lie in the zone; names outside are not looked up", targetName))
	}
	target, err := d.readTarget(targetName)
	if err != nil {
		if _, ok := errors.AsType[*PositionError](err); ok {
			return err
		}
		return d.base.positioned(rrs[0], err)
	}
	for _, rr := range rrs {
		if err := d.addBackend(rr.(*dns.SRV), target, provenance); err != nil {
			return d.base.positioned(rr, err)
		}
	}
	return nil
}

func (d *draft) addBackend(srv *dns.SRV, target *srvTarget, provenance provenanceFunc) error {
	if srv.Port == 0 {
		return fmt.Errorf("target %s with port 0", srv.Target)
	}
	name := strings.TrimSuffix(srv.Target, ".") + ":" + strconv.Itoa(int(srv.Port))
	if _, duplicate := d.next.backends.Get(name); duplicate {
		return fmt.Errorf("%s stands twice", name)
	}
	backend := Backend{
		Name:             name,
		Zone:             target.zone,
		Group:            target.group,
		Draining:         target.draining,
		Weight:           target.size,
		Priority:         srv.Priority,
		StatedStartNanos: target.startNanos,
	}
	if backend.Weight == 0 {
		backend.Weight = float64(cmp.Or(srv.Weight, defaultSRVWeight)) / defaultSRVWeight
	}
	for _, address := range target.addresses {
		addressPort := netip.AddrPortFrom(address, srv.Port)
		if other, duplicate := d.next.backendByAddress.Set(addressPort.String(), name); duplicate {
			return fmt.Errorf("%s and %s both have the address %s", other, name, addressPort)
		}
		backend.Addresses = append(backend.Addresses, addressPort)
	}
	if was, ok := d.base.backends.Get(name); ok {
		backend.Provenance = was.Provenance
	} else {
		backend.Provenance = provenance(name, srv)
	}
	d.changedBackends[name] = true
	d.next.backends.Set(name, backend)
	d.next.count(backend, 1)
	return nil
}
