package simadapter

import (
	"errors"
	"fmt"

	"fawnplank/internal/config"
	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// errUnknownEvent reports a code that the wire does not define.
var errUnknownEvent = errors.New("unknown event code")

// host holds the instances of this process, which share nothing but the reply. Only one goroutine may use it.
type host struct {
	instances map[uint32]*instance // by wireID
	reply     simwire.Reply
}

func newHost() *host { return &host{instances: map[uint32]*instance{}} }

// eventKind is a kind of event: its name in errors, and how one of its records is read and handled.
type eventKind struct {
	name   string
	handle func(h *host, now policy.Instant, wireID uint32, f *simwire.Frame) error
}

// eventKinds lists the kinds of events by their code, with the names that errors have always given them.
var eventKinds = [...]eventKind{
	eventCreate:          hostEvent("Create", readCreate, (*host).create),
	eventEndpoints:       instanceEvent("View", readEndpoints, (*instance).handleEndpoints),
	eventSubmit:          instanceEvent("Call", readSubmit, (*instance).handleSubmit),
	eventResponseStarted: instanceEvent("Accepted", readResponseStarted, (*instance).handleResponseStarted),
	eventAttemptResult:   instanceEvent("Settled", readAttemptResult, (*instance).handleAttemptResult),
	eventClientGone:      instanceEvent("ClientLeft", readClientGone, (*instance).handleClientGone),
	eventTimer:           instanceEvent("Timer", readTimer, (*instance).handleTimer),
	eventHealthCheck:     instanceEvent("ProbeDone", readHealthCheck, (*instance).handleHealthCheck),
	eventPeerMessage:     hostEvent("Inbox", readPeerMessage, (*host).ignore),
	eventKill:            hostEvent("Killed", readEmpty, (*host).kill),
	eventCounterResult:   instanceEvent("TallyBack", readCounterResult, (*instance).handleCounterResult),
}

// hostEvent returns a kind of event that the host handles, whether or not the instance exists.
func hostEvent[M any](
	name string,
	read func(*simwire.Frame) (M, error),
	handle func(h *host, now policy.Instant, wireID uint32, message M),
) eventKind {
	return eventKind{name: name, handle: func(h *host, now policy.Instant, wireID uint32, f *simwire.Frame) error {
		message, err := readMessage(f, read)
		if err != nil {
			return err
		}
		handle(h, now, wireID, message)
		return nil
	}}
}

// instanceEvent returns a kind of event that an instance handles. An event of an instance that does not exist
// is ignored.
func instanceEvent[M any](
	name string,
	read func(*simwire.Frame) (M, error),
	handle func(in *instance, now policy.Instant, message M),
) eventKind {
	return eventKind{name: name, handle: func(h *host, now policy.Instant, wireID uint32, f *simwire.Frame) error {
		message, err := readMessage(f, read)
		if err != nil {
			return err
		}
		if in := h.instances[wireID]; in != nil {
			h.callWithRecover(wireID, func() { handle(in, now, message) })
		}
		return nil
	}}
}

// readMessage reads a message. It returns an error unless the whole record could be read.
func readMessage[M any](f *simwire.Frame, read func(*simwire.Frame) (M, error)) (M, error) {
	message, err := read(f)
	if err == nil {
		err = f.Err()
	}
	return message, err
}

// handleFrame answers one frame. A panic in the engine is reported on the wire; an error means that the
// frame is malformed.
func (h *host) handleFrame(f *simwire.Frame) error {
	now := instantFromMillis(f.ClockMillis)
	for n := range f.RecordCount {
		offset := f.Offset()
		code := f.Uint8()
		name, err := h.handleRecord(now, code, f)
		if err != nil {
			return fmt.Errorf("record %d (code %d %s) at byte %d: %w", n, code, name, offset, err)
		}
	}
	if f.Remaining() > 0 {
		return fmt.Errorf("%d bytes after the last of %d records", f.Remaining(), f.RecordCount)
	}
	return nil
}

// handleRecord handles one record and returns the name of its kind of event, or "" if there is no such kind.
func (h *host) handleRecord(now policy.Instant, code uint8, f *simwire.Frame) (name string, err error) {
	wireID := f.Uint32()
	if int(code) < len(eventKinds) {
		kind := &eventKinds[code]
		return kind.name, kind.handle(h, now, wireID, f)
	}
	if err := f.Err(); err != nil {
		return "", err
	}
	return "", errUnknownEvent
}

// callWithRecover calls the engine. If the engine panics, it ends the instance and reports the panic to the
// simulator, which receives no further action of the instance.
func (h *host) callWithRecover(wireID uint32, engineCall func()) {
	defer func() {
		if reason := recover(); reason != nil {
			h.endInstanceWithFailure(wireID, fmt.Sprint(reason))
		}
	}()
	engineCall()
}

// endInstanceWithFailure ends an instance and reports why.
func (h *host) endInstanceWithFailure(wireID uint32, reason string) {
	delete(h.instances, wireID)
	h.reply.Record(actionInstanceFailed).Uint32(wireID).Text(reason)
}

// create starts an instance, and replaces the one with the same ID if there is one.
func (h *host) create(now policy.Instant, wireID uint32, m createMessage) {
	settings, err := config.ParseSettings(m.settings)
	if err != nil {
		h.endInstanceWithFailure(wireID, err.Error())
		return
	}
	in := &instance{wireID: wireID, reply: &h.reply, requests: map[policy.RequestID]*policy.Request{}}
	h.instances[wireID] = in
	h.callWithRecover(wireID, func() {
		in.engine = policy.New(policy.Options{Now: now, Seed: m.seed, Settings: settings, Effects: in})
	})
}

// kill ends an instance without a reply.
func (h *host) kill(_ policy.Instant, wireID uint32, _ emptyMessage) { delete(h.instances, wireID) }

// ignore handles messages from other instances: the engine sends none and expects none.
func (h *host) ignore(policy.Instant, uint32, emptyMessage) {}
