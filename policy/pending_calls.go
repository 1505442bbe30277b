package policy

import "math"

// counterCall is one unanswered call to the counter.
type counterCall struct {
	tenant      *tenant
	request     *Request // nil: the call only corrects the count
	windowStart int64    // of the window that the count belongs to
	amount      float64  // units that were added
	units       float64  // those of the request and of the ones that it stands for
	reconciled  float64  // the window's, when the call was made
	attempts    int      // in flight that were added
	waiting     bool     // the answer decides the request
	admitted    bool     // the request was admitted
}

// pendingCalls are the unanswered calls by the count, each in the order in which they were made: the counter
// answers them in that order.
type pendingCalls map[CounterKey][]*counterCall

func (p pendingCalls) push(key CounterKey, call *counterCall) { p[key] = append(p[key], call) }

// pop returns the oldest call for a count; nil: there is none.
func (p pendingCalls) pop(key CounterKey) *counterCall {
	calls := p[key]
	if len(calls) == 0 {
		return nil
	}
	if p[key] = calls[1:]; len(calls) == 1 {
		delete(p, key)
	}
	return calls[0]
}

// splitTotal separates a count's total into its units and the attempts in flight that are counted beside
// them.
func (p *plan) splitTotal(total float64) (units, inFlight float64) {
	if p.concurrencyUnit <= 0 {
		return total, 0
	}
	inFlight = math.Round(total / p.concurrencyUnit)
	return total - inFlight*p.concurrencyUnit, inFlight
}
