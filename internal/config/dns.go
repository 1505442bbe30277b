package config

import (
	"fmt"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/tomlfile"
)

// DNS is the section of the operator file for a DNS zone that replaces the discovery service as the source of the
// endpoint list.
type DNS struct {
	ZoneFile            string    `toml:"zone_file"`          // master file of the zone; if empty, the zone is disabled
	Origin              string    `toml:"origin"`             // origin of the zone
	Service             string    `toml:"service"`            // name of the SRV records
	Journal             string    `toml:"journal"`            // file that preserves updates to the zone across a restart
	Listen              string    `toml:"listen"`             // UDP and TCP, for updates, queries and transfers; or empty
	MaxUpdatesPerSecond float64   `toml:"updates_per_second"` // limit for all TSIG keys together
	Notify              []string  `toml:"notify"`             // secondaries that receive a NOTIFY after a change
	Keys                []TSIGKey `toml:"key"`                // keys that sign updates
}

// TSIGKey is a key that signs DNS messages (RFC 8945).
type TSIGKey struct {
	Name       string        `toml:"name"`
	Algorithm  string        `toml:"algorithm"`
	SecretFile string        `toml:"secret_file"` // file with the base64-encoded secret, accessible only to its owner
	Key        dnsserver.Key `toml:"-"`           // set by readKeys, from the other fields
}

const (
	// defaultMaxUpdatesPerSecond is high enough to replace several thousand backends within a minute.
	defaultMaxUpdatesPerSecond = 100
	lowestMaxUpdatesPerSecond  = 0.1
	highestMaxUpdatesPerSecond = 10000
	// defaultAlgorithm is the algorithm that every updater must support (RFC 8945, 6).
	defaultAlgorithm = "hmac-sha256"
)

// Settings returns the origin and the service name of the zone.
func (d DNS) Settings() dnszone.Settings {
	return dnszone.Settings{Origin: d.Origin, Service: d.Service}
}

// check checks the section, converts its names to canonical form, and reads the secrets of its keys.
func (d *DNS) check(file *tomlfile.File) error {
	if d.ZoneFile == "" {
		return d.checkDisabled(file)
	}
	if err := d.canonicalize(file); err != nil {
		return err
	}
	if d.Listen != "" && !isHostPort(d.Listen) {
		return file.KeyErrorf("dns.listen", "is %q, which is no host and port", d.Listen)
	}
	inRange := d.MaxUpdatesPerSecond >= lowestMaxUpdatesPerSecond &&
		d.MaxUpdatesPerSecond <= highestMaxUpdatesPerSecond
	if !inRange { // NaN is not in range either
		return file.KeyErrorf("dns.updates_per_second", "is not from %v to %v",
			lowestMaxUpdatesPerSecond, highestMaxUpdatesPerSecond)
	}
	for _, address := range d.Notify {
		if !isHostPort(address) {
			return file.KeyErrorf("dns.notify", "has %q, which is no host and port", address)
		}
	}
	if err := d.readKeys(file); err != nil {
		return err
	}
	if len(d.Keys) > 0 && d.Listen == "" {
		return file.KeyErrorf("dns.listen", "is missing, but is required because dns.key is set")
	}
	return nil
}

// checkDisabled checks a section without a zone file: it must not set any key that requires one.
func (d *DNS) checkDisabled(file *tomlfile.File) error {
	needsZoneFile := len(d.Keys) > 0
	for _, key := range []string{"dns.listen", "dns.journal", "dns.origin", "dns.service"} {
		needsZoneFile = needsZoneFile || file.HasKey(key)
	}
	if needsZoneFile {
		return file.KeyErrorf("dns.zone_file", "is missing")
	}
	return nil
}

func (d *DNS) canonicalize(file *tomlfile.File) error {
	canonical, err := d.Settings().Canonical()
	if err != nil {
		key := "dns.origin"
		if _, err := (dnszone.Settings{Origin: d.Origin, Service: d.Origin}).Canonical(); err == nil {
			key = "dns.service" // the origin alone is valid, so the service is at fault
		}
		return file.KeyErrorf(key, "%v", err)
	}
	d.Origin = canonical.Origin
	d.Service = canonical.Service
	return nil
}

func (d *DNS) readKeys(file *tomlfile.File) error {
	names := map[string]bool{}
	for n := range d.Keys {
		key := &d.Keys[n]
		path := fmt.Sprintf("dns.key[%d]", n)
		if key.Algorithm == "" {
			key.Algorithm = defaultAlgorithm
		}
		if key.SecretFile == "" {
			return file.KeyErrorf(path+".secret_file", "is missing")
		}
		var err error
		if key.Key, err = dnsserver.ReadKey(key.Name, key.Algorithm, key.SecretFile); err != nil {
			return file.KeyErrorf(path, "%v", err)
		}
		if names[key.Key.Name] {
			return file.KeyErrorf(path+".name", "is %q, which another key already uses", key.Name)
		}
		names[key.Key.Name] = true
	}
	return nil
}
