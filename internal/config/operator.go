package config

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"fawnplank/internal/dnsd"
	"fawnplank/internal/tomlfile"
	"fawnplank/internal/zone"
	"fawnplank/policy"
)

// Operator is what the operators of one installation set beside the platform's configuration, in a TOML file of
// their own (deploy/fawnplank.toml). Everything in it is off unless it is set. The zero value sets nothing.
type Operator struct {
	Limits  Limits        `toml:"limits"`
	Counter CounterFormat `toml:"counter"`
	Log     Log           `toml:"log"`
	Learned Learned       `toml:"learned"`
	DNS     DNS           `toml:"dns"`
}

// DNS is a zone that the list of backends comes from, in place of discovery.
type DNS struct {
	Zone    string   `toml:"zone_file"`          // master file; empty: off
	Origin  string   `toml:"origin"`             // of the zone
	Service string   `toml:"service"`            // the name of the SRV records
	Journal string   `toml:"journal"`            // what updates have made of it, kept over a restart
	Listen  string   `toml:"listen"`             // UDP and TCP, for updates, queries and transfers; empty: none
	Rate    float64  `toml:"updates_per_second"` // at most
	Notify  []string `toml:"notify"`             // secondaries to be told of changes
	Keys    []DNSKey `toml:"key"`
}

// DNSKey is a TSIG key.
type DNSKey struct {
	Name      string   `toml:"name"`
	Algorithm string   `toml:"algorithm"`
	File      string   `toml:"secret_file"` // in base64, for its owner's eyes alone
	Key       dnsd.Key `toml:"-"`
}

// Settings are the zone's.
func (d DNS) Settings() zone.Settings { return zone.Settings{Origin: d.Origin, Service: d.Service} }

// Learned is where a folder lasts: what the door learned of the backends is kept there over a restart.
type Learned struct {
	File  string   `toml:"file"`  // empty: off
	Every Duration `toml:"every"` // between two writes
}

// Log is how the log is written.
type Log struct {
	Format string `toml:"format"` // "text" or "json", one line an entry either way
	Level  string `toml:"level"`  // the least level: error, warning, info or debug; a flag goes first
}

// Limits are the limit commands in RESP.
type Limits struct {
	Listen      string   `toml:"listen"`        // where tools connect; empty: off
	Within      Duration `toml:"answer_within"` // for an answer
	Connections int      `toml:"connections"`   // at most
}

// CounterFormat is how the counter is spoken to.
type CounterFormat struct {
	Protocol string `toml:"protocol"` // "text", the platform's own, or "resp"
}

// Duration is a time in nanoseconds, written as Go writes them.
type Duration int64

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 750ms", text)
	}
	*d = Duration(x)
	return nil
}

// Defaults of the operator file.
const (
	defaultWithin      = Duration(750e6) // the promised time that users know
	defaultEvery       = Duration(5e9)   // what is known of a backend fades by two thirds meanwhile
	defaultConnections = 64              // tools, not customers
	defaultUpdates     = 100             // a second: a fleet of thousands that is replaced within a minute
	defaultAlgorithm   = "hmac-sha256"   // the one that every updater must know (RFC 8945, 6)
)

// ReadOperator reads an operator file whole and checks it; an empty path sets nothing. Errors name file, line and
// key.
func ReadOperator(path string) (*Operator, error) {
	o := &Operator{Limits: Limits{Within: defaultWithin, Connections: defaultConnections}, Counter: CounterFormat{"text"}, Log: Log{"text", "info"}, Learned: Learned{Every: defaultEvery}, DNS: DNS{Rate: defaultUpdates}}
	if path == "" {
		return o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	f, err := tomlfile.Read(path, text, o)
	if err != nil {
		return nil, err
	}
	if _, port, err := net.SplitHostPort(o.Limits.Listen); o.Limits.Listen != "" && (err != nil || port == "") {
		return nil, f.Fault("limits.listen", fmt.Sprintf("is %q, which is no host and port", o.Limits.Listen))
	}
	if o.Limits.Within < 1e6 || o.Limits.Within > 60e9 {
		return nil, f.Fault("limits.answer_within", "is not from 1ms to 60s")
	}
	if o.Limits.Connections < 1 || o.Limits.Connections > 10000 {
		return nil, f.Fault("limits.connections", "is not from 1 to 10000")
	}
	if o.Log.Format != "text" && o.Log.Format != "json" {
		return nil, f.Fault("log.format", fmt.Sprintf("is %q, not text or json", o.Log.Format))
	}
	if o.Learned.Every < 1e8 || o.Learned.Every > 3600e9 {
		return nil, f.Fault("learned.every", "is not from 100ms to 1h")
	}
	if !slices.Contains([]string{"error", "warning", "info", "debug"}, o.Log.Level) {
		return nil, f.Fault("log.level", fmt.Sprintf("is %q, not error, warning, info or debug", o.Log.Level))
	}
	if o.Counter.Protocol != "text" && o.Counter.Protocol != "resp" {
		return nil, f.Fault("counter.protocol", fmt.Sprintf("is %q, not text or resp", o.Counter.Protocol))
	}
	if err := o.DNS.check(f); err != nil {
		return nil, err
	}
	return o, nil
}

// check goes through the settings of the zone, and reads the keys' secrets.
func (d *DNS) check(f *tomlfile.File) (err error) {
	if d.Zone == "" {
		if f.Has("dns.listen") || f.Has("dns.journal") || f.Has("dns.origin") || f.Has("dns.service") || len(d.Keys) > 0 {
			return f.Fault("dns.zone_file", "is missing")
		}
		return nil
	}
	set, err := d.Settings().Canonical()
	if err != nil {
		key := "dns.origin"
		if _, origin := (zone.Settings{Origin: d.Origin, Service: d.Origin}).Canonical(); origin == nil {
			key = "dns.service"
		}
		return f.Fault(key, err.Error())
	}
	d.Origin, d.Service = set.Origin, set.Service
	if _, port, err := net.SplitHostPort(d.Listen); d.Listen != "" && (err != nil || port == "") {
		return f.Fault("dns.listen", fmt.Sprintf("is %q, which is no host and port", d.Listen))
	}
	if !(d.Rate >= 0.1 && d.Rate <= 10000) {
		return f.Fault("dns.updates_per_second", "is not from 0.1 to 10000")
	}
	for _, at := range d.Notify {
		if _, port, err := net.SplitHostPort(at); err != nil || port == "" {
			return f.Fault("dns.notify", fmt.Sprintf("has %q, which is no host and port", at))
		}
	}
	names := map[string]bool{}
	for n := range d.Keys {
		k, at := &d.Keys[n], fmt.Sprintf("dns.key[%d]", n)
		if k.Algorithm == "" {
			k.Algorithm = defaultAlgorithm
		}
		if k.File == "" {
			return f.Fault(at+".secret_file", "is missing")
		}
		if k.Key, err = dnsd.ReadKey(k.Name, k.Algorithm, k.File); err != nil {
			return f.Fault(at, err.Error())
		}
		if names[k.Key.Name] {
			return f.Fault(at+".name", fmt.Sprintf("is %q, which another key has", k.Name))
		}
		names[k.Key.Name] = true
	}
	if len(d.Keys) > 0 && d.Listen == "" {
		return f.Fault("dns.listen", "is missing, and keys are of no use without it")
	}
	return nil
}

// limitProfile is the name of the profile that only counts. No class of the platform's settings can take it: theirs
// have no point in their names.
const limitProfile = "limit.check"

// AddLimits adds the profile that only counts, for the limit commands, to a configuration just read.
func (s *Start) AddLimits(o *Operator) {
	if o.Limits.Listen == "" {
		return
	}
	s.Profiles[limitProfile] = policy.ProfileID(len(s.Terms.Profiles))
	within := int64(o.Limits.Within)
	s.Terms.Profiles = append(s.Terms.Profiles, policy.ProfileTerms{Promised: within, HardLimit: within, CountsOnly: true})
}

// LimitProfile is the profile that only counts; ok is false where limit commands are off.
func (s *Start) LimitProfile() (id policy.ProfileID, ok bool) {
	id, ok = s.Profiles[limitProfile]
	return id, ok
}
