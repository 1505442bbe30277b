package config

import (
	"fmt"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/tomlfile"
)

// DNS is the section for a zone that replaces discovery as the source of the endpoint list.
type DNS struct {
	ZoneFile            string    `toml:"zone_file"`          // master file; if empty, the zone is off
	Origin              string    `toml:"origin"`             // origin of the zone
	Service             string    `toml:"service"`            // the name of the SRV records
	Journal             string    `toml:"journal"`            // holds the updates to the zone file across a restart
	Listen              string    `toml:"listen"`             // UDP and TCP: updates, queries, transfers; empty for none
	MaxUpdatesPerSecond float64   `toml:"updates_per_second"` // of all keys together
	Notify              []string  `toml:"notify"`             // secondaries that are sent a NOTIFY about changes
	Keys                []TSIGKey `toml:"key"`                // that updates are signed with
}

// TSIGKey is a TSIG key.
type TSIGKey struct {
	Name       string        `toml:"name"`
	Algorithm  string        `toml:"algorithm"`
	SecretFile string        `toml:"secret_file"` // file with the secret in base64, accessible only to its owner
	Key        dnsserver.Key `toml:"-"`           // set once the secret is read
}

const (
	// defaultMaxUpdatesPerSecond suffices to replace a fleet of thousands within a minute.
	defaultMaxUpdatesPerSecond = 100
	lowestMaxUpdatesPerSecond  = 0.1
	highestMaxUpdatesPerSecond = 10000
	// defaultAlgorithm is the algorithm that every updater must support (RFC 8945, 6).
	defaultAlgorithm = "hmac-sha256"
)

// Settings returns the settings of the zone.
func (d DNS) Settings() dnszone.Settings {
	return dnszone.Settings{Origin: d.Origin, Service: d.Service}
}

// check checks the section, brings its names into canonical form, and reads the keys' secrets.
func (d *DNS) check(file *tomlfile.File) error {
	if d.ZoneFile == "" {
		return d.checkOff(file)
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
		return file.KeyErrorf("dns.listen", "is missing, and keys are of no use without it")
	}
	return nil
}

// checkOff checks that nothing is set that needs the zone file, because the zone file is not set.
func (d *DNS) checkOff(file *tomlfile.File) error {
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
			return file.KeyErrorf(path+".name", "is %q, which another key has", key.Name)
		}
		names[key.Key.Name] = true
	}
	return nil
}
