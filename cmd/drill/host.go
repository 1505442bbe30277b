package main

import (
	"fmt"

	"fawnplank/internal/config"
	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// Codes of the actions.
const (
	actHandOff = 64 + iota
	actDeny
	actError
	actRevoke
	actSetTimer
	actSample
	_ // DropConns: idle connections are left to close by themselves
	_ // Tell: the decisions talk by the counter alone
	actNoteDown
	actBroken
	actObserve
	_ // Refresh: Observe brings what was missed
	actEnter
)

// outcomes by their status on the wire.
var outcomes = map[uint16]policy.Outcome{100: policy.Succeeded, 301: policy.Failed, 302: policy.Rejected,
	303: policy.TimedOut, 304: policy.ConnectFailed, 305: policy.ConnectionLost, 306: policy.Canceled, 307: policy.NotSent}

// ns and msec turn the wire's milliseconds into nanoseconds and back.
func ns(ms float64) int64   { return config.Nanoseconds(ms) }
func msec(ns int64) float64 { return float64(ns) / 1e6 }

// host holds the front doors of this process, which share nothing but the reply.
type host struct {
	doors map[uint32]*door
	reply simwire.Reply
}

// door is one instance: its decisions, and the handles of its transactions by their id.
type door struct {
	number uint32
	host   *host
	gate   *policy.Engine
	open   map[uint64]*policy.Request
}

func (d *door) record(code uint8) *simwire.Reply { return d.host.reply.Record(code).U32(d.number) }

func (d *door) Send(t policy.RequestID, b policy.BackendID, expire, _ int64) { // the bench sends at once
	d.record(actHandOff).U64(uint64(t)).U32(uint32(b)).F64(msec(expire))
}
func (d *door) Cancel(t policy.RequestID, s policy.AttemptID) {
	d.record(actRevoke).U64(uint64(t)).U8(uint8(s))
}
func (d *door) Reject(t policy.RequestID, comeBack int64) {
	d.record(actDeny).U64(uint64(t)).F64(msec(comeBack))
	d.ended(t)
}
func (d *door) Abort(t policy.RequestID) {
	d.record(actError).U64(uint64(t))
	d.ended(t)
}
func (d *door) Admit(policy.RequestID) {} // the wire has no profile that only counts

// ended lets go of a handle that ended with no shot out, by the counter's answer or a timer.
func (d *door) ended(t policy.RequestID) {
	if h := d.open[uint64(t)]; h != nil && h.Done() {
		delete(d.open, uint64(t))
	}
}
func (d *door) WakeAt(at int64, mark uint64)   { d.record(actSetTimer).F64(msec(at)).U64(mark) }
func (d *door) CheckHealth(b policy.BackendID) { d.record(actSample).U32(uint32(b)) }
func (d *door) WatchEndpoints()                { d.record(actObserve).U8(1) }
func (d *door) Log(text string)                { d.record(actNoteDown).Text(text) }
func (d *door) AddToCounter(c policy.CounterKey, units float64, lifetime int64) {
	d.record(actEnter).U64(uint64(c)).F32(units).F64(msec(lifetime))
}

// batch answers one frame. A broken decision is reported on the wire; an error means that the frame is
// malformed.
func (h *host) batch(f *simwire.Frame) error {
	now := ns(f.Clock)
	for n := 0; n < f.Records; n++ {
		at := f.At()
		code := f.U8()
		name, err := h.event(now, code, f)
		if err == nil {
			err = f.Err()
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d %s) at byte %d: %w", n, code, name, at, err)
		}
	}
	if f.Left() > 0 {
		return fmt.Errorf("%d bytes after the last of %d records", f.Left(), f.Records)
	}
	return nil
}

// guarded runs a decision; if it breaks, that is reported in the place of its instance's further actions.
func (h *host) guarded(number uint32, f *simwire.Frame, decide func()) {
	if f.Err() != nil {
		return
	}
	defer func() {
		if x := recover(); x != nil {
			h.broken(number, fmt.Sprint(x))
		}
	}()
	decide()
}

func (h *host) broken(number uint32, why string) {
	delete(h.doors, number)
	h.reply.Record(actBroken).U32(number).Text(why)
}

// event reads one record and passes its fields on.
func (h *host) event(now int64, code uint8, f *simwire.Frame) (name string, err error) {
	i := f.U32()
	d := h.doors[i]
	switch code {
	case 0:
		seed, text := f.U64(), f.Bytes(int(f.U32()))
		if f.Err() == nil {
			h.create(now, i, seed, text)
		}
		return "Create", nil
	case 1:
		how := f.U8()
		f.U64() // the list's version: the wire gives no list twice
		list := h.listed(f, d)
		if how > uint8(policy.UpdateFailed) {
			return "View", fmt.Errorf("unknown kind of list %d", how)
		}
		if d != nil {
			h.guarded(i, f, func() { d.gate.UpdateEndpoints(now, policy.UpdateKind(how), list) })
		}
		return "View", nil
	case 2:
		id, profile, plan, customer := f.U64(), f.U16(), f.U32(), f.U64()
		left, units, entries, first := f.F64(), f.F32(), f.F32(), f.F32()
		f.U8() // flags: the decisions read none
		if d != nil {
			h.guarded(i, f, func() {
				d.keep(id, d.gate.Submit(now, policy.RequestSpec{
					ID:            policy.RequestID(id),
					Class:         policy.ClassID(profile),
					Plan:          policy.PlanID(plan),
					Tenant:        policy.TenantID(customer),
					Remaining:     ns(left),
					Units:         units,
					EntryPoints:   whole(entries),
					FirstInstance: whole(first),
				}))
			})
		}
		return "Call", nil
	case 3:
		id, n := f.U64(), f.U8()
		f.U32()
		f.F64()
		if t := d.find(id); t != nil {
			h.guarded(i, f, func() { t.HandleResponseStarted(now, policy.AttemptID(n)) })
		}
		return "Accepted", nil
	case 4:
		id, n := f.U64(), f.U8()
		f.U32() // the backend: known from the shot
		status, elapsed, over := f.U16(), f.F64(), f.U8()
		f.U16() // the meter: the decisions go by the counter
		units := float64(f.U16())
		skipReport(f)
		o, ok := outcomes[status]
		if f.Err() == nil && !ok {
			return "Settled", fmt.Errorf("unknown status %d", status)
		}
		if t := d.find(id); t != nil {
			h.guarded(i, f, func() {
				t.HandleAttemptResult(now, policy.AttemptResult{
					Attempt:     policy.AttemptID(n),
					Outcome:     o,
					Elapsed:     ns(elapsed),
					RequestDone: over != 0,
					TrueUnits:   units,
				})
				d.keep(id, t)
			})
		}
		return "Settled", nil
	case 5:
		id := f.U64()
		if t := d.find(id); t != nil {
			h.guarded(i, f, func() {
				t.HandleClientGone(now)
				d.keep(id, t)
			})
		}
		return "ClientLeft", nil
	case 6:
		mark := f.U64()
		if d != nil {
			h.guarded(i, f, func() { d.gate.HandleTimer(now, mark) })
		}
		return "Timer", nil
	case 7:
		b, status, _ := f.U32(), f.U16(), f.F64()
		skipReport(f)
		o, ok := outcomes[status]
		if f.Err() == nil && !ok {
			return "ProbeDone", fmt.Errorf("unknown status %d", status)
		}
		if d != nil {
			h.guarded(i, f, func() { d.gate.HandleHealthCheck(now, policy.BackendID(b), o) })
		}
		return "ProbeDone", nil
	case 8:
		f.U32()
		f.Bytes(int(f.U16()))
		return "Inbox", nil // the decisions send no messages and expect none
	case 9:
		delete(h.doors, i)
		return "Killed", nil
	case 10:
		status, counter, _, total := f.U16(), f.U64(), f.F64(), f.F32()
		o, ok := outcomes[status]
		if f.Err() == nil && !ok {
			return "TallyBack", fmt.Errorf("unknown status %d", status)
		}
		if d != nil {
			h.guarded(i, f, func() { d.gate.HandleCounterResult(now, o, policy.CounterKey(counter), total) })
		}
		return "TallyBack", nil
	}
	if f.Err() != nil {
		return "", nil
	}
	return "", fmt.Errorf("unknown event code")
}

// whole turns a count that the wire sends as a real number into an int.
func whole(x float64) int { return int(min(max(x, 0), 1e9)) }

func (h *host) create(now int64, number uint32, seed uint64, text []byte) {
	terms, err := config.ParseSettings(text)
	if err != nil {
		h.broken(number, err.Error())
		return
	}
	d := &door{number: number, host: h, open: map[uint64]*policy.Request{}}
	h.doors[number] = d
	h.guarded(number, &simwire.Frame{}, func() { d.gate = policy.New(now, seed, terms, d) })
}

// listed reads the lines of a list of backends.
func (h *host) listed(f *simwire.Frame, d *door) []policy.Endpoint {
	const lineBytes = 22
	list := make([]policy.Endpoint, f.Count(int(f.U32()), lineBytes))
	stages := map[uint8]policy.EndpointState{0: policy.EndpointDraining, 1: policy.EndpointReady, 3: policy.EndpointGone}
	for n := range list {
		l := &list[n]
		l.Backend, l.Zone = policy.BackendID(f.U32()), policy.ZoneID(f.U16())
		f.U8() // the kind of machine: answer times tell
		l.Group = policy.GroupID(f.U16())
		state := f.U8()
		l.Capacity = f.F32()
		l.StartedAt = ns(f.F64())
		stage, ok := stages[state]
		if !ok && d != nil {
			d.Log(fmt.Sprintf("backend %d has unknown state %d: taken for draining", l.Backend, state))
		}
		l.State = stage
	}
	return list
}

// keep holds on to a handle until nothing more will come for it.
func (d *door) keep(id uint64, t *policy.Request) {
	if t.Done() {
		delete(d.open, id)
	} else {
		d.open[id] = t
	}
}

func (d *door) find(id uint64) *policy.Request {
	if d == nil {
		return nil
	}
	return d.open[id]
}

// skipReport passes over a load report: the decisions go by what the backends answer.
func skipReport(f *simwire.Frame) {
	f.Bytes(4 * int(f.U8()))
}
