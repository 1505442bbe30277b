// Package config is the one place where configuration is read, checked and given its defaults. It reads three
// things:
//
//   - the platform's configuration of an instance, a JSON file (Read, Config), with rows of the replicated
//     store laid over it (Overlay);
//   - the platform's settings in that configuration, in the form that the decisions need (ParseSettings,
//     policy.Settings);
//   - the operators' own file, in TOML (ReadOperator, Operator).
//
// Migrate turns a configuration of the old deployment into one for the new deployment. Every error names the
// file and the key. The package makes no decisions, and no other package reads configuration, whether from a
// file or from the environment.
//
// All functions are safe for concurrent use. A Config and an Operator are values without locks: the caller
// that read one may change it until it shares it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"fawnplank/policy"
)

// Config is what an instance of the gateway receives from the platform when it starts.
type Config struct {
	Name              string // name of the instance
	Listen            string // host and port where clients connect
	Discovery         string // host and port of the discovery service
	Counter           string // host and port of the shared counter; empty if there is none
	ManagementAddress string // host and port of the management calls; empty if there are none
	ListenerFD        int    // a listener handed down by the parent process; -1 if there is none

	Seed        uint64 // seeds the random choices
	MemoryBytes int64  // memory that the process may use
	MaxSockets  int    // sockets that the process may have open

	// KnownEndpoints is the last known endpoint list, in discovery's form. It is empty if there is none.
	KnownEndpoints json.RawMessage
	// Settings is the input of the decisions. Classes and Plans map the names of its rows to their ids.
	Settings policy.Settings
	Classes  map[string]policy.ClassID
	Plans    map[string]policy.PlanID
	Zones    []string // the names of zones, by id

	IdleTimeout    time.Duration // after which a backend closes an idle connection
	ConnectTimeout time.Duration // for a connection to a backend or the counter
	// UnknownKeys are the keys of the file that have no meaning, in order: a misspelled key has no effect.
	UnknownKeys []string
	MaxUnits    float64 // units that one request may count at most
}

// Defaults for what the configuration may leave out. The limits are the example figures of the deployment
// page; the other values are the platform's.
const (
	defaultMemoryMB         = 192
	defaultMaxSockets       = 1024
	defaultIdleTimeoutMs    = 15000
	defaultConnectTimeoutMs = 250
	defaultMaxUnits         = 1e6
)

// minSockets covers the program's own descriptors, plus a few for clients and a few for backends.
const minSockets = 64

// managementKey names the management address. Deployments that are migrated do not have it.
const managementKey = "mgmt"

// environmentNames lists the environment variables that replace keys that a configuration leaves out.
var environmentNames = map[string]string{
	"name":        "GW_NAME",
	"listen":      "GW_LISTEN",
	"discovery":   "GW_DISCOVERY",
	managementKey: "GW_MGMT",
}

// listenerNames lists the environment variables that may name the listener handed down. The first one that is
// set wins.
var listenerNames = []string{"GW_SOCKET_FD", "SOCKET_FD"}

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

// listenerFD returns the descriptor of the listener that was handed to the process, or -1 if there is none.
func listenerFD(getenv func(string) string) (int, error) {
	for _, name := range listenerNames {
		text := getenv(name)
		if text == "" {
			continue
		}
		fd, err := strconv.Atoi(text)
		if err != nil || fd < 0 {
			return 0, fmt.Errorf("%s is %q, which is no descriptor", name, text)
		}
		return fd, nil
	}
	return -1, nil
}

// parse parses a configuration's text. If several keys are faulty, the error names the first one read, so the
// order of the reads below determines which message appears.
func parse(text []byte, getenv func(string) string) (*Config, error) {
	var raw map[string]json.RawMessage
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
	c.UnknownKeys = top.unknownKeys()
	c.KnownEndpoints = raw["known"]
	return c, top.err()
}

// readConfig reads the fields of a configuration, except for the endpoint list.
func readConfig(top object) *Config {
	limits := top.optionalObject("limits")
	settings := top.requiredObject("settings")
	c := &Config{
		Name:              required[string](top, "name"),
		Listen:            top.requiredAddress("listen"),
		Discovery:         top.requiredAddress("discovery"),
		ManagementAddress: top.optionalAddress(managementKey),
		ListenerFD:        -1,
		Settings:          readSettings(settings),
		MemoryBytes:       int64(clampToCount(limits.positiveOr("memory_mb", defaultMemoryMB))) << 20,
		MaxSockets:        clampToCount(limits.positiveOr("sockets", defaultMaxSockets)),
		Zones:             settings.optionalStrings("zones"),
	}
	c.Seed = top.hexadecimal("seed")
	if c.Settings.CounterEnabled {
		c.Counter = top.requiredAddress("counter")
	} else {
		c.Counter = top.optionalAddress("counter")
	}
	permissions := settings.requiredObject("permissions")
	c.IdleTimeout = Milliseconds(permissions.positiveOr("conn-idle-ms", defaultIdleTimeoutMs))
	c.ConnectTimeout = Milliseconds(permissions.positiveOr("connect-timeout-ms", defaultConnectTimeoutMs))
	c.MaxUnits = settings.optionalObject("family-info").positiveOr("max-units", defaultMaxUnits)
	c.Classes = idsByName[policy.ClassID](settings.requiredRows("lanes"))
	c.Plans = idsByName[policy.PlanID](settings.requiredRows("tariffs"))
	if c.MaxSockets < minSockets {
		limits.failf("sockets", "is below %d", minSockets)
	}
	return c
}

// idsByName numbers rows in their order and returns the numbers by name.
func idsByName[ID ~uint16 | ~uint32](rows []object) map[string]ID {
	ids := map[string]ID{}
	for n, row := range rows {
		ids[required[string](row, "name")] = ID(n)
	}
	return ids
}

// KeepIDs renumbers the classes and plans of a newly read configuration, so that ids mean what they meant in
// old. A name whose row is unchanged keeps its id. A new name, or one whose row changed, gets an id after all
// ids of old. Old rows stay for the requests in flight under them; names that are gone admit no request.
func (c *Config) KeepIDs(old *Config) {
	c.Settings.Classes, c.Classes = keepIDs(old.Settings.Classes, old.Classes, c.Settings.Classes, c.Classes)
	c.Settings.Plans, c.Plans = keepIDs(old.Settings.Plans, old.Plans, c.Settings.Plans, c.Plans)
}

// keepIDs merges the rows of a list, indexed by id, with its old rows.
func keepIDs[T comparable, ID ~uint16 | ~uint32](
	oldRows []T, oldIDs map[string]ID, rows []T, ids map[string]ID,
) (mergedRows []T, mergedIDs map[string]ID) {
	names := make([]string, len(rows))
	for name, id := range ids {
		names[id] = name
	}
	mergedRows = append([]T(nil), oldRows...)
	mergedIDs = map[string]ID{}
	for id, name := range names { // iterates in the file's order, so that the same file gives the same ids
		if oldID, ok := oldIDs[name]; ok && mergedRows[oldID] == rows[id] {
			mergedIDs[name] = oldID
			continue
		}
		mergedIDs[name] = ID(len(mergedRows))
		mergedRows = append(mergedRows, rows[id])
	}
	return mergedRows, mergedIDs
}
