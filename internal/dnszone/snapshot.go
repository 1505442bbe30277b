package dnszone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Snapshot is the stored form of a zone.
type Snapshot struct {
	Records    []string              `json:"records"` // in master file format, the SOA first
	Provenance map[string]Provenance `json:"born"`    // by name of the backend
}

// Snapshot returns the zone in its stored form.
func (z *Zone) Snapshot() Snapshot {
	snapshot := Snapshot{Provenance: map[string]Provenance{}}
	for _, rr := range z.Records() {
		snapshot.Records = append(snapshot.Records, rr.String())
	}
	z.backends.Scan(func(name string, backend Backend) bool {
		snapshot.Provenance[name] = backend.Provenance
		return true
	})
	return snapshot
}

// Restore builds a zone from a snapshot and checks it like Parse. Unlike in Parse, a service without backends is
// not an error, because updates may have removed the last backend.
func Restore(snapshot Snapshot, settings Settings) (*Zone, error) {
	settings, err := settings.Canonical()
	if err != nil {
		return nil, err
	}
	z := &Zone{Settings: settings}
	for _, text := range snapshot.Records {
		rr, err := z.parseAndCheckRecord(text)
		if err != nil {
			return nil, &RecordError{Record: text, Err: err}
		}
		z.records.Set(recordKey(rr), rr)
	}
	if z.soa() == nil {
		return nil, fmt.Errorf("%w of %s", errNotExactlyOneSOA, settings.Origin)
	}
	return z.withBackends(func(name string, _ dns.RR) Provenance { return snapshot.Provenance[name] })
}
