package dnsserver

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"fawnplank/internal/dnszone"
)

// maxZoneFileBytes bounds the size of a zone file. It allows some hundred thousand backends.
const maxZoneFileBytes = 32 << 20

// zoneFile is the content of a zone file.
type zoneFile struct {
	zone     *dnszone.Zone
	checksum string // by which the text is recognized when it is read again
}

// readZoneFile reads the zone file of the options.
func (o Options) readZoneFile() (zoneFile, error) {
	zone, text, err := ReadZoneFile(o.ZoneFile, o.Settings)
	if err != nil {
		return zoneFile{}, err
	}
	return zoneFile{zone: zone, checksum: fmt.Sprintf("%016x", xxhash.Sum64(text))}, nil
}

// ReadZoneFile reads a zone file and also returns its text, of at most 32 MiB. Errors name the file, and the
// line if the fault has one.
func ReadZoneFile(path string, settings dnszone.Settings) (*dnszone.Zone, []byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if info.Size() > maxZoneFileBytes {
		return nil, nil, fmt.Errorf("%s: larger than %d bytes", path, maxZoneFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	zone, err := dnszone.Parse(path, text, settings)
	return zone, text, err
}
