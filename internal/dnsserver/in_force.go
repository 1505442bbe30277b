package dnsserver

import "fawnplank/internal/dnszone"

// ReadCurrentZone reads the current zone from the store, the journal or the zone file. It also returns the source:
// "the store" or the path of the file. A server may be running at the same time.
func ReadCurrentZone(options Options) (zone *dnszone.Zone, source string, err error) {
	options.Settings, err = options.Settings.Canonical()
	if err != nil {
		return nil, "", err
	}
	source = options.JournalFile
	if options.ReplicatedStore != nil {
		source = "the store"
	}
	stored, err := options.readStoredZone()
	if err != nil {
		return nil, source, err
	}
	if stored != nil {
		return stored.zone, source, nil
	}
	zone, _, err = ReadZoneFile(options.ZoneFile, options.Settings)
	return zone, options.ZoneFile, err
}
