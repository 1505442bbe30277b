package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"fawnplank/internal/tomlfile"
)

// Units of spans.
const (
	microsecond = Span(time.Microsecond)
	millisecond = Span(time.Millisecond)
	second      = Span(time.Second)
)

// defaults returns a scenario before its file is read. It sets every default that depends on no other value.
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

// Load reads a scenario file and applies overrides of the form key=value: "gateways.count=100". It returns the
// errors of Parse, or of the file system.
func Load(path string, overrides ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, overrides...)
}

// Parse reads a scenario. Errors give name, line and key. An error about a value that an override has set gives the
// file's name too, and the file's line of that key if there is one. Old names of keys are read for the new ones,
// and listed in the scenario's deprecations.
//
// Repeats of faults are expanded after the checks, which therefore bound only when the first of them begins: later
// ones may lie after the run.
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
	s.complete()
	if err := s.validate(file); err != nil {
		return nil, err
	}
	s.Faults = expandRepeats(s.Faults)
	return s, nil
}

// override applies one key=value. A value that is not a number, bool or list is taken as a string.
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

// decode reads a text into the scenario, over the values that it has.
func (s *Scenario) decode(name string, text []byte) (*tomlfile.File, error) {
	file, deprecations, err := tomlfile.ReadWithRenames(name, text, s, renamed)
	s.Deprecations = append(s.Deprecations, deprecations...)
	return file, err
}

// complete sets the defaults that depend on other values.
func (s *Scenario) complete() {
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
