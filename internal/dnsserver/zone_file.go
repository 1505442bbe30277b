package dnsserver

import (
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"

	"fawnplank/internal/dnszone"
)

// maxZoneFileBytes is the maximum size of a zone file, which suffices for some hundred thousand backends.
const maxZoneFileBytes = 32 << 20

// zoneFile is the content of a zone file.
type zoneFile struct {
	zone     *dnszone.Zone
	checksum string // of the text, to detect whether the file has changed
}

// readZoneFile reads the configured zone file and computes its checksum.
func (o Options) readZoneFile() (zoneFile, error) {
	zone, text, err := ReadZoneFile(o.ZoneFile, o.Settings)
	if err != nil {
		return zoneFile{}, err
	}
	return zoneFile{zone: zone, checksum: fmt.Sprintf("%016x", xxhash.Sum64(text))}, nil
}

// ReadZoneFile parses a zone file of at most 32 MiB, and also returns its text. Errors contain the path of the file,
// and the line of a syntax error.
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
