package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/tomlfile"
)

// Units of time.
const (
	microsecond = Span(time.Microsecond)
	millisecond = Span(time.Millisecond)
	second      = Span(time.Second)
)

// defaults returns a scenario with all default values that do not depend on other values.
func defaults() *Scenario {
	return &Scenario{
		Environment: EnvironmentModel,
		Seed:        1,
		Duration:    10 * second,
		Instances:   InstanceSettings{Count: 2, MemoryMB: 64, MaxSockets: 512},
		Backends: BackendSettings{
			Count:     4,
			Cores:     2,
			Work:      20 * millisecond,
			WorkSigma: 0.5,
			MaxQueued: 64,
			Zones:     1,
			Groups:    1,
		},
		Counter: CounterSettings{
			Protocol: ProtocolText,
			Delay:    500 * microsecond,
			Timeout:  50 * millisecond,
		},
		Discovery: DiscoverySettings{Delay: 100 * millisecond, Source: SourceHTTP},
		Network:   NetworkSettings{Delay: 200 * microsecond},
		Load: LoadSettings{
			Rate:           100,
			Arrivals:       ArrivalsPoisson,
			MaxRequests:    10_000_000,
			Tenants:        20,
			Units:          1,
			MaxConnections: 256,
		},
		Rules: RuleSettings{
			DeadlineGrace:     100 * millisecond,
			DrainGrace:        second,
			SlowStartShare:    0.2,
			SlowStartDuration: 9 * second,
			OverloadMultiple:  2,
			OverloadWindow:    second,
		},
		Permissions: PermissionSettings{
			MaxAttempts:    3,
			HedgedAttempts: true,
			Cancellation:   true,
			RetryAfter:     true,
			MaxRetryAfter:  second,
		},
	}
}

// Load reads a scenario file and applies overrides of the form key=value, such as "gateways.count=100". It returns
// an error if the file cannot be read or Parse fails.
func Load(path string, overrides ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// Parse parses a scenario. Errors contain the file's name, the line and the key. If an override has set a faulty
// value, the error contains the file's name as well, and the line of the key if the file has it. Deprecated names of
// keys are accepted and listed in Scenario.Deprecations.
//
// Repeated faults are expanded after validation, so only the first occurrence must begin within the run; later
// occurrences may begin after its end.
func Parse(name string, text []byte, overrides ...string) (*Scenario, error) {
	s := defaults()
	file, err := s.decode(name, text)
	if err != nil {
		return nil, err
	}
	for _, override := range overrides {
		if err := s.override(override); err != nil {
			return nil, err
		}
	}
	s.setDependentDefaults()
	if err := s.validate(file); err != nil {
		return nil, err
	}
	s.Faults = expandRepeats(s.Faults)
	return s, nil
}

// override applies one override of the form key=value. A value that is not a number, bool or list is read as a
// string.
func (s *Scenario) override(text string) error {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return fmt.Errorf("%q is not of the form key=value", text)
	}
	_, err := strconv.ParseFloat(value, 64)
	isLiteral := err == nil || value == "true" || value == "false" || strings.HasPrefix(value, "[")
	if !isLiteral {
		value = strconv.Quote(value)
	}
	_, err = s.decode("--set "+text, []byte(key+" = "+value))
	return err
}

// decode decodes a text into the scenario. Keys in the text replace the existing values.
func (s *Scenario) decode(name string, text []byte) (*tomlfile.File, error) {
	file, deprecations, err := tomlfile.ReadWithRenames(name, text, s, deprecatedNames)
	s.Deprecations = append(s.Deprecations, deprecations...)
	return file, err
}

// setDependentDefaults sets the default values that depend on other values.
func (s *Scenario) setDependentDefaults() {
	for n := range s.Classes {
		class := &s.Classes[n]
		class.Share = orDefault(class.Share, 1)
		class.Deadline = orDefault(class.Deadline, 2*class.LatencyObjective)
	}
	for n := range s.Plans {
		s.Plans[n].Share = orDefault(s.Plans[n].Share, 1)
	}
	s.Load.EntryPoints = orDefault(s.Load.EntryPoints, s.Instances.Count)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
