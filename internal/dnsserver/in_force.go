package dnsserver

import "fawnplank/internal/dnszone"

// ReadCurrentZone reads the zone in force from the store, the journal or the zone file, and names the source: "the
// store" or the path of the file. A server may be running at the same time.
func ReadCurrentZone(options Options) (zone *dnszone.Zone, source string, err error) {
	options.Settings, err = options.Settings.Canonical()
	if err != nil {
		return nil, "", err
	}
	source = options.JournalFile
	if options.ReplicatedZone != nil {
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
