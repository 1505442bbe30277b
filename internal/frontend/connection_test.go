package frontend

import "testing"

func TestPeerState_Transitions(t *testing.T) {
	for _, test := range []struct{ from, afterError, afterGone peerState }{
		{from: peerServed, afterError: peerErrorSent, afterGone: peerGone},
		{from: peerErrorSent, afterError: peerErrorSent, afterGone: peerErrorSentGone},
		{from: peerGone, afterError: peerErrorSentGone, afterGone: peerGone},
		{from: peerErrorSentGone, afterError: peerErrorSentGone, afterGone: peerErrorSentGone},
	} {
		t.Run(test.from.String(), func(t *testing.T) {
			got := test.from.afterError()
			if got != test.afterError || !got.hasError() || got.isGone() != test.from.isGone() {
				t.Errorf("after an error: %v", got)
			}
			got = test.from.afterGone()
			if got != test.afterGone || !got.isGone() || got.hasError() != test.from.hasError() {
				t.Errorf("after the client has disconnected: %v", got)
			}
		})
	}
}

func TestConnection_InputTransitions(t *testing.T) {
	c := &connection{server: &Server{}}
	if !c.Before() {
		t.Fatal("idle input cannot be read")
	}
	c.After(0)
	if c.input != inputIdle {
		t.Errorf("after a read of 0 bytes: %v", c.input)
	}
	c.Before()
	c.After(1)
	if c.closeInput() || c.input != inputUnhandled {
		t.Errorf("closed with unhandled bytes: %v", c.input)
	}
	c.inputHandled()
	c.pending = []*pendingCommand{{}}
	if c.closeInput() || c.input != inputIdle {
		t.Errorf("closed with a pending command: %v", c.input)
	}
	c.pending = nil
	if !c.closeInput() || !c.isInputClosed() || c.Before() {
		t.Errorf("idle input was not closed: %v", c.input)
	}
	c.inputHandled()
	if !c.isInputClosed() || !c.closeInput() {
		t.Errorf("closed input became %v", c.input)
	}
}
