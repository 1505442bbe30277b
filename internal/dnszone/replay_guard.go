package dnszone

import "fmt"

// FudgeSeconds is how far an updater's clock may differ from this host's. RFC 8945, 10 recommends this value.
const FudgeSeconds = 300

const (
	nanosPerSecond = 1e9
	nanosPerMilli  = 1e6
)

// ReplayGuard prevents updates from being applied twice, and from arriving faster than is allowed. The caller
// passes the time. The number of updates that it remembers is bounded by its rate times the time for which a
// signature is valid.
type ReplayGuard struct {
	ratePerSecond   float64
	tokens          float64 // how many updates may come at once, at most a second's worth
	refilledAtNanos int64
	startedSeconds  int64 // an earlier incarnation may have applied what was signed before
	outcomes        map[string]Outcome
	expiries        []expiry // in order of recording
}

// expiry states when the signature with a given MAC becomes invalid because of its time alone.
type expiry struct {
	mac          string
	untilSeconds int64
}

// Outcome is the result of an update.
type Outcome struct {
	Sender string // address and port
	Rcode  int
}

// NewReplayGuard returns a guard that accepts ratePerSecond updates per second, if they are signed after its
// start.
func NewReplayGuard(ratePerSecond float64, nowNanos int64) *ReplayGuard {
	return &ReplayGuard{
		ratePerSecond:   ratePerSecond,
		tokens:          max(ratePerSecond, 1),
		refilledAtNanos: nowNanos,
		startedSeconds:  nowNanos / nanosPerSecond,
		outcomes:        map[string]Outcome{},
	}
}

// Verdict is the decision of Check about a message.
type Verdict uint8

// The verdicts.
const (
	VerdictAccept      Verdict = iota // a new update
	VerdictRepeat                     // repeated by the same sender, which gets the recorded outcome
	VerdictReplay                     // seen before, or signed too long ago or too far ahead
	VerdictRateLimited                // more updates than the rate allows
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictAccept:
		return "accept"
	case VerdictRepeat:
		return "repeat"
	case VerdictReplay:
		return "replay"
	case VerdictRateLimited:
		return "rate limited"
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// Check decides about a message whose signature is valid. The returned outcome is the one recorded for the
// same message before, if any.
func (g *ReplayGuard) Check(signature Signature, sender string, nowNanos int64) (Verdict, Outcome) {
	nowSeconds := nowNanos / nanosPerSecond
	g.forgetExpired(nowSeconds)
	if outcome, ok := g.outcomes[signature.MAC]; ok {
		if outcome.Sender == sender {
			return VerdictRepeat, outcome
		}
		return VerdictReplay, outcome
	}
	signed := signature.SignedSeconds
	if signed <= g.startedSeconds || signed < nowSeconds-FudgeSeconds || signed > nowSeconds+FudgeSeconds {
		return VerdictReplay, Outcome{}
	}
	g.refill(nowNanos)
	if g.tokens < 1 {
		return VerdictRateLimited, Outcome{}
	}
	g.tokens--
	return VerdictAccept, Outcome{}
}

// refill adds the tokens for the time since the last refill.
func (g *ReplayGuard) refill(nowNanos int64) {
	elapsedSeconds := float64(max(nowNanos-g.refilledAtNanos, 0)) / nanosPerSecond
	g.tokens = min(g.tokens+elapsedSeconds*g.ratePerSecond, max(g.ratePerSecond, 1))
	g.refilledAtNanos = nowNanos
}

// Record remembers the outcome of an update, applied here or at another replica.
func (g *ReplayGuard) Record(signature Signature, outcome Outcome, nowNanos int64) {
	if _, ok := g.outcomes[signature.MAC]; !ok && signature.MAC != "" {
		validFrom := max(signature.SignedSeconds, nowNanos/nanosPerSecond)
		g.expiries = append(g.expiries, expiry{mac: signature.MAC, untilSeconds: validFrom + FudgeSeconds})
	}
	g.outcomes[signature.MAC] = outcome
}

// forgetExpired drops the updates that are now refused because of their time alone.
func (g *ReplayGuard) forgetExpired(nowSeconds int64) {
	n := 0
	for n < len(g.expiries) && g.expiries[n].untilSeconds < nowSeconds {
		delete(g.outcomes, g.expiries[n].mac)
		n++
	}
	g.expiries = g.expiries[n:]
}

// Len returns how many signatures are remembered.
func (g *ReplayGuard) Len() int { return len(g.outcomes) }
