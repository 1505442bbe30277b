package dnsserver

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/testutil"
)

type refusedMessage struct {
	name             string
	message          *dns.Msg
	key              Key
	rcode, tsigError int
}

// refusedMessages returns messages that a server with the backends n1 and n2 must refuse.
func refusedMessages(t *testing.T) []refusedMessage {
	t.Helper()
	newRemoval := func() *dns.Msg { return newUpdate(t, "-"+srvPrefix+"n1.calc.example.") }
	signedAt := func(fudgeSeconds uint16, offsetSeconds int64) *dns.Msg {
		signedSeconds := time.Now().Unix() + offsetSeconds
		return newRemoval().SetTsig(testKey.Name, testKey.Algorithm, fudgeSeconds, signedSeconds)
	}
	unknownKey := Key{Name: "stranger.", Algorithm: dns.HmacSHA256, Secret: testKey.Secret}
	wrongSecret := testKey
	wrongSecret.Secret = []byte("another secret of the same name")
	wrongAlgorithm := testKey
	wrongAlgorithm.Algorithm = dns.HmacSHA512
	updateOfOtherZone := new(dns.Msg).SetUpdate("other.example.")
	queryOutsideZone := new(dns.Msg).SetQuestion("example.com.", dns.TypeA)
	partlyValid := newUpdate(t, "-"+srvPrefix+"n1.calc.example.", srvPrefix+"n9.calc.example.")
	truncated := newRemoval()
	truncated.Truncated = true
	return []refusedMessage{
		{name: "not signed", message: newRemoval(), key: testKey, rcode: dns.RcodeRefused},
		{name: "unknown key", message: sign(newRemoval(), unknownKey), key: unknownKey,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadKey},
		{name: "wrong secret", message: sign(newRemoval(), wrongSecret), key: wrongSecret,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadSig},
		{name: "another algorithm", message: sign(newRemoval(), wrongAlgorithm), key: wrongAlgorithm,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadKey},
		{name: "signed long ago", message: signedAt(dnszone.FudgeSeconds, -1000), key: testKey,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadTime},
		{name: "signed long ago, with a large fudge", message: signedAt(60000, -1000), key: testKey,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadTime},
		{name: "signed in the future", message: signedAt(60000, 1000), key: testKey,
			rcode: dns.RcodeNotAuth, tsigError: dns.RcodeBadTime},
		{name: "only one record valid", message: sign(partlyValid, testKey), key: testKey, rcode: dns.RcodeRefused},
		{name: "truncated", message: sign(truncated, testKey), key: testKey, rcode: dns.RcodeFormatError},
		{name: "another zone", message: sign(updateOfOtherZone, testKey), key: testKey,
			rcode: dns.RcodeNotAuth},
		{name: "unsigned transfer", message: new(dns.Msg).SetAxfr(testSettings.Origin), key: testKey,
			rcode: dns.RcodeRefused},
		{name: "notify", message: new(dns.Msg).SetNotify(testSettings.Origin), key: testKey,
			rcode: dns.RcodeNotImplemented},
		{name: "question of another zone", message: queryOutsideZone, key: testKey, rcode: dns.RcodeRefused},
	}
}

// TestServer_RefusesInvalidMessages sends messages that must be refused. Each is answered with the expected RCODE and
// TSIG error, and the list of backends does not change.
func TestServer_RefusesInvalidMessages(t *testing.T) {
	s := mustStart(t, newOptions(t, zoneFileText(7, 2)))
	for _, test := range refusedMessages(t) {
		for _, network := range []string{"udp", "tcp"} {
			t.Run(test.name+" over "+network, func(t *testing.T) {
				message := test.message.Copy()
				// With a new ID the signature differs, so that the message over the second network is not a replay.
				message.Id = dns.Id()
				if tsig := message.IsTsig(); tsig != nil {
					tsig.OrigId = message.Id
				}
				rcode, tsigError := s.exchange(t, network, message, test.key)
				if rcode != test.rcode || tsigError != test.tsigError {
					t.Errorf("RCODE %s and TSIG error %s, not %s and %s",
						dns.RcodeToString[rcode], dns.RcodeToString[tsigError],
						dns.RcodeToString[test.rcode], dns.RcodeToString[test.tsigError])
				}
			})
		}
	}
	if s.published.size() != 2 || s.Serial() != 7 {
		t.Errorf("%v, serial %d", s.published.backends, s.Serial())
	}
	rcode := s.sendUpdate(t, "udp", "-"+srvPrefix+"n1.calc.example.")
	if rcode != dns.RcodeSuccess || s.published.has("n1") || s.Serial() != 8 {
		t.Errorf("RCODE %d: a valid update after the refused messages was not applied", rcode)
	}
}

// TestServer_HandlesMalformedMessages sends messages that are cut off. Those with a complete header are answered with
// FORMERR or REFUSED, the others may get no answer, and the server continues to serve.
func TestServer_HandlesMalformedMessages(t *testing.T) {
	s := mustStart(t, newOptions(t, zoneFileText(7, 2)))
	message, err := newUpdate(t, "-"+srvPrefix+"n1.calc.example.").Pack()
	if err != nil {
		t.Fatal(err)
	}
	udpConn := dialServer(t, s, "udp")
	buffer := make([]byte, 4096)
	for size := 12; size < len(message); size += 3 {
		send(t, udpConn, message[:size])
		n, err := udpConn.Read(buffer)
		var answer dns.Msg
		// A message that is cut off between two records may be a valid message without its signature, which comes last.
		isAnswer := err == nil && answer.Unpack(buffer[:n]) == nil
		if !isAnswer || answer.Rcode != dns.RcodeFormatError && answer.Rcode != dns.RcodeRefused {
			t.Fatalf("message cut off at byte %d: %v, %s", size, err, &answer)
		}
	}
	send(t, udpConn, []byte{1, 2, 3})
	send(t, dialServer(t, s, "tcp"), binary.BigEndian.AppendUint16(nil, 500)) // only the length of a message
	if s.published.size() != 2 {
		t.Error(s.published.backends)
	}
	if rcode := s.sendUpdate(t, "tcp", "-"+srvPrefix+"n1.calc.example."); rcode != 0 || s.published.size() != 1 {
		t.Error("an update after malformed messages was not applied")
	}
}

func dialServer(t *testing.T, s *testServer, network string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), network, s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the server may have closed it already
	return conn
}

// send writes a message to a connection, and sets a deadline for reading the answer.
func send(t *testing.T, conn net.Conn, message []byte) {
	t.Helper()
	if _, err := conn.Write(message); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
}

// TestServer_TakesOverJournal starts a second server on the same journal, as an upgrade does. The second server applies
// the changes of the first server, and locks the journal when the first server closes.
func TestServer_TakesOverJournal(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	oldServer := mustStart(t, options)
	newServer := mustStart(t, options)
	if newServer.Address() != "" || newServer.published.size() != 3 {
		t.Fatal("the second server listens while the first one does, or has no list")
	}
	if rcode := oldServer.sendUpdate(t, "udp", "-"+srvPrefix+"n1.calc.example."); rcode != dns.RcodeSuccess {
		t.Error(dns.RcodeToString[rcode])
	}
	testutil.Eventually(t, "the update of the first server", func() bool { return !newServer.published.has("n1") })
	oldServer.Close()
	testutil.Eventually(t, "the second server to listen", func() bool { return newServer.Address() != "" })
	rcode := newServer.sendUpdate(t, "udp", "-"+srvPrefix+"n2.calc.example.")
	if rcode != dns.RcodeSuccess || newServer.published.size() != 1 {
		t.Error(rcode, newServer.published.backends)
	}
}

// TestLogLimiter_AllowsOneLinePerSecond logs 100 lines a second for 10 seconds. The limiter allows one line a second,
// and reports the number of skipped lines.
func TestLogLimiter_AllowsOneLinePerSecond(t *testing.T) {
	var limiter logLimiter
	lines := 0
	var skipped uint64
	for n := range int64(1000) { // 100 lines a second
		if skippedBefore, ok := limiter.allow(1 + n/100); ok {
			lines++
			skipped += skippedBefore
		}
	}
	if lines != 10 || skipped != 9*99 {
		t.Errorf("%d lines allowed, and %d reported as skipped", lines, skipped)
	}
}

// answerRecorder is a dns.ResponseWriter for a message with the given TSIG status. It keeps the answer.
type answerRecorder struct {
	dns.ResponseWriter
	tsigStatus error
	answer     *dns.Msg
}

func (w *answerRecorder) RemoteAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (w *answerRecorder) TsigStatus() error    { return w.tsigStatus }
func (w *answerRecorder) TsigTimersOnly(bool)  {}
func (w *answerRecorder) Close() error         { return nil }
func (w *answerRecorder) WriteMsg(m *dns.Msg) error {
	w.answer = m
	_, err := m.Pack()
	return err
}

// FuzzServer_ServeDNS passes arbitrary messages without a valid signature. Each is answered, and none changes the list
// of backends.
func FuzzServer_ServeDNS(f *testing.F) {
	s := mustStart(f, newOptions(f, zoneFileText(7, 2)))
	for _, message := range []*dns.Msg{
		sign(newUpdate(f, "-"+srvPrefix+"n1.calc.example."), testKey),
		new(dns.Msg).SetQuestion(testSettings.Service, dns.TypeSRV),
		new(dns.Msg).SetAxfr(testSettings.Origin),
	} {
		packed, err := message.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		message := new(dns.Msg)
		// The library does not pass other messages to the handler.
		if message.Unpack(packed) != nil || len(message.Question) != 1 {
			return
		}
		writer := &answerRecorder{}
		if message.IsTsig() != nil {
			writer.tsigStatus = dns.ErrSig
		}
		s.ServeDNS(writer, message)
		if s.published.size() != 2 || writer.answer == nil {
			t.Fatal("an update without a valid signature was applied, or ServeDNS panicked")
		}
	})
}

func BenchmarkServer_Update(b *testing.B) {
	s := mustStart(b, newOptions(b, zoneFileText(7, 1000)))
	s.replayGuard = dnszone.NewReplayGuard(1e9, 0)
	s.messageRateLimiter.ratePerSecond = 1e9
	n := 0
	for b.Loop() {
		n++
		message := newUpdate(b, srvPrefix+"n1.calc.example.")
		if n%2 == 1 {
			message = newUpdate(b, "-"+srvPrefix+"n1.calc.example.")
		}
		message.Insert(parseRecord(b, fmt.Sprintf("t.calc.example. TXT %d", n)))
		message.Remove(parseRecord(b, fmt.Sprintf("t.calc.example. TXT %d", n-1)))
		if rcode, _ := s.exchange(b, "udp", sign(message, testKey), testKey); rcode != dns.RcodeSuccess {
			b.Fatal(rcode)
		}
	}
}
