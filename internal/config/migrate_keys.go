package config

import (
	"maps"
	"slices"
	"strings"
)

// knownKeys lists the valid keys of a configuration, by the path of the object that contains them. The rows of a list
// have the path of the list. The list includes keys that this package does not read, because other programs of the
// platform read them.
var knownKeys = map[string][]string{
	"":       strings.Fields("name listen discovery counter seed limits known settings"),
	"limits": strings.Fields("cores memory_mb sockets"),
	"settings": strings.Fields(
		"replicas-of-me lanes clients discovery domain-type family-info blend shapes " +
			"permissions me prices telemetry invariants tariffs step-ms stage tiers weights " +
			"my-zone zones"),
	"settings.lanes": strings.Fields(
		"aim-stretch goal-time-ms deadline-ms effect group late-worth name silence stream " +
			"window-ms value"),
	"settings.clients": strings.Fields("marks-retry"),
	"settings.family-info": strings.Fields(
		"may-count call-price counter-timeout-ms metering-ms max-units inbox-per-s post-paid"),
	"settings.blend": strings.Fields("whole worst-class worst-tenant worst-window"),
	"settings.permissions": strings.Fields(
		keyCancellation + " conn-idle-ms connect-timeout-ms cpu-us-per-request cpu-us-per-s send-cap max-open " +
			"max-retry-after-ms peer-messages probes retry-after second-copies max-streams"),
	"settings.prices": strings.Fields(
		"connection cross-zone discovery handshake late-fail moves origin peer probe waste"),
	"settings.telemetry": strings.Fields("columns how"),
	"settings.invariants": strings.Fields(
		"grace-to-answer-ms ask-within-ms cold-share warm-up-ms stop-sending-within-ms " +
			"tip-multiple fall-ms"),
	"settings.tariffs": strings.Fields(
		"peak-units ceiling-burst cap-rate tolerance name parallel beyond-costs beyond-earns " +
			"value-factor quota-rate"),
}

// isKnownKey reports whether a key is valid in the object at a path.
func isKnownKey(path, key string) bool { return slices.Contains(knownKeys[path], key) }

// enumSetting is a setting that holds one of a fixed set of strings.
type enumSetting struct {
	path    string
	allowed []string
}

// enumSettings lists the settings that checkEnumSettings checks. The order determines which error is reported first.
var enumSettings = []enumSetting{
	{path: "settings.discovery", allowed: []string{"pushed", discoveryOnRequest}},
	{path: "settings.telemetry.how", allowed: []string{"inline", "on_probe", "off"}},
	{path: "settings.weights", allowed: []string{"off", "nominal", "rough", "live"}},
}

// joinPath returns the path of a key in the object at path.
func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// sortedKeys returns the keys in sorted order, so that the order of messages is deterministic.
func sortedKeys(fields map[string]any) []string { return slices.Sorted(maps.Keys(fields)) }
