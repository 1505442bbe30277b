package dnsserver

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// exchangePacked sends a packed message and returns the RCODE of its answer.
func exchangePacked(t *testing.T, conn net.Conn, message []byte) int {
	t.Helper()
	send(t, conn, message)
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	answer := new(dns.Msg)
	if err := answer.Unpack(buffer[:n]); err != nil {
		t.Fatal(err)
	}
	return answer.Rcode
}

// TestServer_AppliesReplayedUpdateOnce sends the same signed message again. Its sender, which may not have received the
// answer, gets the first answer again. Any other sender is refused, also after a restart.
func TestServer_AppliesReplayedUpdateOnce(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 2))
	s := mustStart(t, options)
	update := sign(newUpdate(t, "-"+srvPrefix+"n1.calc.example."), testKey)
	packed, _, err := dns.TsigGenerateWithProvider(update, newKeyring([]Key{testKey}), "", false)
	if err != nil {
		t.Fatal(err)
	}
	sender := dialServer(t, s, "udp")
	if exchangePacked(t, sender, packed) != dns.RcodeSuccess || s.published.has("n1") {
		t.Fatal("the update was not applied")
	}
	rcode := s.sendUpdate(t, "tcp", srvPrefix+"n1.calc.example.")
	if rcode != dns.RcodeSuccess || !s.published.has("n1") {
		t.Fatal("the backend was not added again")
	}
	if exchangePacked(t, sender, packed) != dns.RcodeSuccess || !s.published.has("n1") {
		t.Error("a retransmission by the sender was applied again, or refused")
	}
	if exchangePacked(t, dialServer(t, s, "udp"), packed) != dns.RcodeNotAuth || !s.published.has("n1") {
		t.Error("a replay by another sender was not refused")
	}
	s.Close()
	s = mustStart(t, options)
	s.replayGuard = dnszone.NewReplayGuard(100, time.Now().UnixNano()) // as created by Start
	if exchangePacked(t, dialServer(t, s, "udp"), packed) != dns.RcodeNotAuth || !s.published.has("n1") {
		t.Error("a replay was not refused after a restart")
	}
}

// TestServer_LimitsUpdateRate sends more updates than the rate limit allows. Every update is answered, and no more than
// the allowed number is applied.
func TestServer_LimitsUpdateRate(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	options.MaxUpdatesPerSecond = 5
	s := mustStart(t, options)
	applied, refused := 0, 0
	began := time.Now()
	for n := range 40 {
		switch s.sendUpdate(t, "tcp", fmt.Sprintf("x%d.calc.example. A 127.0.9.1", n)) {
		case dns.RcodeSuccess:
			applied++
		case dns.RcodeRefused:
			refused++
		}
	}
	allowed := 5 + int(5*time.Since(began).Seconds()) + 1
	if applied > allowed || applied < 5 || applied+refused != 40 {
		t.Errorf("%d applied, %d refused; %d allowed", applied, refused, allowed)
	}
}

// restartableServer is a server that a test can restart on the same files.
type restartableServer struct {
	*testServer
}

func (s *restartableServer) restart(t *testing.T) {
	t.Helper()
	s.Close()
	s.testServer = mustStart(t, s.startOptions)
}

func (s *restartableServer) mustUpdate(t *testing.T, records ...string) {
	t.Helper()
	if rcode := s.sendUpdate(t, "udp", records...); rcode != dns.RcodeSuccess {
		t.Fatal(dns.RcodeToString[rcode])
	}
}

func (s *restartableServer) reload(t *testing.T, zoneFile string) {
	t.Helper()
	writeFile(t, s.startOptions.ZoneFile, zoneFile)
	s.Reload()
}

func (s *restartableServer) expect(t *testing.T, situation string, serial uint32, size int) {
	t.Helper()
	if s.Serial() != serial || s.published.size() != size {
		t.Fatalf("%s: serial %d with %d backends, not %d with %d",
			situation, s.Serial(), s.published.size(), serial, size)
	}
}

// TestServer_PrefersNewerSerial checks that the zone file or the updated zone takes precedence, whichever has the newer
// serial, also after restarts and where serials wrap around.
func TestServer_PrefersNewerSerial(t *testing.T) {
	s := &restartableServer{mustStart(t, newOptions(t, zoneFileText(4294967290, 3)))}
	s.mustUpdate(t, "-"+srvPrefix+"n1.calc.example.")
	s.mustUpdate(t, "-"+srvPrefix+"n2.calc.example.")
	s.expect(t, "two updates", 4294967292, 1)
	s.reload(t, zoneFileText(4294967291, 3))
	s.expect(t, "a different file with an older serial", 4294967292, 1)
	s.reload(t, zoneFileText(4294967295, 3)+"x MX 1 ns\n")
	s.expect(t, "an invalid file", 4294967292, 1)
	s.restart(t)
	s.expect(t, "a restart with an invalid file", 4294967292, 1)
	for i := range 4 {
		s.mustUpdate(t, fmt.Sprintf("x%d.calc.example. A 127.9.9.%d", i, i+1))
	}
	s.expect(t, "the wrap-around of the serial, which skips 0", 1, 1)
	s.reload(t, zoneFileText(4294967295, 3))
	s.expect(t, "a file with a serial before the wrap-around", 1, 1)
	s.reload(t, zoneFileText(2, 3))
	s.expect(t, "a newer file", 2, 3)
	readded, _ := s.published.backend("n1")
	kept, _ := s.published.backend("n3")
	if readded.StartNanos() == 0 || kept.StartNanos() != 0 {
		t.Errorf("a readded backend has no start time, or a kept backend has one: %+v", s.published.backends)
	}
	s.restart(t)
	s.expect(t, "a restart", 2, 3)
	s.mustUpdate(t, "-"+srvPrefix+"n1.calc.example.", "-"+srvPrefix+"n2.calc.example.", "-"+srvPrefix+"n3.calc.example.")
	s.expect(t, "the removal of the last backend", 3, 0)
	s.restart(t)
	s.expect(t, "a restart without backends", 3, 0)
}
