package counter

import "time"

// Stats counts the results of the calls so far.
type Stats struct {
	// Succeeded is the number of calls that ended with a total; metric gw_counter_calls.
	Succeeded uint64
	// Failed is the number of calls that ended without a total; metric gw_counter_failures.
	Failed uint64
	// Outage is the time since the first failure after the last call that succeeded, and 0 if no call has failed
	// since; metric gw_counter_outage_seconds.
	Outage time.Duration
}

// Stats returns counts of the results of the calls so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats.snapshot()
}

// resultStats counts results as they arrive.
type resultStats struct {
	succeeded    uint64
	failed       uint64
	failingSince time.Time // time of the first failure since the last success; zero if none
}

// record counts a result. An outage lasts from the first failure to the next success.
func (s *resultStats) record(err error) {
	if err == nil {
		s.succeeded++
		s.failingSince = time.Time{}
		return
	}
	s.failed++
	if s.failingSince.IsZero() {
		s.failingSince = time.Now()
	}
}

func (s *resultStats) snapshot() Stats {
	stats := Stats{Succeeded: s.succeeded, Failed: s.failed}
	if !s.failingSince.IsZero() {
		stats.Outage = time.Since(s.failingSince)
	}
	return stats
}
