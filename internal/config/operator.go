package config

import (
	"fmt"
	"os"
	"slices"
	"time"

	"fawnplank/internal/tomlfile"
)

// OperatorSettings is what the operators of one installation set in addition to the platform's configuration, in a
// TOML file of their own (deploy/fawnplank.toml). Every feature in it is off unless it is set. The zero value
// sets nothing.
type OperatorSettings struct {
	LimitCommands LimitCommands `toml:"limits"`
	Counter       Counter       `toml:"counter"`
	Log           Log           `toml:"log"`
	WarmStart     WarmStart     `toml:"learned"`
	DNS           DNS           `toml:"dns"`
	Billing       Billing       `toml:"billing"`
}

// WarmStart configures the file that preserves an instance's measurements of the backends across a restart,
// if the folder survives it.
type WarmStart struct {
	File         string   `toml:"file"`  // if empty, warm start is off
	SaveInterval Duration `toml:"every"` // between two writes
}

// Log configures how the log is written.
type Log struct {
	Format string `toml:"format"` // "text" or "json", one line an entry either way
	Level  string `toml:"level"`  // lowest level: error, warning, info or debug; a flag takes precedence
}

// Counter configures the protocol that the shared counter speaks.
type Counter struct {
	Protocol string `toml:"protocol"` // CounterProtocolText or CounterProtocolRESP
}

// Duration is a time.Duration that a TOML file holds in Go's notation, such as "750ms".
type Duration time.Duration

// UnmarshalText parses a time. The error quotes the text.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 750ms", text)
	}
	*d = Duration(duration)
	return nil
}

// Values that the settings of the log and the counter may have.
var (
	logFormats       = []string{DefaultLogFormat, "json"}
	logLevels        = []string{"error", "warning", DefaultLogLevel, "debug"}
	counterProtocols = []string{CounterProtocolText, CounterProtocolRESP}
)

// Defaults of the log, which also hold for commands that read no operator file.
const (
	DefaultLogFormat = "text"
	DefaultLogLevel  = "info"
)

// The protocols that the shared counter may speak.
const (
	CounterProtocolText = "text" // the platform's own
	CounterProtocolRESP = "resp"
)

// Defaults and bounds of the sections declared in this file. The other sections have theirs in their own
// files.
const (
	// defaultSaveInterval is the time in which the weight of a backend's measurements decays by about two thirds:
	// they halve in 3.4 s (see package policy).
	defaultSaveInterval = Duration(5 * time.Second)
	minSaveInterval     = Duration(100 * time.Millisecond)
	maxSaveInterval     = Duration(time.Hour)
)

// ReadOperatorSettings reads a whole operator file and checks it. An empty path sets nothing. Errors name the file,
// line and key, as a *tomlfile.PositionError.
func ReadOperatorSettings(path string) (*OperatorSettings, error) {
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
	for _, check := range []func(*tomlfile.File) error{ // the error names the first fault
		o.LimitCommands.checkAddress,
		o.checkProcess,
		o.DNS.check,
		o.LimitCommands.checkAccess,
		o.Billing.check,
	} {
		if err := check(file); err != nil {
			return nil, err
		}
	}
	return o, nil
}

func defaultOperator() *OperatorSettings {
	return &OperatorSettings{
		LimitCommands: defaultLimits(),
		Counter:       Counter{Protocol: CounterProtocolText},
		Log:           Log{Format: DefaultLogFormat, Level: DefaultLogLevel},
		WarmStart:     WarmStart{SaveInterval: defaultSaveInterval},
		DNS:           DNS{MaxUpdatesPerSecond: defaultMaxUpdatesPerSecond},
		Billing:       defaultBilling(),
	}
}

// checkProcess checks the settings of the log, the warm start and the counter's protocol.
func (o *OperatorSettings) checkProcess(file *tomlfile.File) error {
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
