package dnszone

// ReplayGuard prevents an update from being applied twice, and limits the rate of updates. Callers pass the current
// time in unix ns. The number of recorded updates is bounded by the rate limit times the validity period of a
// signature. A ReplayGuard is not safe for concurrent use.
type ReplayGuard struct {
	updateBucket   tokenBucket
	startedSeconds int64              // updates signed before may have been applied by an earlier incarnation
	outcomes       map[string]Outcome // by MAC
	expiries       []expiry           // in order of recording
}

// expiry holds the time after which the signature with the given MAC fails the time check, so that its outcome need
// not be kept any longer.
type expiry struct {
	mac               string
	validUntilSeconds int64
}

// Outcome is the result of a processed update.
type Outcome struct {
	Sender string // address and port of the client
	Rcode  int
}

// NewReplayGuard returns a guard that accepts ratePerSecond updates per second. It rejects updates that were signed
// in the second of nowNanos or earlier.
func NewReplayGuard(ratePerSecond float64, nowNanos int64) *ReplayGuard {
	return &ReplayGuard{
		updateBucket:   newTokenBucket(ratePerSecond, nowNanos),
		startedSeconds: nowNanos / nanosPerSecond,
		outcomes:       map[string]Outcome{},
	}
}

// Check decides whether to process an update whose signature is valid. If the same message was processed before,
// Check also returns the recorded outcome.
func (g *ReplayGuard) Check(signature Signature, sender string, nowNanos int64) (Verdict, Outcome) {
	nowSeconds := nowNanos / nanosPerSecond
	g.removeExpired(nowSeconds)
	if outcome, ok := g.outcomes[signature.MAC]; ok {
		if outcome.Sender == sender {
			return VerdictRetransmission, outcome
		}
		return VerdictReplay, outcome
	}
	if !g.passesTimeCheck(signature.TimeSignedSeconds, nowSeconds) {
		return VerdictReplay, Outcome{}
	}
	if !g.updateBucket.allow(nowNanos) {
		return VerdictRateLimited, Outcome{}
	}
	return VerdictAccept, Outcome{}
}

// passesTimeCheck reports whether a message was signed after the guard was created, and at most FudgeSeconds before
// or after now (RFC 8945, 5.2.3). A message signed in or before the second in which the guard was created may be a
// replay of an update that this guard has not recorded.
func (g *ReplayGuard) passesTimeCheck(signedSeconds, nowSeconds int64) bool {
	return signedSeconds > g.startedSeconds &&
		signedSeconds >= nowSeconds-FudgeSeconds &&
		signedSeconds <= nowSeconds+FudgeSeconds
}

// RecordOutcome records the outcome of an update that was processed by this replica or by another one.
func (g *ReplayGuard) RecordOutcome(signature Signature, outcome Outcome, nowNanos int64) {
	if _, ok := g.outcomes[signature.MAC]; !ok && signature.MAC != "" {
		laterSeconds := max(signature.TimeSignedSeconds, nowNanos/nanosPerSecond)
		g.expiries = append(g.expiries, expiry{mac: signature.MAC, validUntilSeconds: laterSeconds + FudgeSeconds})
	}
	g.outcomes[signature.MAC] = outcome
}

// removeExpired removes the outcomes of updates whose signatures now fail the time check.
func (g *ReplayGuard) removeExpired(nowSeconds int64) {
	expiredCount := 0
	for expiredCount < len(g.expiries) && g.expiries[expiredCount].validUntilSeconds < nowSeconds {
		delete(g.outcomes, g.expiries[expiredCount].mac)
		expiredCount++
	}
	g.expiries = g.expiries[expiredCount:]
}

// Len returns the number of recorded signatures that have not expired.
func (g *ReplayGuard) Len() int { return len(g.outcomes) }
