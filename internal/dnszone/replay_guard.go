package dnszone

// ReplayGuard prevents updates from being applied twice, and limits their rate. The caller passes the time, in
// unix ns. The number of updates that it remembers is bounded by its rate times the time for which a signature
// is valid. It is not safe for concurrent use.
type ReplayGuard struct {
	rate           updateRate
	startedSeconds int64              // an earlier incarnation may have applied what was signed before
	outcomes       map[string]Outcome // by MAC
	expiries       []expiry           // in order of recording
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
		rate:           newUpdateRate(ratePerSecond, nowNanos),
		startedSeconds: nowNanos / nanosPerSecond,
		outcomes:       map[string]Outcome{},
	}
}

// Check decides about a message whose signature is valid. The returned outcome is the one recorded for the
// same message before, if any.
func (g *ReplayGuard) Check(signature Signature, sender string, nowNanos int64) (Verdict, Outcome) {
	nowSeconds := nowNanos / nanosPerSecond
	g.removeExpired(nowSeconds)
	if outcome, ok := g.outcomes[signature.MAC]; ok {
		if outcome.Sender == sender {
			return VerdictRetransmission, outcome
		}
		return VerdictReplay, outcome
	}
	if !g.isTimely(signature.TimeSignedSeconds, nowSeconds) {
		return VerdictReplay, Outcome{}
	}
	if !g.rate.allow(nowNanos) {
		return VerdictRateLimited, Outcome{}
	}
	return VerdictAccept, Outcome{}
}

// isTimely reports whether a message was signed after the start, and within the fudge of now (RFC 8945, 5.2.3).
// What was signed up to the second of the start may be a replay that this guard has not recorded.
func (g *ReplayGuard) isTimely(signedSeconds, nowSeconds int64) bool {
	return signedSeconds > g.startedSeconds &&
		signedSeconds >= nowSeconds-FudgeSeconds &&
		signedSeconds <= nowSeconds+FudgeSeconds
}

// RecordOutcome remembers the outcome of an update, applied here or at another replica.
func (g *ReplayGuard) RecordOutcome(signature Signature, outcome Outcome, nowNanos int64) {
	if _, ok := g.outcomes[signature.MAC]; !ok && signature.MAC != "" {
		validFrom := max(signature.TimeSignedSeconds, nowNanos/nanosPerSecond)
		g.expiries = append(g.expiries, expiry{mac: signature.MAC, untilSeconds: validFrom + FudgeSeconds})
	}
	g.outcomes[signature.MAC] = outcome
}

// removeExpired drops the updates that are now refused because of their time alone.
func (g *ReplayGuard) removeExpired(nowSeconds int64) {
	n := 0
	for n < len(g.expiries) && g.expiries[n].untilSeconds < nowSeconds {
		delete(g.outcomes, g.expiries[n].mac)
		n++
	}
	g.expiries = g.expiries[n:]
}

// Len returns the number of recorded signatures that have not expired.
func (g *ReplayGuard) Len() int { return len(g.outcomes) }
