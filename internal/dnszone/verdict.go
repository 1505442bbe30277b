package dnszone

import "fmt"

// Verdict is the decision of Check about a message.
type Verdict uint8

// The verdicts.
const (
	VerdictAccept         Verdict = iota // a new update
	VerdictRetransmission                // repeated by the same sender, which gets the recorded outcome
	VerdictReplay                        // seen before, or signed too long ago or too far ahead
	VerdictRateLimited                   // more updates than the rate allows
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
