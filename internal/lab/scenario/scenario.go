// Package scenario reads the laboratory's scenario files: what is balanced, who asks for what, and which
// faults come when. It gives defaults, checks every key, and turns the terms of service into the settings that
// a real front door reads, so that the model and the sockets go by the same ones. It runs nothing.
package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"fawnplank/internal/config"
	"fawnplank/internal/tomlfile"
	"fawnplank/policy"
)

// Span is a time in nanoseconds, written as Go writes them: "20ms", "1.5s".
type Span = config.Duration

// Where a scenario is played.
const (
	OnModel   = "model"   // simulated time, in one process
	OnSockets = "sockets" // real front doors between stand-ins on loopback
)

// Scenario is one experiment. Times are nanoseconds, rates a second.
type Scenario struct {
	Name     string `toml:"name"`
	About    string `toml:"about"`
	On       string `toml:"on"`
	Seed     uint64 `toml:"seed"`
	Duration Span   `toml:"duration"` // clients ask for so long; what is open is waited for after that

	Instances struct {
		Count    int `toml:"count"`
		MemoryMB int `toml:"memory_mb"` // sockets only
		Sockets  int `toml:"sockets"`   // sockets only
	} `toml:"doors"`
	Backends struct {
		Count  int     `toml:"count"`
		Cores  int     `toml:"cores"`  // shots worked on at once
		Work   Span    `toml:"work"`   // median of a unit
		Spread float64 `toml:"spread"` // sigma of its logarithm; 0: all alike
		Queue  int     `toml:"queue"`  // shots that wait at most; further ones are turned away
		Zones  int     `toml:"zones"`
		Groups int     `toml:"groups"`
	} `toml:"backends"`
	Counter struct {
		Off      bool    `toml:"off"`
		Protocol string  `toml:"protocol"` // "text" or "resp"; sockets only
		Delay    Span    `toml:"delay"`    // of an answer, beside the network's
		Rate     float64 `toml:"rate"`     // calls a second at most; 0: no bound
		Timeout  Span    `toml:"timeout"`
	} `toml:"counter"`
	Discovery struct {
		Delay  Span   `toml:"delay"`  // of a change, until it is told
		Source string `toml:"source"` // "http", or "dns": dynamic updates to the doors; sockets only
	} `toml:"discovery"`
	Net struct {
		Delay Span `toml:"delay"` // one way; model only
	} `toml:"net"`
	Load struct {
		Rate        float64 `toml:"rate"`     // transactions a second, all doors together
		Arrivals    string  `toml:"arrivals"` // "poisson" or "fixed"
		MaxRequests int     `toml:"most"`     // transactions at most
		Tenants     int     `toml:"customers"`
		Skew        float64 `toml:"skew"`  // exponent of Zipf's law over the customers; 0: all alike
		Units       float64 `toml:"units"` // mean; 1 or more each
		EntryPoints int     `toml:"spread"`
		Retries     int     `toml:"retries"` // after a dismissal, at most
		Connections int     `toml:"connections"`
	} `toml:"load"`
	Rules struct {
		Grace            Span    `toml:"grace"` // of the final answer after the client's time
		Drain            Span    `toml:"drain"` // of sends to a backend that is told to drain or to be gone
		InitialCapacity  float64 `toml:"cold_share"`
		SlowStart        Span    `toml:"warm_up"`
		CollapseMultiple float64 `toml:"fall_multiple"`
		CollapseWindow   Span    `toml:"fall_span"`
	} `toml:"rules"`
	Allow struct {
		MaxAttempts    int  `toml:"shots"`
		HedgedAttempts bool `toml:"second_copies"`
		Cancellation   bool `toml:"recalls"`
		HealthChecks   bool `toml:"probes"`
		RetryAfter     bool `toml:"advice"`
		MaxRetryAfter  Span `toml:"longest_advice"`
	} `toml:"allow"`
	Classes []Class `toml:"profile"`
	Plans   []Plan  `toml:"plan"`
	Faults  []Fault `toml:"fault"`
}

// Class is a kind of transaction.
type Class struct {
	Name             string  `toml:"name"`
	Idempotency      string  `toml:"effect"` // reissuable, numbered or at-most-once
	DedupScope       string  `toml:"reach"`  // numbered: all, zone or group
	DedupWindow      Span    `toml:"memory"` // numbered
	LatencyObjective Span    `toml:"promised"`
	Deadline         Span    `toml:"hard_limit"`
	LateValue        float64 `toml:"late_utility"`
	Fallback         string  `toml:"silence"` // share, open or closed
	Share            float64 `toml:"share"`   // of the transactions
}

// Plan is a customer's quotas.
type Plan struct {
	Name           string  `toml:"name"`
	Rate           float64 `toml:"rate"`
	Burst          float64 `toml:"burst"`
	MaxConcurrent  int     `toml:"parallel"`
	HardQuotaRate  float64 `toml:"ceiling_rate"`
	HardQuotaBurst float64 `toml:"ceiling_burst"`
	HardQuotaSlack float64 `toml:"ceiling_slack"`
	OverQuotaValue float64 `toml:"beyond_earns"`
	OverQuotaCost  float64 `toml:"beyond_costs"`
	Share          float64 `toml:"share"` // of the customers
}

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	BackendRefuse   FaultKind = "backend-refuse"   // connections are refused
	BackendHang     FaultKind = "backend-hang"     // takes shots and says nothing
	BackendSlow     FaultKind = "backend-slow"     // work takes factor times as long
	BackendReset    FaultKind = "backend-reset"    // the connection breaks in the middle of an answer
	BackendGarble   FaultKind = "backend-garble"   // answers are noise
	BackendError    FaultKind = "backend-error"    // answers are errors
	BackendDrain    FaultKind = "backend-drain"    // listed as draining; turns new work away
	BackendVanish   FaultKind = "backend-vanish"   // dies, is taken off the list, and comes back cold
	BackendWithdraw FaultKind = "backend-withdraw" // taken off the list while it runs on, and back at the same address as a new one
	BackendRestart  FaultKind = "backend-restart"  // dies and comes back cold, listed with its new start
	CounterRefuse   FaultKind = "counter-refuse"   // refuses connections
	CounterHang     FaultKind = "counter-hang"     // takes calls and answers none until the end
	CounterSlow     FaultKind = "counter-slow"     // answers late by delay
	CounterEmpty    FaultKind = "counter-empty"    // forgets all numbers, at once
	CounterCut      FaultKind = "counter-cut"      // silent towards the doors named
	DiscoveryStale  FaultKind = "discovery-stale"  // tells nothing until the end
	DiscoveryLate   FaultKind = "discovery-late"   // tells changes late by delay
	DiscoveryRefuse FaultKind = "discovery-refuse" // refuses connections; model: as stale
	InstanceRestart FaultKind = "door-restart"     // killed, and started anew at the end
)

// bearing is which parties a kind is about, and whether it needs a factor or a delay.
var bearing = map[FaultKind]struct {
	who, needs string
	lasts      bool
}{
	BackendRefuse: {"backends", "", true}, BackendHang: {"backends", "", true}, BackendSlow: {"backends", "factor", true},
	BackendReset: {"backends", "", true}, BackendGarble: {"backends", "", true}, BackendError: {"backends", "", true},
	BackendDrain: {"backends", "", true}, BackendVanish: {"backends", "", true}, BackendRestart: {"backends", "", true},
	BackendWithdraw: {"backends", "", true},
	CounterRefuse:   {"", "", true}, CounterHang: {"", "", true}, CounterSlow: {"", "delay", true},
	CounterEmpty: {"", "", false}, CounterCut: {"doors", "", true},
	DiscoveryStale: {"", "", true}, DiscoveryLate: {"", "delay", true}, DiscoveryRefuse: {"", "", true},
	InstanceRestart: {"doors", "", true},
}

// Fault is something that goes wrong from At on, For a time.
type Fault struct {
	Kind           FaultKind `toml:"kind"`
	At             Span      `toml:"at"`
	Duration       Span      `toml:"for"`
	Targets        []int     `toml:"who"`   // numbers of backends or doors, from 0
	Share          float64   `toml:"share"` // in place of who: of them all, the first ones
	Factor         float64   `toml:"factor"`
	Delay          Span      `toml:"delay"`
	Stagger        Span      `toml:"each"`  // between one of them and the next
	Repeats        int       `toml:"times"` // that it comes, and Every so long; 0: once
	RepeatInterval Span      `toml:"every"`
}

// usual is a scenario before its file is read: every default stands here.
func usual() *Scenario {
	s := &Scenario{On: OnModel, Seed: 1, Duration: 10e9}
	s.Instances.Count, s.Instances.MemoryMB, s.Instances.Sockets = 2, 64, 512
	s.Backends.Count, s.Backends.Cores, s.Backends.Work, s.Backends.Queue = 4, 2, 20e6, 64
	s.Backends.Spread, s.Backends.Zones, s.Backends.Groups = 0.5, 1, 1
	s.Counter.Delay, s.Counter.Timeout, s.Counter.Protocol = 500e3, 50e6, "text"
	s.Discovery.Delay, s.Discovery.Source, s.Net.Delay = 100e6, "http", 200e3
	s.Load.Rate, s.Load.Arrivals, s.Load.MaxRequests, s.Load.Tenants = 100, "poisson", 1e7, 20
	s.Load.Units, s.Load.Connections = 1, 256
	s.Rules.Grace, s.Rules.Drain, s.Rules.InitialCapacity = 100e6, 1e9, 0.2
	s.Rules.SlowStart, s.Rules.CollapseMultiple, s.Rules.CollapseWindow = 9e9, 2, 1e9
	s.Allow.MaxAttempts, s.Allow.HedgedAttempts, s.Allow.Cancellation, s.Allow.RetryAfter = 3, true, true, true
	s.Allow.MaxRetryAfter = 1e9
	return s
}

// Load reads a scenario file and lays words of the form key=value over it: "doors.count=100".
func Load(path string, over ...string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, over...)
}

// Parse reads a scenario; name stands for it in messages. Errors name line and key.
func Parse(name string, text []byte, over ...string) (*Scenario, error) {
	s := usual()
	f, err := tomlfile.Read(name, text, s)
	if err != nil {
		return nil, err
	}
	for _, word := range over {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not of the form key=value", word)
		}
		if _, err := strconv.ParseFloat(value, 64); err != nil && value != "true" && value != "false" && !strings.HasPrefix(value, "[") {
			value = strconv.Quote(value)
		}
		if _, err := tomlfile.Read("--set "+word, []byte(key+" = "+value), s); err != nil {
			return nil, err
		}
	}
	for n := range s.Classes {
		p := &s.Classes[n]
		p.Share, p.Deadline = orElse(p.Share, 1), orElse(p.Deadline, 2*p.LatencyObjective)
	}
	for n := range s.Plans {
		s.Plans[n].Share = orElse(s.Plans[n].Share, 1)
	}
	if s.Load.EntryPoints == 0 {
		s.Load.EntryPoints = s.Instances.Count
	}
	if err := s.check(f); err != nil {
		return nil, err
	}
	var all []Fault
	for _, x := range s.Faults { // one that comes again is as many
		for n := range max(x.Repeats, 1) {
			y := x
			y.Repeats, y.At = 0, x.At+Span(n)*x.RepeatInterval
			all = append(all, y)
		}
	}
	s.Faults = all
	return s, nil
}

func orElse[T comparable](x, usual T) T {
	var zero T
	if x == zero {
		return usual
	}
	return x
}

// check goes through the values; the first fault met is told.
func (s *Scenario) check(f *tomlfile.File) error {
	var fault error
	must := func(ok bool, key, what string) {
		if !ok && fault == nil {
			fault = f.KeyError(key, what)
		}
	}
	must(s.Name != "", "name", "is missing")
	must(s.On == OnModel || s.On == OnSockets, "on", fmt.Sprintf("is %q, not model or sockets", s.On))
	must(s.Duration > 0 && s.Duration <= 3600e9, "duration", "is not above 0 and at most 1h")
	for _, x := range []struct {
		key string
		n   int
	}{{"doors.count", s.Instances.Count}, {"backends.count", s.Backends.Count}, {"backends.cores", s.Backends.Cores},
		{"backends.zones", s.Backends.Zones}, {"backends.groups", s.Backends.Groups}, {"load.customers", s.Load.Tenants},
		{"load.most", s.Load.MaxRequests}, {"allow.shots", s.Allow.MaxAttempts}, {"load.spread", s.Load.EntryPoints},
		{"load.connections", s.Load.Connections}} {
		must(x.n >= 1 && x.n <= 1e8, x.key, "is not at least 1")
	}
	must(s.Instances.Count <= 5000, "doors.count", "is above 5000")
	must(s.Backends.Count <= 50000, "backends.count", "is above 50000")
	if s.On == OnSockets { // each is a process, or a listener with threads of its own
		must(s.Instances.Count <= 16, "doors.count", "is above 16, which is most on sockets")
		must(s.Backends.Count <= 64, "backends.count", "is above 64, which is most on sockets")
		must(s.Instances.MemoryMB >= 16, "doors.memory_mb", "is below 16")
		must(s.Instances.Sockets >= 64, "doors.sockets", "is below 64")
	}
	must(s.Discovery.Source == "http" || s.Discovery.Source == "dns", "discovery.source", "is not http or dns")
	must(s.Discovery.Source != "dns" || s.On == OnSockets, "discovery.source", "is dns, which the model does not have")
	must(s.Load.EntryPoints <= s.Instances.Count, "load.spread", "is above doors.count")
	must(s.Backends.Work > 0, "backends.work", "is not above 0")
	must(s.Backends.Spread >= 0 && s.Backends.Spread <= 3, "backends.spread", "is not from 0 to 3")
	must(s.Backends.Queue >= 0, "backends.queue", "is below 0")
	must(s.Counter.Timeout > 0, "counter.timeout", "is not above 0")
	must(s.Counter.Protocol == "text" || s.Counter.Protocol == "resp", "counter.protocol", "is not text or resp")
	must(s.Counter.Rate >= 0, "counter.rate", "is below 0")
	must(s.Load.Rate > 0 && s.Load.Rate <= 1e6, "load.rate", "is not above 0 and at most 1e6")
	must(s.Load.Arrivals == "poisson" || s.Load.Arrivals == "fixed", "load.arrivals", "is not poisson or fixed")
	must(s.Load.Units >= 1 && s.Load.Units <= 1000, "load.units", "is not from 1 to 1000")
	must(s.Load.Skew >= 0 && s.Load.Skew <= 5, "load.skew", "is not from 0 to 5")
	must(s.Load.Retries >= 0 && s.Load.Retries <= 20, "load.retries", "is not from 0 to 20")
	must(s.Rules.InitialCapacity > 0 && s.Rules.InitialCapacity <= 1, "rules.cold_share", "is not above 0 and at most 1")
	must(s.Rules.CollapseMultiple >= 1, "rules.fall_multiple", "is below 1")
	must(s.Rules.SlowStart >= 0 && s.Rules.CollapseWindow > 0, "rules.fall_span", "is not above 0")
	must(len(s.Classes) > 0, "profile", "is missing: one at least")
	must(len(s.Plans) > 0, "plan", "is missing: one at least")
	names := map[string]bool{}
	for n, p := range s.Classes {
		at := fmt.Sprintf("profile[%d].", n)
		must(word(p.Name) && !names[p.Name], at+"name", fmt.Sprintf("is %q: not a word of letters, digits and -, or taken", p.Name))
		names[p.Name] = true
		must(effects[p.Idempotency] != "", at+"effect", fmt.Sprintf("is %q, not reissuable, numbered or at-most-once", p.Idempotency))
		must(p.Idempotency != "numbered" || reaches[p.DedupScope] != "", at+"reach", fmt.Sprintf("is %q, not all, zone or group", p.DedupScope))
		must(p.Idempotency != "numbered" || p.DedupWindow > 0, at+"memory", "is not above 0")
		must(p.LatencyObjective > 0 && p.Deadline >= p.LatencyObjective, at+"promised", "is not above 0 and at most hard_limit")
		must(slices.Contains([]string{"", "share", "open", "closed"}, p.Fallback), at+"silence", fmt.Sprintf("is %q, not share, open or closed", p.Fallback))
		must(p.Share > 0, at+"share", "is not above 0")
	}
	names = map[string]bool{}
	for n, p := range s.Plans {
		at := fmt.Sprintf("plan[%d].", n)
		must(word(p.Name) && !names[p.Name], at+"name", fmt.Sprintf("is %q: not a word of letters, digits and -, or taken", p.Name))
		names[p.Name] = true
		must(p.Rate >= 0 && p.Burst >= 0 && p.MaxConcurrent >= 0 && p.HardQuotaRate >= 0 && p.HardQuotaBurst >= 0, at+"rate", "or another figure is below 0")
		must(p.Rate == 0 || p.Burst > 0, at+"burst", "is not above 0")
		must(p.Share > 0, at+"share", "is not above 0")
	}
	for n, x := range s.Faults {
		at := fmt.Sprintf("fault[%d].", n)
		b, known := bearing[x.Kind]
		must(known, at+"kind", fmt.Sprintf("is %q, which is no kind of fault", x.Kind))
		must(x.At >= 0 && x.At < s.Duration, at+"at", "is not within the duration")
		must(!known || !b.lasts || x.Duration > 0, at+"for", "is not above 0")
		must(b.needs != "factor" || x.Factor > 0, at+"factor", "is not above 0")
		must(b.needs != "delay" || x.Delay > 0, at+"delay", "is not above 0")
		must(x.Share >= 0 && x.Share <= 1, at+"share", "is not from 0 to 1")
		must(x.Stagger >= 0, at+"each", "is below 0")
		must(x.Repeats >= 0 && x.Repeats <= 10000, at+"times", "is not from 0 to 10000")
		must(x.Repeats <= 1 || x.RepeatInterval > 0, at+"every", "is not above 0")
		count := 0
		switch b.who {
		case "backends":
			count = s.Backends.Count
		case "doors":
			count = s.Instances.Count
		}
		must(!known || b.who == "" || len(x.Targets) > 0 || x.Share > 0, at+"who", "is missing, and so is share")
		must(!known || b.who != "" || len(x.Targets) == 0 && x.Share == 0, at+"who", "means nothing for this kind")
		for _, w := range x.Targets {
			must(w >= 0 && w < count, at+"who", fmt.Sprintf("names %d of %d %s", w, count, b.who))
		}
	}
	return fault
}

func word(text string) bool {
	for _, r := range text {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-') {
			return false
		}
	}
	return text != ""
}

// Targets are the backends or doors that a fault is about.
func (s *Scenario) Targets(x Fault) []int {
	if len(x.Targets) > 0 {
		return x.Targets
	}
	count := s.Backends.Count
	if bearing[x.Kind].who == "doors" {
		count = s.Instances.Count
	}
	all := make([]int, int(math.Ceil(x.Share*float64(count))))
	for n := range all {
		all[n] = n
	}
	return all
}

// The settings' words for those of a scenario.
var (
	effects = map[string]string{"reissuable": "read_like", "numbered": "idempotency_key", "at-most-once": "non_idempotent"}
	reaches = map[string]string{"all": "all", "zone": "zone", "group": "cell"}
)

// GatewaySettings are the settings of front door me, in the form that internal/config reads.
func (s *Scenario) GatewaySettings(me int) map[string]any {
	ms := func(x Span) float64 { return float64(x) / 1e6 }
	zones := make([]string, s.Backends.Zones)
	for n := range zones {
		zones[n] = ZoneName(n)
	}
	var lanes, tariffs []map[string]any
	for _, p := range s.Classes {
		l := map[string]any{"name": p.Name, "effect": effects[p.Idempotency], "goal-time-ms": ms(p.LatencyObjective),
			"deadline-ms": ms(p.Deadline), "late-worth": p.LateValue}
		if p.Idempotency == "numbered" {
			l["group"], l["window-ms"] = reaches[p.DedupScope], ms(p.DedupWindow)
		}
		if p.Fallback != "" {
			l["silence"] = p.Fallback
		}
		lanes = append(lanes, l)
	}
	for _, p := range s.Plans {
		tariffs = append(tariffs, map[string]any{"name": p.Name, "quota-rate": p.Rate, "peak-units": p.Burst,
			"parallel": p.MaxConcurrent, "cap-rate": p.HardQuotaRate, "ceiling-burst": p.HardQuotaBurst,
			"beyond-earns": p.OverQuotaValue, "beyond-costs": p.OverQuotaCost})
	}
	return map[string]any{"me": me, "replicas-of-me": s.Instances.Count, "zones": zones, "my-zone": me % s.Backends.Zones,
		"discovery": "pushed", "lanes": lanes, "tariffs": tariffs,
		"family-info": map[string]any{"may-count": !s.Counter.Off, "counter-timeout-ms": ms(s.Counter.Timeout)},
		"permissions": map[string]any{"send-cap": s.Allow.MaxAttempts, "second-copies": s.Allow.HedgedAttempts,
			"cancelling": s.Allow.Cancellation, "probes": s.Allow.HealthChecks, "retry-after": s.Allow.RetryAfter,
			"max-retry-after-ms": ms(s.Allow.MaxRetryAfter)},
		"invariants": map[string]any{"cold-share": s.Rules.InitialCapacity, "warm-up-ms": ms(s.Rules.SlowStart),
			"tip-multiple": s.Rules.CollapseMultiple, "fall-ms": ms(s.Rules.CollapseWindow)}}
}

// EngineSettings are the terms that front door me reads from its settings.
func (s *Scenario) EngineSettings(me int) (policy.Settings, error) {
	text, err := json.Marshal(s.GatewaySettings(me))
	if err != nil {
		return policy.Settings{}, err
	}
	return config.ParseSettings(text)
}

// ZoneName is the name of a zone.
func ZoneName(n int) string { return fmt.Sprintf("z%d", n) }

// BackendName is a backend's name in discovery.
func BackendName(n int) string { return fmt.Sprintf("s-%04d", n) }
