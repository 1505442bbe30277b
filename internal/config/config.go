// Package config reads and checks all configuration and sets its defaults. It reads three sources:
//
//   - the platform's configuration of an instance, a JSON file (Read, Config), with the rows of the
//     replicated store merged into it (Overlay);
//   - the platform's settings in that configuration, converted to the input of package policy (ParseSettings,
//     policy.Settings);
//   - the operator file, in TOML (ReadOperatorSettings, OperatorSettings).
//
// Migrate turns a configuration of the old deployment into one for the new deployment. Every error names the
// file and the key. The package makes no admission or routing decisions. No other package reads configuration
// from a file or from the environment.
//
// All functions are safe for concurrent use. A Config and an OperatorSettings are values without locks: the caller
// that read such a value may modify it until it shares it with other goroutines.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"fawnplank/policy"
)

// Config is the configuration that the platform passes to an instance of the gateway at startup.
type Config struct {
	InstanceName      string
	Listen            string // host and port for client connections
	Discovery         string // host and port of the discovery service
	Counter           string // host and port of the shared counter; empty if there is none
	ManagementAddress string // host and port for management calls; empty if they are disabled
	ListenerFD        int    // descriptor of a listener inherited from the parent process; -1 if there is none
	TemporaryFolder   string // folder for files that need not outlast the machine

	Seed             uint64 // seed of the random number generator
	MemoryLimitBytes int64  // most memory that the process may use
	MaxSockets       int    // most sockets that the process may have open

	// KnownEndpoints is the last known endpoint list, in the JSON format of the discovery service. It is empty if
	// no list is known.
	KnownEndpoints json.RawMessage
	// Settings is the input of package policy. Classes and Plans map the names of its classes and plans to their ids.
	Settings policy.Settings
	Classes  map[string]policy.ClassID
	Plans    map[string]policy.PlanID
	Zones    []string // zone names, indexed by policy.ZoneID

	IdleTimeout    time.Duration // time after which a backend closes an idle connection
	ConnectTimeout time.Duration // limit for opening a connection to a backend or the counter
	// UnknownKeys lists, in order, the paths of keys in the file that are not defined. Such a key has no effect. The
	// list lets a caller report keys that may be misspelled.
	UnknownKeys []string
	MaxUnits    float64 // most units that one request may use
}

// Defaults of optional keys. The defaults of memory and sockets are the example figures of the deployment page;
// the other defaults are those of the platform.
const (
	defaultMemoryMebibytes = 192
	defaultMaxSockets      = 1024
	defaultIdleTimeout     = 15 * time.Second
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultMaxUnits        = 1e6
)

// bytesPerMebibyte converts the value of the key memory_mb to bytes.
const bytesPerMebibyte = 1 << 20

const (
	// tenantMemoryDivisor bounds the state of tenants to a part of the memory limit.
	tenantMemoryDivisor = 32
	// tenantBytes is the memory of a tenant's state, with the timer of its removal.
	tenantBytes = 512
)

// minSockets covers the descriptors of the process itself, plus a few for clients and a few for backends.
const minSockets = 64

// ErrNoFile is the error that Read returns if neither the path nor GW_CONFIG names a configuration file.
var ErrNoFile = errors.New("configuration: no file: neither a flag nor GW_CONFIG names one")

// Read reads the configuration from the file at path, or from the file that GW_CONFIG names if path is empty, and
// applies the overlay's rows to it. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT supply keys that are missing in the
// file; GW_SOCKET_FD or SOCKET_FD gives the descriptor of an inherited listener, and TMPDIR the folder for temporary
// files. An error about a key is a *SettingError.
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
	c.TemporaryFolder = os.TempDir()
	c.ListenerFD, err = listenerFD(os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// parse parses the text of a configuration. If several keys are invalid, the error names the key that is read
// first, so the order of the reads in readConfig determines which message appears.
func parse(text []byte, getenv func(string) string) (*Config, error) {
	var raw map[string]json.RawMessage // keeps the bytes of keyKnownEndpoints, which package discovery decodes
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	top, err := decodeObject(text)
	if err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	for key, name := range environmentVariables {
		if !top.has(key) && getenv(name) != "" {
			top.fields[key] = getenv(name)
		}
	}
	c := readConfig(top)
	c.UnknownKeys = unknownKeys(top.fields)
	c.KnownEndpoints = raw[keyKnownEndpoints]
	return c, top.err()
}

// readConfig reads all fields of a configuration except KnownEndpoints and UnknownKeys, which parse sets.
func readConfig(top jsonObject) *Config {
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
		MaxSockets:        clampToCount(limits.positiveNumberOr(keySockets, defaultMaxSockets)),
		Zones:             settings.optionalStrings(keyZones),
	}
	c.Settings.MaxTenants = maxTenants(c.MemoryLimitBytes)
	c.Seed = top.requiredHexadecimal("seed")
	c.Counter = readCounterAddress(top, c.Settings.CounterEnabled)
	permissions := settings.requiredObject(keyPermissions)
	c.IdleTimeout = permissions.positiveMillisecondsOr("conn-idle-ms", defaultIdleTimeout)
	c.ConnectTimeout = permissions.positiveMillisecondsOr("connect-timeout-ms", defaultConnectTimeout)
	c.MaxUnits = settings.optionalObject(keyRequests).positiveNumberOr("max-units", defaultMaxUnits)
	c.Classes = idsByName[policy.ClassID](settings.requiredRows(keyClasses))
	c.Plans = idsByName[policy.PlanID](settings.requiredRows(keyPlans))
	if c.MaxSockets < minSockets {
		limits.recordErrorf(keySockets, "is below %d", minSockets)
	}
	return c
}

// maxTenants returns for how many tenants state is kept with the given memory limit. Tenants may use a part of it.
func maxTenants(memoryLimitBytes int64) int {
	return int(max(memoryLimitBytes/tenantMemoryDivisor/tenantBytes, 1))
}

func readMemoryBytes(limits jsonObject) int64 {
	mebibytes := clampToCount(limits.positiveNumberOr("memory_mb", defaultMemoryMebibytes))
	return int64(mebibytes) * bytesPerMebibyte
}

// readCounterAddress reads the address of the shared counter. The key is required if the counter is enabled.
func readCounterAddress(top jsonObject, enabled bool) string {
	if enabled {
		return top.requiredAddress(keyCounter)
	}
	return top.optionalAddress(keyCounter)
}
