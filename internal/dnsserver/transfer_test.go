package dnsserver

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// startSecondary starts a name server that acknowledges NOTIFY messages. It returns the server's address, and a channel
// with the serials in these messages.
func startSecondary(t *testing.T) (address string, serials <-chan uint32) {
	t.Helper()
	var config net.ListenConfig
	udpConn, err := config.ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	notifiedSerials := make(chan uint32, 10)
	handler := func(w dns.ResponseWriter, m *dns.Msg) {
		if m.Opcode == dns.OpcodeNotify && len(m.Answer) == 1 {
			notifiedSerials <- m.Answer[0].(*dns.SOA).Serial
		}
		if err := w.WriteMsg(new(dns.Msg).SetReply(m)); err != nil {
			t.Error(err)
		}
	}
	server := &dns.Server{PacketConn: udpConn, Handler: dns.HandlerFunc(handler)}
	stopped := make(chan error, 1)
	go func() { stopped <- server.ActivateAndServe() }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return udpConn.LocalAddr().String(), notifiedSerials
}

// countTransferredRecords requests a signed transfer and returns the number of records received.
func countTransferredRecords(t *testing.T, s *testServer, request *dns.Msg) (records int) {
	t.Helper()
	transfer := &dns.Transfer{TsigProvider: newKeyring([]Key{testKey})}
	envelopes, err := transfer.In(sign(request, testKey), s.Address())
	if err != nil {
		t.Fatal(err)
	}
	for envelope := range envelopes {
		if envelope.Error != nil {
			t.Fatal(envelope.Error)
		}
		records += len(envelope.RR)
	}
	return records
}

// TestServer_AnswersQueries queries names in the zone: with and without records, an alias, and one that does not exist.
// All answers are authoritative. An answer that exceeds a UDP message is truncated over UDP and complete over TCP.
func TestServer_AnswersQueries(t *testing.T) {
	s := mustStart(t, newOptions(t, zoneFileText(7, 400)+"alias CNAME n1\n"))
	for _, test := range []struct {
		name    string
		rrtype  uint16
		rcode   int
		answers int
	}{
		{name: "calc.example.", rrtype: dns.TypeSOA, answers: 1},
		{name: "n1.calc.example.", rrtype: dns.TypeA, answers: 1},
		{name: "N1.Calc.Example.", rrtype: dns.TypeA, answers: 1},
		{name: "n1.calc.example.", rrtype: dns.TypeAAAA},
		{name: "alias.calc.example.", rrtype: dns.TypeA, answers: 2},
		{name: "nobody.calc.example.", rrtype: dns.TypeA, rcode: dns.RcodeNameError},
		{name: "_tcp.calc.example.", rrtype: dns.TypeA},
	} {
		question := new(dns.Msg).SetQuestion(test.name, test.rrtype)
		answer, _, err := new(dns.Client).Exchange(question, s.Address())
		if err != nil {
			t.Fatal(err)
		}
		hasSOA := test.answers > 0 || len(answer.Ns) == 1
		isExpected := answer.Rcode == test.rcode && len(answer.Answer) == test.answers
		if !isExpected || !answer.Authoritative || !hasSOA {
			t.Errorf("%s %s: %s", test.name, dns.Type(test.rrtype), answer)
		}
	}
	question := new(dns.Msg).SetQuestion(testSettings.Service, dns.TypeSRV)
	if answer, _, err := new(dns.Client).Exchange(question, s.Address()); err != nil || !answer.Truncated {
		t.Error("an answer that exceeds a UDP message is not marked as truncated")
	}
	tcp := &dns.Client{Net: "tcp"}
	if answer, _, err := tcp.Exchange(question, s.Address()); err != nil || len(answer.Answer) != 400 {
		t.Error("the answer over TCP is not complete")
	}
}

// TestServer_TransfersToSecondaries checks that a secondary is notified of changes, and that a transfer contains the
// complete zone, or only the changes since the secondary's serial if they are kept.
func TestServer_TransfersToSecondaries(t *testing.T) {
	address, serials := startSecondary(t)
	options := newOptions(t, zoneFileText(7, 400)+"alias CNAME n1\n")
	options.Secondaries = []string{address}
	s := mustStart(t, options)
	axfr := new(dns.Msg).SetAxfr(testSettings.Origin)
	if n := countTransferredRecords(t, s, axfr); n != 400*2+3+2 {
		t.Errorf("%d records in a transfer of the complete zone", n)
	}
	for n := 1; n <= 2; n++ {
		rcode := s.sendUpdate(t, "udp", fmt.Sprintf("-%sn%d.calc.example.", srvPrefix, n))
		if rcode != dns.RcodeSuccess {
			t.Error(dns.RcodeToString[rcode])
		}
	}
	ixfr := func(serial uint32) *dns.Msg {
		return new(dns.Msg).SetIxfr(testSettings.Origin, serial, "ns.", "admin.")
	}
	if n := countTransferredRecords(t, s, ixfr(7)); n != 2+2*3 {
		t.Errorf("%d records in a transfer of two changes", n)
	}
	if n := countTransferredRecords(t, s, ixfr(9)); n != 1 {
		t.Errorf("%d records in a transfer to an up-to-date secondary", n)
	}
	if n := countTransferredRecords(t, s, ixfr(3)); n != 398+400+3+2 {
		t.Errorf("%d records in a transfer from a serial whose changes are not kept", n)
	}
	for lastSerial := uint32(0); lastSerial != 9; {
		select {
		case lastSerial = <-serials:
		case <-time.After(5 * time.Second):
			t.Fatal("the secondary was not notified of the last change")
		}
	}
}
