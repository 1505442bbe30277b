package frontend

import "testing"

func TestPeerState_Transitions(t *testing.T) {
	for _, test := range []struct{ from, rejected, left peerState }{
		{peerServed, peerRejected, peerGone},
		{peerRejected, peerRejected, peerRejectedGone},
		{peerGone, peerRejectedGone, peerGone},
		{peerRejectedGone, peerRejectedGone, peerRejectedGone},
	} {
		t.Run(test.from.String(), func(t *testing.T) {
			if got := test.from.reject(); got != test.rejected || !got.rejected() || got.gone() != test.from.gone() {
				t.Errorf("rejected: %v", got)
			}
			if got := test.from.leave(); got != test.left || !got.gone() || got.rejected() != test.from.rejected() {
				t.Errorf("left: %v", got)
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
		t.Errorf("after a read of nothing: %v", c.input)
	}
	c.Before()
	c.After(1)
	if c.closeInput() || c.input != inputUnhandled {
		t.Errorf("closed over bytes that were read: %v", c.input)
	}
	c.inputHandled()
	c.pending = []*pendingCommand{{}}
	if c.closeInput() || c.input != inputIdle {
		t.Errorf("closed over a pending command: %v", c.input)
	}
	c.pending = nil
	if !c.closeInput() || !c.isInputClosed() || c.Before() {
		t.Errorf("idle input not closed: %v", c.input)
	}
	c.inputHandled()
	if !c.isInputClosed() || !c.closeInput() {
		t.Errorf("closed input became %v", c.input)
	}
}
