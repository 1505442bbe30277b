package simadapter

import (
	"errors"
	"fmt"

	"fawnplank/internal/config"
	"fawnplank/internal/simwire"
	"fawnplank/policy"
)

// errUnknownEvent is returned for an event code that the wire format does not define.
var errUnknownEvent = errors.New("unknown event code")

// host holds the simulated instances, which share only the reply. It is not safe for concurrent use.
type host struct {
	instances map[uint32]*instance // by wireID
	reply     simwire.Reply
}

func newHost() *host { return &host{instances: map[uint32]*instance{}} }

// eventKind describes a kind of event: its name in errors, and the function that reads and handles one record.
type eventKind struct {
	name   string
	handle func(h *host, now policy.Instant, wireID uint32, f *simwire.Frame) error
}

// eventKinds holds the kinds of events, indexed by their code on the wire. The names appear in
// errors and do not change.
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

// hostEvent returns a kind of event that the host handles itself, whether or not the instance exists.
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

// instanceEvent returns a kind of event that the instance handles. An event for an instance that does not exist
// is read and ignored.
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

// readMessage reads the message of a record. It returns an error unless the whole record could be read.
func readMessage[M any](f *simwire.Frame, read func(*simwire.Frame) (M, error)) (M, error) {
	message, err := read(f)
	if err == nil {
		err = f.Err()
	}
	return message, err
}

// handleFrame handles all records of a frame and adds the actions to the reply. A panic in the engine becomes an
// action in the reply; an error means that the frame is malformed.
func (h *host) handleFrame(frame *simwire.Frame) error {
	now := instantFromMillis(frame.ClockMillis)
	for recordNumber := range frame.RecordCount {
		offset := frame.Offset()
		code := frame.Uint8()
		name, err := h.handleRecord(now, code, frame)
		if err != nil {
			return fmt.Errorf("record %d (code %d %s) at byte %d: %w", recordNumber, code, name, offset, err)
		}
	}
	if frame.Remaining() > 0 {
		return fmt.Errorf("%d bytes after the last of %d records", frame.Remaining(), frame.RecordCount)
	}
	return nil
}

// handleRecord handles one record. It returns the name of the event's kind, or "" if the code is unknown.
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

// endInstanceWithFailure removes an instance and reports the reason to the simulator.
func (h *host) endInstanceWithFailure(wireID uint32, reason string) {
	delete(h.instances, wireID)
	h.reply.Record(actionInstanceFailed).Uint32(wireID).Text(reason)
}

// create starts an instance. An existing instance with the same ID is replaced.
func (h *host) create(now policy.Instant, wireID uint32, m createMessage) {
	settings, err := config.ParseSettings(m.settings)
	if err != nil {
		h.endInstanceWithFailure(wireID, err.Error())
		return
	}
	created := &instance{wireID: wireID, reply: &h.reply, requests: map[policy.RequestID]*policy.Request{}}
	h.instances[wireID] = created
	h.callWithRecover(wireID, func() {
		created.engine = policy.New(policy.Options{Now: now, Seed: m.seed, Settings: settings, Effects: created})
	})
}

// kill removes an instance; no action is sent in reply.
func (h *host) kill(_ policy.Instant, wireID uint32, _ emptyMessage) { delete(h.instances, wireID) }

// ignore drops a message from another instance. The engine neither sends nor uses such messages.
func (h *host) ignore(policy.Instant, uint32, emptyMessage) {}
