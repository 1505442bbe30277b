package config

import (
	"maps"
	"slices"
	"strings"
)

// knownKeys lists the keys that a configuration may hold, by the path of their object; the rows of a list
// share the list's path. config.go and settings.go read the keys that the gateway uses. A key that they do
// not read may be listed here, because other programs of the platform read it.
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

// isKnownKey reports whether an object at a path may hold a key.
func isKnownKey(path, key string) bool { return slices.Contains(knownKeys[path], key) }

// wordSetting is a setting that holds one word of a set.
type wordSetting struct {
	path  string
	words []string
}

// wordSettings lists the settings that Migrate checks, in the order of its messages.
var wordSettings = []wordSetting{
	{path: "settings.discovery", words: []string{"pushed", discoveryOnRequest}},
	{path: "settings.telemetry.how", words: []string{"inline", "on_probe", "off"}},
	{path: "settings.weights", words: []string{"off", "nominal", "rough", "live"}},
}

// joinPath returns the path of a key of the object at path.
func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// sortedKeys returns the keys in a fixed order, so that messages have a fixed order.
func sortedKeys(fields map[string]any) []string { return slices.Sorted(maps.Keys(fields)) }
