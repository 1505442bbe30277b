package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
	"unicode"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

// errRequestIDInUse is sent on the wire.
var errRequestIDInUse = errors.New("id is that of an open transaction")

// integerLineBytes is enough for the decimal digits of any 64-bit integer, its sign, and the end of its line.
const integerLineBytes = 24

// span is a part of a command: begin is the index of its first byte, end the index after its last.
type span struct{ begin, end int }

func (s span) size() int { return s.end - s.begin }

// spanOf returns the position of part in raw. part must be a slice of raw whose capacity ends where raw's
// does.
func spanOf(raw, part []byte) span {
	begin := cap(raw) - cap(part)
	return span{begin: begin, end: begin + len(part)}
}

// pendingCommand is a command that has no response yet. Commands that need no request are answered at once.
type pendingCommand struct {
	connection    *connection
	isRequest     bool              // false if the command is answered at once
	request       *dispatch.Request // nil if the command is answered at once
	class         policy.ClassID
	id            string
	raw           []byte
	fields        span // of raw: the list of names and values
	remaining     span // of raw: the value of d
	response      []byte
	budgetedBytes int64         // of the budget, for raw
	usage         *requestUsage // nil if usage is not recorded
}

// requestUsage is what the recorded usage of a request is based on: the values at the time when the request
// was received, whatever changes until it is answered.
type requestUsage struct {
	tenant     string
	plan       string
	receivedAt time.Time
	units      float64
}

// handleCommand starts a command.
func (c *connection) handleCommand(raw []byte, words [][]byte) {
	if bytes.ContainsFunc(words[0], unicode.IsLower) { // rare, and ToUpper allocates
		words[0] = bytes.ToUpper(words[0])
	}
	switch string(words[0]) {
	case "SVC.QUERY", "SVC.SUBMIT":
		c.handleRequest(raw, words)
	case "PING":
		if c.server.Draining() {
			c.server.rejectedPings.Add(1)
			c.respondLine("-ERR draining")
		} else {
			c.respondLine("+PONG")
		}
	case "CLIENT", "SELECT":
		c.respondLine("+OK")
	default:
		c.respondInvalid(fmt.Sprintf("unknown command %.40q", words[0]))
	}
}

// handleRequest parses and submits a request, or answers it with an error.
func (c *connection) handleRequest(raw []byte, words [][]byte) {
	c.received.Add(1)
	c.server.received.Add(1)
	head := requestHead{config: c.server.config.Load()}
	err := head.parse(words)
	if err == nil && c.server.rejectsRequests() {
		c.server.metrics.RequestAnswered(head.class, metrics.RequestRejected)
		c.server.rejectedRequests.Add(1)
		c.respondLine("-BUSY")
		return
	}
	if err == nil {
		err = c.submit(&head, raw)
	}
	if err == nil {
		return
	}
	if head.hasClass {
		c.server.metrics.RequestAnswered(head.class, metrics.RequestFailed)
	}
	c.respondInvalid(err.Error())
}

// submit makes a request pending and submits it to the dispatcher. If the connection ends meanwhile, submit
// does neither and returns no error, since nobody waits for a response.
func (c *connection) submit(head *requestHead, raw []byte) error {
	p := &pendingCommand{
		connection: c, isRequest: true, class: head.class, id: string(head.id), raw: raw,
		fields: spanOf(raw, head.fields), remaining: spanOf(raw, head.remainingText),
	}
	if !c.server.claimRequestID(p.id) {
		return errRequestIDInUse
	}
	if !c.enqueue(p) {
		c.server.releaseRequestID(p.id)
		return nil
	}
	c.handOver(p)
	plan := p.resolvePlan(head)
	c.server.metrics.RequestReceived()
	p.request = c.server.dispatcher.Submit(dispatch.RequestSpec{
		Class: head.class, Plan: plan, Tenant: head.tenant,
		Timeout: head.remaining - c.waited(),
		Units:   head.units, EntryPoints: head.entryPoints, FirstInstance: head.firstInstance,
	})
	go p.run()
	return nil
}

// handOver gives the command its own bytes, since the reader reuses the buffer for the next command. A small
// command gets a copy. A large command takes over the buffer itself, and the reader starts a new one.
func (c *connection) handOver(p *pendingCommand) {
	if len(p.raw) <= maxUnbudgetedBytes {
		p.raw = bytes.Clone(p.raw)
		return
	}
	p.budgetedBytes = c.reader.budgetedBytes
	c.reader.budgetedBytes = 0
	c.reader.bufferHandedOver = true
}

// resolvePlan returns the plan under which the request is submitted: the one that its tenant has moved to, if
// any, otherwise the one that it names. If usage is recorded, resolvePlan also stores what that record will
// contain.
func (p *pendingCommand) resolvePlan(head *requestHead) policy.PlanID {
	recorder := p.connection.server.usage
	if recorder == nil {
		return head.plan
	}
	p.usage = &requestUsage{
		tenant: strings.ToLower(string(head.tenantText)), plan: string(head.planName),
		receivedAt: time.Now(), units: head.units,
	}
	current, moved := recorder.TenantPlan(p.usage.tenant)
	if !moved {
		return head.plan
	}
	plan, known := head.config.Plans[current]
	if !known { // this instance's settings lack the current plan: the one named in the request applies
		return head.plan
	}
	p.usage.plan = current
	return plan
}

// run carries out the steps of a request up to its response.
func (p *pendingCommand) run() {
	defer p.recoverPanic()
	for {
		step := p.request.NextStep()
		if step.Action != dispatch.Send {
			p.conclude(step)
			return
		}
		p.connection.server.pool.Send(step.Attempt, p.rewritten(step.Attempt.Remaining()))
	}
}

// recoverPanic answers a request whose goroutine panicked with an error, so that the process and the order of
// responses go on.
func (p *pendingCommand) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	logging.Panicked(logComponent, fmt.Sprintf("request %s: %v", p.id, cause), debug.Stack())
	p.request.HandleClientGone()
	p.connection.server.metrics.RequestAnswered(p.class, metrics.RequestFailed)
	p.connection.complete(p, []byte("-ERR internal fault\r\n"))
}

// conclude answers a request according to its final step, and counts it.
func (p *pendingCommand) conclude(step dispatch.Step) {
	c, s := p.connection, p.connection.server
	switch step.Action {
	case dispatch.Respond:
		s.metrics.RequestAnswered(p.class, metrics.RequestSucceeded)
		if p.usage != nil {
			s.usage.RecordUsage(p.usage.tenant, p.usage.plan, p.usage.receivedAt, p.usage.units)
		}
		c.complete(p, step.Response)
	case dispatch.Reject:
		s.metrics.RequestAnswered(p.class, metrics.RequestRejected)
		c.complete(p, busyResponse(step.RetryAfter))
	case dispatch.Abort:
		s.metrics.RequestAnswered(p.class, metrics.RequestFailed)
		c.complete(p, []byte("-ERR failed\r\n"))
	default: // the client has gone
		c.complete(p, nil)
	}
}

// rewritten returns the command with the value of d replaced by remaining, which is how long the dispatcher
// waits for the attempt. The command is returned in pieces to be written one after another.
func (p *pendingCommand) rewritten(remaining time.Duration) [][]byte {
	milliseconds := max(int64(remaining/time.Millisecond), 1)
	value := strconv.AppendInt(make([]byte, 0, integerLineBytes), milliseconds, 10)
	fieldsSize := p.fields.size() + len(value) - p.remaining.size()
	sizeLine := strconv.AppendInt(make([]byte, 0, integerLineBytes), int64(fieldsSize), 10)
	sizeLine = append(sizeLine, "\r\n"...)
	// The line with the size of the fields begins at its dollar sign and ends immediately before the fields.
	dollar := bytes.LastIndexByte(p.raw[:p.fields.begin], '$')
	before, after := p.raw[p.fields.begin:p.remaining.begin], p.raw[p.remaining.end:]
	return [][]byte{p.raw[:dollar+1], sizeLine, before, value, after}
}
