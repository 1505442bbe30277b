package dnszone

import "fmt"

// Verdict is the decision of ReplayGuard.Check about an update message.
type Verdict uint8

// Possible verdicts.
const (
	VerdictAccept         Verdict = iota // the update is new and has to be processed
	VerdictRetransmission                // sent again by the same sender, which receives the recorded outcome
	VerdictReplay                        // seen from another sender, or the signature fails the time check
	VerdictRateLimited                   // the update exceeds the rate limit
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictAccept:
		return "accept"
	case VerdictRetransmission:
		return "repeat"
	case VerdictReplay:
		return "replay"
	case VerdictRateLimited:
		return "rate limited"
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}
