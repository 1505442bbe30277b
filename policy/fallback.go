package policy

// fallbackDecision decides a request without the counter: first by the estimate of the tenant's attempts in
// flight, if its plan has a concurrency limit, and then by the fallback mode of its class.
func (r *Request) fallbackDecision(now Instant) quotaDecision {
	if r.estimatedAtConcurrencyLimit() {
		return overQuota
	}
	switch r.class.FallbackMode {
	case FailOpen:
		return withinQuota
	case LocalShare:
		if r.localShareAdmits(now) {
			return withinQuota
		}
	case FailClosed:
	}
	return overQuota
}
