package dnszone

// FudgeSeconds is how far the clock of an updater may be from the door's, in seconds: what RFC 8945, 10 recommends.
const FudgeSeconds = 300

// ReplayGuard keeps updates from being done twice, and from coming faster than is allowed. It is told the time. What it
// remembers is bounded by its rate times the time for which a signature holds.
type ReplayGuard struct {
	rate   float64 // updates a second
	room   float64 // how many may come at once: a second's
	last   int64   // unix ns
	began  int64   // unix seconds: what was signed before may have been done by an earlier life
	seen   map[string]Outcome
	expiry []expiry // in order of coming
}

type expiry struct {
	mac   string
	until int64 // unix seconds
}

// Outcome is what an update came to.
type Outcome struct {
	Sender  string // who sent it
	Rcode int
}

// NewReplayGuard makes one that takes what is signed after the time of its start, unix ns.
func NewReplayGuard(rate float64, now int64) *ReplayGuard {
	return &ReplayGuard{rate: rate, room: max(rate, 1), last: now, began: now / 1e9, seen: map[string]Outcome{}}
}

// Verdict is what is to become of a message.
type Verdict uint8

// The verdicts.
const (
	VerdictAccept     Verdict = iota // it is new
	VerdictRepeat                // the same sender asks again, having had no answer: it gets the one it would have had
	VerdictReplay                // it was seen before, or its time is up
	VerdictRateLimited                 // there are too many
)

// Check says what is to become of a message that is signed as it should be, at now (unix ns).
func (g *ReplayGuard) Check(by Signature, from string, now int64) (Verdict, Outcome) {
	g.forget(now / 1e9)
	if d, ok := g.seen[by.MAC]; ok {
		if d.Sender == from {
			return VerdictRepeat, d
		}
		return VerdictReplay, d
	}
	if by.SignedSeconds <= g.began || by.SignedSeconds < now/1e9-FudgeSeconds || by.SignedSeconds > now/1e9+FudgeSeconds {
		return VerdictReplay, Outcome{}
	}
	if g.room = min(g.room+float64(max(now-g.last, 0))/1e9*g.rate, max(g.rate, 1)); g.room < 1 {
		g.last = now
		return VerdictRateLimited, Outcome{}
	}
	g.room, g.last = g.room-1, now
	return VerdictAccept, Outcome{}
}

// Record remembers what became of an update, done here or at another replica.
func (g *ReplayGuard) Record(by Signature, d Outcome, now int64) {
	if _, ok := g.seen[by.MAC]; !ok && by.MAC != "" {
		g.expiry = append(g.expiry, expiry{by.MAC, max(by.SignedSeconds, now/1e9) + FudgeSeconds})
	}
	g.seen[by.MAC] = d
}

// forget drops what no longer holds by its time alone.
func (g *ReplayGuard) forget(now int64) {
	n := 0
	for n < len(g.expiry) && g.expiry[n].until < now {
		delete(g.seen, g.expiry[n].mac)
		n++
	}
	g.expiry = g.expiry[n:]
}

// Len is how many signatures are remembered.
func (g *ReplayGuard) Len() int { return len(g.seen) }
