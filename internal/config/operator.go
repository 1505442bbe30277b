package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/tlsconfig"
	"fawnplank/internal/tomlfile"
	"fawnplank/policy"
)

// Operator is what the operators of one installation set beside the platform's configuration, in a TOML file of
// their own (deploy/fawnplank.toml). Everything in it is off unless it is set. The zero value sets nothing.
type Operator struct {
	Limits    Limits        `toml:"limits"`
	Counter   CounterFormat `toml:"counter"`
	Log       Log           `toml:"log"`
	WarmStart WarmStart     `toml:"learned"`
	DNS       DNS           `toml:"dns"`
	Billing   Billing       `toml:"billing"`
}

// Billing are plan changes, reservations and exported use, on the replicated store.
type Billing struct {
	On     bool     `toml:"on"`
	Window Duration `toml:"window"`       // use is billed by
	Lead   Duration `toml:"lead"`         // that a plan change is made known ahead
	Skew   Duration `toml:"clock_skew"`   // between two doors at most
	Lease  Duration `toml:"lease"`        // of a reservation at most
	Late   Duration `toml:"late"`         // after a window until it is exported
	Every  Duration `toml:"report_every"` // between two reports of a door's use
	Folder string   `toml:"export_folder"`
	URL    string   `toml:"export_url"`
}

// Terms are the accounts' terms, but for the plans.
func (b Billing) Terms() billing.Settings {
	return billing.Settings{WindowNanos: int64(b.Window), ChangeNoticeNanos: int64(b.Lead), ClockSkewNanos: int64(b.Skew), MaxLeaseNanos: int64(b.Lease), ExportDelayNanos: int64(b.Late)}
}

// LimitKey is what a tool shows before it may do more than check.
type LimitKey struct {
	Name   string    `toml:"name"`
	File   string    `toml:"secret_file"` // for its owner's eyes alone
	Rights []string  `toml:"rights"`      // check, read, reserve, change
	Key    authz.Key `toml:"-"`
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
	Name      string        `toml:"name"`
	Algorithm string        `toml:"algorithm"`
	File      string        `toml:"secret_file"` // in base64, for its owner's eyes alone
	Key       dnsserver.Key `toml:"-"`
}

// Settings are the zone's.
func (d DNS) Settings() dnszone.Settings {
	return dnszone.Settings{Origin: d.Origin, Service: d.Service}
}

// WarmStart is where a folder lasts: what the door learned of the backends is kept there over a restart.
type WarmStart struct {
	File         string   `toml:"file"`  // empty: off
	SaveInterval Duration `toml:"every"` // between two writes
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

	Certificate string     `toml:"tls_certificate"`
	Key         string     `toml:"tls_key"`
	Authority   string     `toml:"tls_authority"` // of clients' certificates; empty: none is asked for
	Keys        []LimitKey `toml:"key"`
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
	defaultWindow      = Duration(3600e9)
	defaultLead        = Duration(10e9) // twice what a write may take while a leader is elected
	defaultSkew        = Duration(1e9)  // clocks kept by NTP differ by far less
	defaultLease       = Duration(600e9)
	defaultLate        = Duration(60e9)
	defaultReport      = Duration(1e9) // what a door that is killed has not told
	defaultUpdates     = 100           // a second: a fleet of thousands that is replaced within a minute
	defaultAlgorithm   = "hmac-sha256" // the one that every updater must know (RFC 8945, 6)
)

// ReadOperator reads an operator file whole and checks it; an empty path sets nothing. Errors name file, line and
// key.
func ReadOperator(path string) (*Operator, error) {
	o := &Operator{Limits: Limits{Within: defaultWithin, Connections: defaultConnections}, Counter: CounterFormat{"text"}, Log: Log{"text", "info"}, WarmStart: WarmStart{SaveInterval: defaultEvery}, DNS: DNS{Rate: defaultUpdates},
		Billing: Billing{Window: defaultWindow, Lead: defaultLead, Skew: defaultSkew, Lease: defaultLease, Late: defaultLate, Every: defaultReport}}
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
	if o.WarmStart.SaveInterval < 1e8 || o.WarmStart.SaveInterval > 3600e9 {
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
	if err := o.Limits.check(f); err != nil {
		return nil, err
	}
	if err := o.Billing.check(f); err != nil {
		return nil, err
	}
	return o, nil
}

// TLS are the files of the limits' address.
func (l Limits) TLS() tlsconfig.Files {
	return tlsconfig.Files{Certificate: l.Certificate, Key: l.Key, Authority: l.Authority}
}

// check reads keys and certificates.
func (l *Limits) check(f *tomlfile.File) error {
	if l.TLS().Enabled() {
		if _, err := tlsconfig.New(l.TLS()); err != nil {
			return f.Fault("limits.tls_certificate", "cannot be used: "+err.Error())
		}
	}
	names := map[string]bool{}
	for n := range l.Keys {
		k, at := &l.Keys[n], fmt.Sprintf("limits.key[%d]", n)
		if k.Name == "" || names[k.Name] {
			return f.Fault(at+".name", fmt.Sprintf("is %q: missing, or another key's", k.Name))
		}
		names[k.Name] = true
		info, err := os.Stat(k.File)
		if err != nil {
			return f.Fault(at+".secret_file", "cannot be read: "+err.Error())
		}
		text, err := os.ReadFile(k.File)
		if err != nil || info.Mode().Perm()&0o077 != 0 || len(strings.TrimSpace(string(text))) < 16 {
			return f.Fault(at+".secret_file", fmt.Sprintf("%q cannot be read, may be read by others than its owner, or holds less than 16 bytes", k.File))
		}
		k.Key.Secret = []byte(strings.TrimSpace(string(text)))
		if len(k.Rights) == 0 {
			return f.Fault(at+".rights", "is missing")
		}
		for _, r := range k.Rights {
			if authz.Names[r] == 0 {
				return f.Fault(at+".rights", fmt.Sprintf("has %q, not check, read, reserve or change", r))
			}
			k.Key.Rights |= authz.Names[r]
		}
	}
	return nil
}

// check goes through the settings of the accounts.
func (b *Billing) check(f *tomlfile.File) error {
	for _, x := range []struct {
		key         string
		is          Duration
		least, most Duration
	}{{"window", b.Window, 1e9, 31 * 86400e9}, {"lead", b.Lead, 1e8, 86400e9}, {"clock_skew", b.Skew, 1e6, 60e9}, {"lease", b.Lease, 1e8, 86400e9},
		{"late", b.Late, 1e8, 86400e9}, {"report_every", b.Every, 1e7, 60e9}} {
		if x.is < x.least || x.is > x.most {
			return f.Fault("billing."+x.key, fmt.Sprintf("is not from %v to %v", time.Duration(x.least), time.Duration(x.most)))
		}
	}
	if b.Folder != "" && b.URL != "" {
		return f.Fault("billing.export_url", "stands beside export_folder; one of them receives")
	}
	if u, err := url.Parse(b.URL); b.URL != "" && (err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https") {
		return f.Fault("billing.export_url", fmt.Sprintf("is %q, which is no http or https address", b.URL))
	}
	if info, err := os.Stat(b.Folder); b.Folder != "" && (err != nil || !info.IsDir()) {
		return f.Fault("billing.export_folder", fmt.Sprintf("is %q, which is no folder", b.Folder))
	}
	return nil
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
		if _, origin := (dnszone.Settings{Origin: d.Origin, Service: d.Origin}).Canonical(); origin == nil {
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
		if k.Key, err = dnsserver.ReadKey(k.Name, k.Algorithm, k.File); err != nil {
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
func (s *Config) AddLimits(o *Operator) {
	if o.Limits.Listen == "" {
		return
	}
	s.Classes[limitProfile] = policy.ClassID(len(s.Settings.Classes))
	within := int64(o.Limits.Within)
	s.Settings.Classes = append(s.Settings.Classes, policy.ClassSettings{LatencyObjective: within, Deadline: within, CheckOnly: true})
}

// LimitProfile is the profile that only counts; ok is false where limit commands are off.
func (s *Config) LimitProfile() (id policy.ClassID, ok bool) {
	id, ok = s.Classes[limitProfile]
	return id, ok
}
