package policy

// Request is the handle of a request that was submitted.
type Request struct {
	engine      *Engine
	id          RequestID
	class       *class
	plan        *plan
	tenant      *tenant
	units       float64
	entryPoints float64
	position    int // this instance's place among the tenant's entry points

	submittedAt int64
	objectiveAt int64 // when the answer is due
	deadline    int64 // when the client gives up

	hardQuotaUnits    float64 // drawn from the hard quota
	withinQuota       bool    // counted as admitted; false: beyond the quota, or not admitted yet
	waitingForCounter bool
	responseStarted   bool
	finished          bool

	attempts []*attempt
	inFlight int
}

// attempt is one of a request's attempts.
type attempt struct {
	backend        *backend
	zone           ZoneID // of the backend, when the attempt was sent
	group          GroupID
	sentAt         int64
	concurrency    float64 // attempts in flight at the backend from this instance, with this one
	inFlight       bool
	mayHaveRun     bool
	overdue        bool // in flight for longer than the attempt timeout
	baselineSample bool // one of the first attempts of the instance
}

func newRequest(e *Engine, now int64, spec RequestSpec) *Request {
	instances := max(e.settings.Instances, 1)
	return &Request{
		engine:      e,
		id:          spec.ID,
		units:       max(spec.Units, 0),
		entryPoints: float64(max(spec.EntryPoints, 1)),
		position:    ((e.settings.InstanceIndex-spec.FirstInstance)%instances + instances) % instances,
		submittedAt: now,
		deadline:    now + max(spec.Remaining, 0),
	}
}

// addAttempt notes that another attempt is in flight at a backend.
func (r *Request) addAttempt(now int64, b *backend) *attempt {
	r.inFlight++
	r.tenant.inFlight++
	b.inFlight++
	r.engine.inFlight++
	r.engine.promptInFlight++
	a := &attempt{
		backend:     b,
		zone:        b.zone,
		group:       b.group,
		sentAt:      now,
		concurrency: float64(b.inFlight),
		inFlight:    true,
		mayHaveRun:  true,
	}
	r.attempts = append(r.attempts, a)
	return a
}

// removeAttempt notes that an attempt is no longer in flight.
func (r *Request) removeAttempt(a *attempt, outcome Outcome) {
	a.inFlight = false
	a.mayHaveRun = outcome.mayHaveRun()
	r.inFlight--
	r.tenant.inFlight--
	a.backend.inFlight--
	r.engine.inFlight--
	if !a.overdue {
		r.engine.promptInFlight--
	}
}

// HandleResponseStarted says that the response of an attempt has begun to stream: the client owns it from now
// on.
func (r *Request) HandleResponseStarted(now int64, id AttemptID) {
	r.responseStarted = true
	if int(id) < len(r.attempts) {
		r.attempts[id].backend.lastAnswerAt = now
	}
}

// Done reports that nothing more comes for this handle.
func (r *Request) Done() bool { return r.finished && r.inFlight == 0 }
