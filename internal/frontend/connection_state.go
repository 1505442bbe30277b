package frontend

// inputState is the state of a connection's input. The doc comment of connection has the table of transitions.
type inputState uint8

const (
	inputIdle      inputState = iota // all complete commands read so far have been handled
	inputUnhandled                   // bytes were read that are not handled yet
	inputClosed                      // closed by the server between commands: nothing more is read
)

func (i inputState) String() string {
	names := []string{
		inputIdle:      "idle",
		inputUnhandled: "unhandled",
		inputClosed:    "closed",
	}
	return enumName(names, "inputState", i)
}

// peerState is the state of a connection's client. The doc comment of connection has the table of transitions.
type peerState uint8

const (
	peerServed        peerState = iota // commands are handled and responses are written
	peerErrorSent                      // an error that closes the connection was written
	peerGone                           // the client has disconnected: nothing more is handled or written
	peerErrorSentGone                  // an error that closes the connection was written, and the client has disconnected
)

func (p peerState) String() string {
	names := []string{
		peerServed:        "served",
		peerErrorSent:     "error sent",
		peerGone:          "gone",
		peerErrorSentGone: "error sent, gone",
	}
	return enumName(names, "peerState", p)
}

// hasError reports whether an error that closes the connection was written.
func (p peerState) hasError() bool { return p == peerErrorSent || p == peerErrorSentGone }

// isGone reports whether the client has disconnected.
func (p peerState) isGone() bool { return p == peerGone || p == peerErrorSentGone }

// afterError returns the state after an error that closes the connection was written.
func (p peerState) afterError() peerState {
	if p.isGone() {
		return peerErrorSentGone
	}
	return peerErrorSent
}

// afterGone returns the state after the client has disconnected.
func (p peerState) afterGone() peerState {
	if p.hasError() {
		return peerErrorSentGone
	}
	return peerGone
}
