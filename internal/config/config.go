// Package config is the one place where configuration is read, checked and given its defaults. It reads three
// things:
//
//   - the platform's configuration of an instance, a JSON file (Read, Config), with rows of the replicated
//     store laid over it (Overlay);
//   - the platform's settings in that configuration, in the form that the decisions need (ParseSettings,
//     policy.Settings);
//   - the operators' own file, in TOML (ReadOperatorSettings, OperatorSettings).
//
// Migrate turns a configuration of the old deployment into one for the new deployment. Every error names the
// file and the key. The package makes no decisions, and no other package reads configuration, whether from a
// file or from the environment.
//
// All functions are safe for concurrent use. A Config and an OperatorSettings are values without locks: the caller
// that read one may change it until it shares it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"fawnplank/policy"
)

// Config is what an instance of the gateway receives from the platform when it starts.
type Config struct {
	InstanceName      string // name of the instance
	Listen            string // host and port where clients connect
	Discovery         string // host and port of the discovery service
	Counter           string // host and port of the shared counter; empty if there is none
	ManagementAddress string // host and port of the management calls; empty if there are none
	ListenerFD        int    // a listener handed down by the parent process; -1 if there is none

	Seed             uint64 // seeds the random choices
	MemoryLimitBytes int64  // memory that the process may use
	MaxSockets       int    // sockets that the process may have open

	// KnownEndpoints is the last known endpoint list, in discovery's form. It is empty if there is none.
	KnownEndpoints json.RawMessage
	// Settings is the input of the decisions. Classes and Plans map the names of its rows to their ids.
	Settings policy.Settings
	Classes  map[string]policy.ClassID
	Plans    map[string]policy.PlanID
	Zones    []string // the names of zones, by id

	IdleTimeout    time.Duration // after which a backend closes an idle connection
	ConnectTimeout time.Duration // for a connection to a backend or the counter
	// UnknownKeys are the keys of the file that have no meaning, with their paths, in order: a misspelled key has no
	// effect.
	UnknownKeys []string
	MaxUnits    float64 // units that one request may count at most
}

// Defaults for what the configuration may leave out. The limits are the example figures of the deployment
// page; the other values are the platform's.
const (
	defaultMemoryMebibytes = 192
	defaultMaxSockets      = 1024
	defaultIdleTimeout     = 15 * time.Second
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultMaxUnits        = 1e6
)

// bytesPerMebibyte converts the unit of the key for memory into bytes.
const bytesPerMebibyte = 1 << 20

// minSockets covers the program's own descriptors, plus a few for clients and a few for backends.
const minSockets = 64

// ErrNoFile is the error that Read returns if nothing names a configuration file.
var ErrNoFile = errors.New("configuration: no file: neither a flag nor GW_CONFIG names one")

// Read reads the configuration from the file at path, or from the file that GW_CONFIG names if path is empty,
// and applies the overlay's rows to it. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT replace keys that the
// file leaves out; GW_SOCKET_FD or SOCKET_FD names a listener that was handed to the process. An error about
// a key is a *SettingError.
func Read(path string, overlay Overlay) (*Config, error) {
	if path == "" {
		path = os.Getenv("GW_CONFIG")
	}
	if path == "" {
		return nil, ErrNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	text, err = overlay.apply(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s with the store's rows: %w", path, err)
	}
	c, err := parse(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	c.ListenerFD, err = listenerFD(os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parse parses a configuration's text. If several keys are faulty, the error names the first one read, so the
// order of the reads below determines which message appears.
func parse(text []byte, getenv func(string) string) (*Config, error) {
	var raw map[string]json.RawMessage // keeps the bytes of keyKnownEndpoints, which discovery decodes
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	top, err := decodeObject(text)
	if err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	for key, name := range environmentNames {
		if !top.has(key) && getenv(name) != "" {
			top.fields[key] = getenv(name)
		}
	}
	c := readConfig(top)
	c.UnknownKeys = unknownKeys(top.fields)
	c.KnownEndpoints = raw[keyKnownEndpoints]
	return c, top.err()
}

// readConfig reads the fields of a configuration, except for the endpoint list.
func readConfig(top object) *Config {
	limits := top.optionalObject(keyLimits)
	settings := top.requiredObject(keySettings)
	c := &Config{
		InstanceName:      required[string](top, keyName),
		Listen:            top.requiredAddress(keyListen),
		Discovery:         top.requiredAddress(keyDiscovery),
		ManagementAddress: top.optionalAddress(keyManagement),
		ListenerFD:        -1,
		Settings:          readSettings(settings),
		MemoryLimitBytes:  readMemoryBytes(limits),
		MaxSockets:        clampToCount(limits.positiveOr(keySockets, defaultMaxSockets)),
		Zones:             settings.optionalStrings(keyZones),
	}
	c.Seed = top.hexadecimal("seed")
	c.Counter = readCounterAddress(top, c.Settings.CounterEnabled)
	permissions := settings.requiredObject(keyPermissions)
	c.IdleTimeout = permissions.positiveMillisecondsOr("conn-idle-ms", defaultIdleTimeout)
	c.ConnectTimeout = permissions.positiveMillisecondsOr("connect-timeout-ms", defaultConnectTimeout)
	c.MaxUnits = settings.optionalObject(keyRequests).positiveOr("max-units", defaultMaxUnits)
	c.Classes = idsByName[policy.ClassID](settings.requiredRows(keyClasses))
	c.Plans = idsByName[policy.PlanID](settings.requiredRows(keyPlans))
	if c.MaxSockets < minSockets {
		limits.failf(keySockets, "is below %d", minSockets)
	}
	return c
}

func readMemoryBytes(limits object) int64 {
	mebibytes := clampToCount(limits.positiveOr("memory_mb", defaultMemoryMebibytes))
	return int64(mebibytes) * bytesPerMebibyte
}

// readCounterAddress reads the address of the shared counter, which must be present if the counter is enabled.
func readCounterAddress(top object, enabled bool) string {
	if enabled {
		return top.requiredAddress(keyCounter)
	}
	return top.optionalAddress(keyCounter)
}
