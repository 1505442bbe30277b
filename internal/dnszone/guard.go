package dnszone

// Window is how far the clock of an updater may be from the door's, in seconds: what RFC 8945, 10 recommends.
const Window = 300

// Guard keeps updates from being done twice, and from coming faster than is allowed. It is told the time. What it
// remembers is bounded by its rate times the time for which a signature holds.
type Guard struct {
	rate   float64 // updates a second
	room   float64 // how many may come at once: a second's
	last   int64   // unix ns
	began  int64   // unix seconds: what was signed before may have been done by an earlier life
	seen   map[string]Done
	expiry []expiry // in order of coming
}

type expiry struct {
	mac   string
	until int64 // unix seconds
}

// Done is what an update came to.
type Done struct {
	From  string // who sent it
	Rcode int
}

// NewGuard makes one that takes what is signed after the time of its start, unix ns.
func NewGuard(rate float64, now int64) *Guard {
	return &Guard{rate: rate, room: max(rate, 1), last: now, began: now / 1e9, seen: map[string]Done{}}
}

// Verdict is what is to become of a message.
type Verdict uint8

// The verdicts.
const (
	Go     Verdict = iota // it is new
	Repeat                // the same sender asks again, having had no answer: it gets the one it would have had
	Replay                // it was seen before, or its time is up
	Flood                 // there are too many
)

// Judge says what is to become of a message that is signed as it should be, at now (unix ns).
func (g *Guard) Judge(by By, from string, now int64) (Verdict, Done) {
	g.forget(now / 1e9)
	if d, ok := g.seen[by.MAC]; ok {
		if d.From == from {
			return Repeat, d
		}
		return Replay, d
	}
	if by.Signed <= g.began || by.Signed < now/1e9-Window || by.Signed > now/1e9+Window {
		return Replay, Done{}
	}
	if g.room = min(g.room+float64(max(now-g.last, 0))/1e9*g.rate, max(g.rate, 1)); g.room < 1 {
		g.last = now
		return Flood, Done{}
	}
	g.room, g.last = g.room-1, now
	return Go, Done{}
}

// Note remembers what became of an update, done here or at another replica.
func (g *Guard) Note(by By, d Done, now int64) {
	if _, ok := g.seen[by.MAC]; !ok && by.MAC != "" {
		g.expiry = append(g.expiry, expiry{by.MAC, max(by.Signed, now/1e9) + Window})
	}
	g.seen[by.MAC] = d
}

// forget drops what no longer holds by its time alone.
func (g *Guard) forget(now int64) {
	n := 0
	for n < len(g.expiry) && g.expiry[n].until < now {
		delete(g.seen, g.expiry[n].mac)
		n++
	}
	g.expiry = g.expiry[n:]
}

// Remembers is how many signatures are remembered.
func (g *Guard) Remembers() int { return len(g.seen) }
