package dnszone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Snapshot is a zone in the form in which it is stored.
type Snapshot struct {
	Records    []string              `json:"records"` // in master file format, the SOA first
	Provenance map[string]Provenance `json:"born"`    // of the backends, by name
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

// Restore builds a zone from a snapshot, which it checks as Parse checks a file. A service without backends
// is not an error here, because updates may have removed the last one.
func Restore(snapshot Snapshot, settings Settings) (*Zone, error) {
	settings, err := settings.Canonical()
	if err != nil {
		return nil, err
	}
	z := &Zone{Settings: settings}
	for _, text := range snapshot.Records {
		rr, err := z.parseAllowedRecord(text)
		if err != nil {
			return nil, &RecordError{Record: text, Err: err}
		}
		z.records.Set(recordKey(rr), rr)
	}
	if z.soa() == nil {
		return nil, fmt.Errorf("%w of %s", errNotOneSOA, settings.Origin)
	}
	return z.withBackends(func(name string, _ dns.RR) Provenance { return snapshot.Provenance[name] })
}
