package dnsserver

import "sync/atomic"

// counters has the counts that Stats returns.
type counters struct {
	updatesApplied    atomic.Uint64
	updatesRefused    atomic.Uint64
	signaturesRefused atomic.Uint64
	rateLimited       atomic.Uint64
	updatesNotStored  atomic.Uint64
}

// Stats has the numbers of messages by outcome since the start. The counters are not read atomically as a group, so a
// message in progress may be counted in one field and not yet in another.
type Stats struct {
	UpdatesApplied    uint64 // updates that changed the zone
	UpdatesRefused    uint64 // updates refused because of their content
	SignaturesRefused uint64 // messages without a valid signature, including replays
	RateLimited       uint64 // messages over a limit
	UpdatesNotStored  uint64 // updates that could not be stored in the journal or the store
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	return Stats{
		UpdatesApplied:    s.counters.updatesApplied.Load(),
		UpdatesRefused:    s.counters.updatesRefused.Load(),
		SignaturesRefused: s.counters.signaturesRefused.Load(),
		RateLimited:       s.counters.rateLimited.Load(),
		UpdatesNotStored:  s.counters.updatesNotStored.Load(),
	}
}
