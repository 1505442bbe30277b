package frontend

// inputState is how far the reader has handled the bytes of a connection. The doc comment of connection has the
// table of transitions.
type inputState uint8

const (
	inputIdle      inputState = iota // all complete commands read so far have been handled
	inputUnhandled                   // bytes were read that have not been handled yet
	inputClosed                      // closed by the server between requests: nothing more is read
)

func (i inputState) String() string {
	names := []string{
		inputIdle:      "idle",
		inputUnhandled: "unhandled",
		inputClosed:    "closed",
	}
	return enumName(names, "inputState", i)
}

// peerState is how the server treats the client at the other end. The doc comment of connection has the table of
// transitions.
type peerState uint8

const (
	peerServed        peerState = iota // commands are handled and responses are written
	peerErrorSent                      // an error that ends the connection was written
	peerGone                           // the client has gone: nothing more is handled or written
	peerErrorSentGone                  // an error that ends the connection was written, and the client has gone
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

// hasError reports whether an error that ends the connection was written.
func (p peerState) hasError() bool { return p == peerErrorSent || p == peerErrorSentGone }

// isGone reports whether the client has gone.
func (p peerState) isGone() bool { return p == peerGone || p == peerErrorSentGone }

// afterError returns the state after an error that ends the connection.
func (p peerState) afterError() peerState {
	if p.isGone() {
		return peerErrorSentGone
	}
	return peerErrorSent
}

// afterGone returns the state after the client has gone.
func (p peerState) afterGone() peerState {
	if p.hasError() {
		return peerErrorSentGone
	}
	return peerGone
}
