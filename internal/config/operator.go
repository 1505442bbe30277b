package config

import (
	"fmt"
	"os"
	"slices"
	"time"

	"fawnplank/internal/tomlfile"
)

// Operator is what the operators of one installation set beside the platform's configuration, in a TOML file
// of their own (deploy/fawnplank.toml). Everything in it is off unless it is set. The zero value sets
// nothing.
type Operator struct {
	Limits    Limits        `toml:"limits"`
	Counter   CounterFormat `toml:"counter"`
	Log       Log           `toml:"log"`
	WarmStart WarmStart     `toml:"learned"`
	DNS       DNS           `toml:"dns"`
	Billing   Billing       `toml:"billing"`
}

// WarmStart keeps what an instance measured of the backends over a restart, where a folder lasts.
type WarmStart struct {
	File         string   `toml:"file"`  // empty: off
	SaveInterval Duration `toml:"every"` // between two writes
}

// Log is how the log is written.
type Log struct {
	Format string `toml:"format"` // "text" or "json", one line an entry either way
	Level  string `toml:"level"`  // the least level: error, warning, info or debug; a flag goes first
}

// CounterFormat is the protocol that the shared counter speaks.
type CounterFormat struct {
	Protocol string `toml:"protocol"` // "text", the platform's own, or "resp"
}

// Duration is a time as Go writes times: "750ms".
type Duration time.Duration

// UnmarshalText reads a time.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 750ms", text)
	}
	*d = Duration(duration)
	return nil
}

// What the log and the counter may be set to.
var (
	logFormats       = []string{"text", "json"}
	logLevels        = []string{"error", "warning", "info", "debug"}
	counterProtocols = []string{"text", "resp"}
)

// Defaults and bounds of the sections of this file; the other sections have theirs beside them.
const (
	defaultLogFormat       = "text"
	defaultLogLevel        = "info"
	defaultCounterProtocol = "text"

	// defaultSaveInterval: what is known of a backend fades by two thirds meanwhile.
	defaultSaveInterval = Duration(5 * time.Second)
	minSaveInterval     = Duration(100 * time.Millisecond)
	maxSaveInterval     = Duration(time.Hour)
)

// ReadOperator reads an operator file whole and checks it; an empty path sets nothing. Errors name file, line
// and key, as a *tomlfile.PositionError.
func ReadOperator(path string) (*Operator, error) {
	o := defaultOperator()
	if path == "" {
		return o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	file, err := tomlfile.Read(path, text, o)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.File) error{ // the first fault is the one that is named
		o.Limits.checkAddress,
		o.checkProcess,
		o.DNS.check,
		o.Limits.checkAccess,
		o.Billing.check,
	} {
		if err := check(file); err != nil {
			return nil, err
		}
	}
	return o, nil
}

func defaultOperator() *Operator {
	return &Operator{
		Limits:    defaultLimits(),
		Counter:   CounterFormat{Protocol: defaultCounterProtocol},
		Log:       Log{Format: defaultLogFormat, Level: defaultLogLevel},
		WarmStart: WarmStart{SaveInterval: defaultSaveInterval},
		DNS:       DNS{MaxUpdatesPerSecond: defaultMaxUpdatesPerSecond},
		Billing:   defaultBilling(),
	}
}

// checkProcess checks the log, the warm start and the counter's protocol.
func (o *Operator) checkProcess(file *tomlfile.File) error {
	if !slices.Contains(logFormats, o.Log.Format) {
		return file.KeyErrorf("log.format", "is %q, not text or json", o.Log.Format)
	}
	if o.WarmStart.SaveInterval < minSaveInterval || o.WarmStart.SaveInterval > maxSaveInterval {
		return file.KeyErrorf("learned.every", "is not from 100ms to 1h")
	}
	if !slices.Contains(logLevels, o.Log.Level) {
		return file.KeyErrorf("log.level", "is %q, not error, warning, info or debug", o.Log.Level)
	}
	if !slices.Contains(counterProtocols, o.Counter.Protocol) {
		return file.KeyErrorf("counter.protocol", "is %q, not text or resp", o.Counter.Protocol)
	}
	return nil
}
