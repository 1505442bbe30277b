package config

import (
	"fmt"
	"os"
	"slices"
	"time"

	"fawnplank/internal/tomlfile"
)

// OperatorSettings holds the settings of the operator file (deploy/fawnplank.toml), a TOML file that the operators of
// an installation write in addition to the platform's configuration. Every feature in it is disabled unless the file
// sets it. The zero value enables no feature.
type OperatorSettings struct {
	LimitCommands LimitCommands `toml:"limits"`
	Counter       Counter       `toml:"counter"`
	Log           Log           `toml:"log"`
	WarmStart     WarmStart     `toml:"learned"`
	DNS           DNS           `toml:"dns"`
	Billing       Billing       `toml:"billing"`
}

// WarmStart is the section for the file that preserves an instance's measurements of the backends across a restart,
// provided that the file's folder still exists after the restart.
type WarmStart struct {
	File         string   `toml:"file"`  // if empty, warm start is disabled
	SaveInterval Duration `toml:"every"` // interval between two writes of the file
}

// Log is the section for the log.
type Log struct {
	Format string `toml:"format"` // "text" or "json"; each entry is one line in both formats
	Level  string `toml:"level"`  // error, warning, info or debug; a flag overrides it
}

// Counter is the section for the shared counter.
type Counter struct {
	Protocol string `toml:"protocol"` // CounterProtocolText or CounterProtocolRESP
}

// Duration is a time.Duration that is written in a TOML file in Go's notation, such as "750ms".
type Duration time.Duration

// UnmarshalText parses a duration. The error quotes the text.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as 750ms", text)
	}
	*d = Duration(duration)
	return nil
}

// Valid values of the settings of the log and the counter.
var (
	logFormats       = []string{DefaultLogFormat, "json"}
	logLevels        = []string{"error", "warning", DefaultLogLevel, "debug"}
	counterProtocols = []string{CounterProtocolText, CounterProtocolRESP}
)

// Defaults of the log. They also apply to commands that do not read an operator file.
const (
	DefaultLogFormat = "text"
	DefaultLogLevel  = "info"
)

// Protocols of the shared counter.
const (
	CounterProtocolText = "text" // the text protocol of the platform
	CounterProtocolRESP = "resp"
)

// Defaults and bounds of the sections that this file declares.
const (
	// defaultSaveInterval is the time in which the weight of a backend's measurements decays by about two thirds.
	// Their half-life is 3.4 s (see package policy).
	defaultSaveInterval = Duration(5 * time.Second)
	minSaveInterval     = Duration(100 * time.Millisecond)
	maxSaveInterval     = Duration(time.Hour)
)

// ReadOperatorSettings reads an operator file and checks it. For an empty path it returns the defaults. An error in
// the contents of the file is a *tomlfile.PositionError, which names the file, the line and the key.
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
	for _, check := range []func(*tomlfile.File) error{ // the first failed check determines the error
		o.LimitCommands.checkAddress,
		o.checkLogWarmStartAndCounter,
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

// checkLogWarmStartAndCounter checks the settings of the log, the warm start and the counter's protocol.
func (o *OperatorSettings) checkLogWarmStartAndCounter(file *tomlfile.File) error {
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
