// Package config is the one place where configuration is read, checked and given its defaults: what a front
// door is told at its start (this file) and the terms of its service (terms.go, for the adapter too). Every
// fault names the key. It must never decide anything, and nothing else may read the environment or a file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"fawnplank/policy"
)

// Config is what a front door is told at its start.
type Config struct {
	Name, Listen, Discovery, Counter string
	ManagementAddress                string // the management address; empty: none
	ListenerFD                       int    // a listener handed down by whoever started the process; -1: none
	Seed                             uint64
	MemoryBytes                      int64
	MaxSockets                       int
	KnownEndpoints                   json.RawMessage // the list of backends in discovery's form, as last had
	Settings                         policy.Settings
	Classes                          map[string]policy.ClassID
	Plans                            map[string]policy.PlanID
	Zones                            []string
	IdleTimeout                      time.Duration // after which a backend closes an idle connection
	ConnectTimeout                   time.Duration
	MaxUnits                         float64 // that one transaction counts
}

// Defaults of what the settings may leave out: the example figures of the deployment page, and of the
// settings for connections.
const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultIdleMs    = 15000
	defaultConnectMs = 250
	defaultMostUnits = 1e6
)

// Overlay are rows of the settings that stand in the replicated store: a plan or class of the file's is replaced by
// the one of its name here, and one of a new name is added behind the file's.
type Overlay struct{ Plans, Classes map[string]json.RawMessage }

// The prefixes of the store's keys that hold them.
const (
	PlanKey  = "plans/"
	ClassKey = "classes/"
)

// lay lays the overlay over a configuration's text.
func (o Overlay) lay(text []byte) ([]byte, error) {
	if len(o.Plans) == 0 && len(o.Classes) == 0 {
		return text, nil
	}
	var top, settings map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	if err := json.Unmarshal(top["settings"], &settings); err != nil {
		return nil, fmt.Errorf("settings: no JSON object: %w", err)
	}
	for key, rows := range map[string]map[string]json.RawMessage{"tariffs": o.Plans, "lanes": o.Classes} {
		var all []json.RawMessage
		if err := json.Unmarshal(settings[key], &all); err != nil {
			return nil, fmt.Errorf("settings: %s is no list: %w", key, err)
		}
		seen := map[string]bool{}
		for n, row := range all {
			var x struct {
				Name string `json:"name"`
			}
			if err := json.Unmarshal(row, &x); err != nil {
				return nil, fmt.Errorf("settings: %s[%d]: %w", key, n, err)
			}
			if fresh, ok := rows[x.Name]; ok {
				all[n] = fresh
			}
			seen[x.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(rows)) {
			if !seen[name] {
				all = append(all, rows[name])
			}
		}
		settings[key], _ = json.Marshal(all)
	}
	top["settings"], _ = json.Marshal(settings)
	return json.Marshal(top)
}

// CheckRow checks that a value of the store is a row of the name that its key says.
func CheckRow(name string, value json.RawMessage) error {
	var x struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(value, &x); err != nil {
		return err
	}
	if x.Name != name {
		return fmt.Errorf("its name is %q, and the key's is %q", x.Name, name)
	}
	return nil
}

// Read reads the configuration from the file path, or from the file that GW_CONFIG names where path is
// empty. GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_MGMT stand in for keys that the file leaves out; GW_SOCKET_FD
// or SOCKET_FD names a listener that the process is handed.
func Read(path string, over Overlay) (*Config, error) {
	if path == "" {
		path = os.Getenv("GW_CONFIG")
	}
	if path == "" {
		return nil, errors.New("configuration: no file: neither a flag nor GW_CONFIG names one")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if text, err = over.lay(text); err != nil {
		return nil, fmt.Errorf("configuration %s with the store's rows: %w", path, err)
	}
	s, err := parse(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	s.ListenerFD = -1
	for _, name := range []string{"GW_SOCKET_FD", "SOCKET_FD"} {
		if text := os.Getenv(name); text != "" {
			fd, err := strconv.Atoi(text)
			if err != nil || fd < 0 {
				return nil, fmt.Errorf("configuration: %s is %q, which is no descriptor", name, text)
			}
			s.ListenerFD = fd
			break
		}
	}
	return s, nil
}

func parse(text []byte, env func(string) string) (*Config, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	var fault error
	top := object{"", nil, &fault}
	if err := json.Unmarshal(text, &top.m); err != nil {
		return nil, fmt.Errorf("no JSON object: %w", err)
	}
	for key, name := range environment {
		if _, there := top.m[key]; !there && env(name) != "" {
			top.m[key] = env(name)
		}
	}
	limits, settings := top.in("limits", false), top.in("settings", true)
	s := &Config{Name: get[string](top, "name", true), Listen: top.address("listen", true),
		Discovery: top.address("discovery", true), ManagementAddress: top.address("mgmt", false), KnownEndpoints: raw["known"], Settings: readTerms(settings),
		MemoryBytes: int64(count(limits.or("memory_mb", defaultMemoryMB))) << 20,
		MaxSockets:  count(limits.or("sockets", defaultSockets)),
		Classes:     map[string]policy.ClassID{}, Plans: map[string]policy.PlanID{},
		Zones: settings.texts("zones")}
	if seed, err := strconv.ParseUint(get[string](top, "seed", true), 16, 64); err == nil {
		s.Seed = seed
	} else {
		top.fault("seed", "is no hexadecimal number of 64 bits")
	}
	s.Counter = top.address("counter", s.Settings.CounterEnabled)
	allowed := settings.in("permissions", true)
	s.IdleTimeout = time.Duration(Nanoseconds(allowed.or("conn-idle-ms", defaultIdleMs)))
	s.ConnectTimeout = time.Duration(Nanoseconds(allowed.or("connect-timeout-ms", defaultConnectMs)))
	s.MaxUnits = settings.in("family-info", false).or("max-units", defaultMostUnits)
	for n, l := range settings.rows("lanes") {
		s.Classes[get[string](l, "name", true)] = policy.ClassID(n)
	}
	for n, p := range settings.rows("tariffs") {
		s.Plans[get[string](p, "name", true)] = policy.PlanID(n)
	}
	const fewest = 64 // the program's own, and a few for either side
	if s.MaxSockets < fewest {
		limits.fault("sockets", fmt.Sprintf("is below %d", fewest))
	}
	return s, fault
}

// or is a number with a default; one that is there must be above zero.
func (o object) or(key string, usual float64) float64 {
	if _, there := o.m[key]; !there {
		return usual
	}
	x := o.need(key)
	if x <= 0 {
		o.fault(key, "is not above 0")
	}
	return x
}

func (o object) texts(key string) []string {
	var all []string
	for n, x := range get[[]any](o, key, false) {
		t, ok := x.(string)
		if !ok {
			o.fault(fmt.Sprintf("%s[%d]", key, n), "is no text")
		}
		all = append(all, t)
	}
	return all
}

// address is a host and port to listen on or to connect to.
func (o object) address(key string, must bool) string {
	at := get[string](o, key, must)
	if _, port, err := net.SplitHostPort(at); at != "" && (err != nil || port == "") {
		o.fault(key, fmt.Sprintf("is %q, which is no host and port", at))
	}
	return at
}

// KeepIDs renumbers the profiles and plans of a configuration read anew, so that ids mean what they meant in
// old: a name whose terms are unchanged keeps its id; a new one, or one whose terms changed, gets an id after
// all of old's. Old rows stay, for what is open under them; names that are gone are no longer taken.
func (s *Config) KeepIDs(old *Config) {
	s.Settings.Classes, s.Classes = follow(old.Settings.Classes, old.Classes, s.Settings.Classes, s.Classes)
	s.Settings.Plans, s.Plans = follow(old.Settings.Plans, old.Plans, s.Settings.Plans, s.Plans)
}

func follow[T comparable, ID ~uint16 | ~uint32](oldRows []T, oldIDs map[string]ID, rows []T, ids map[string]ID) ([]T,
	map[string]ID) {
	names := make([]string, len(rows))
	for name, id := range ids {
		names[id] = name
	}
	all, now := append([]T(nil), oldRows...), map[string]ID{}
	for id, name := range names { // in the file's order, so that the same file gives the same ids
		if was, ok := oldIDs[name]; ok && all[was] == rows[id] {
			now[name] = was
		} else {
			now[name] = ID(len(all))
			all = append(all, rows[id])
		}
	}
	return all, now
}
