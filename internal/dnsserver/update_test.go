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

// TestServer_AppliesReplayedUpdateOnce sends the same signed bytes again. Their sender, which may not have
// received the answer, gets the first answer again. Anybody else is refused, also after a restart.
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
		t.Fatal("not applied")
	}
	rcode := s.sendUpdate(t, "tcp", srvPrefix+"n1.calc.example.")
	if rcode != dns.RcodeSuccess || !s.published.has("n1") {
		t.Fatal("not added again")
	}
	if exchangePacked(t, sender, packed) != dns.RcodeSuccess || !s.published.has("n1") {
		t.Error("the sender's own repeat was applied twice, or refused")
	}
	if exchangePacked(t, dialServer(t, s, "udp"), packed) != dns.RcodeNotAuth || !s.published.has("n1") {
		t.Error("a replay was not refused")
	}
	s.Close()
	s = mustStart(t, options)
	s.replayGuard = dnszone.NewReplayGuard(100, time.Now().UnixNano()) // as Start creates it
	if exchangePacked(t, dialServer(t, s, "udp"), packed) != dns.RcodeNotAuth || !s.published.has("n1") {
		t.Error("a replay was not refused after a restart")
	}
}

// TestServer_LimitsUpdateRate sends more updates than are allowed. No more than allowed are applied, and all
// are answered.
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

// restartableServer is a server that is restarted between updates and zone files.
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

func (s *restartableServer) expect(t *testing.T, situation string, serial uint32, backendCount int) {
	t.Helper()
	if s.Serial() != serial || s.published.size() != backendCount {
		t.Fatalf("%s: serial %d with %d backends, not %d with %d",
			situation, s.Serial(), s.published.size(), serial, backendCount)
	}
}

// TestServer_PrefersNewerSerial checks that of the zone file and the updates the one with the newer serial
// wins, also over restarts and where serials wrap around.
func TestServer_PrefersNewerSerial(t *testing.T) {
	s := &restartableServer{mustStart(t, newOptions(t, zoneFileText(4294967290, 3)))}
	s.mustUpdate(t, "-"+srvPrefix+"n1.calc.example.")
	s.mustUpdate(t, "-"+srvPrefix+"n2.calc.example.")
	s.expect(t, "two updates", 4294967292, 1)
	s.reload(t, zoneFileText(4294967291, 3))
	s.expect(t, "a file that contradicts, with a lower serial", 4294967292, 1)
	s.reload(t, zoneFileText(4294967295, 3)+"x MX 1 ns\n")
	s.expect(t, "a faulty file", 4294967292, 1)
	s.restart(t)
	s.expect(t, "a restart with a faulty file", 4294967292, 1)
	for i := range 4 {
		s.mustUpdate(t, fmt.Sprintf("x%d.calc.example. A 127.9.9.%d", i, i+1))
	}
	s.expect(t, "the serial's wrap-around, which skips 0", 1, 1)
	s.reload(t, zoneFileText(4294967295, 3))
	s.expect(t, "a file from before the wrap", 1, 1)
	s.reload(t, zoneFileText(2, 3))
	s.expect(t, "a newer file", 2, 3)
	readded, _ := s.published.backend("n1")
	kept, _ := s.published.backend("n3")
	if readded.StartNanos() == 0 || kept.StartNanos() != 0 {
		t.Errorf("a backend that the file added again is not new, or one that stayed listed is: %+v", s.published.backends)
	}
	s.restart(t)
	s.expect(t, "a restart", 2, 3)
	s.mustUpdate(t, "-"+srvPrefix+"n1.calc.example.", "-"+srvPrefix+"n2.calc.example.", "-"+srvPrefix+"n3.calc.example.")
	s.expect(t, "the last is removed", 3, 0)
	s.restart(t)
	s.expect(t, "a restart without any", 3, 0)
}
