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
	files := newFiles(t, zoneFileText(7, 2))
	s := mustStart(t, files)
	update := signed(newUpdate(t, "-"+srvTo+"n1.calc.example."), testKey)
	packed, _, err := dns.TsigGenerateWithProvider(update, newKeyring([]Key{testKey}), "", false)
	if err != nil {
		t.Fatal(err)
	}
	sender := dialServer(t, s, "udp")
	if exchangePacked(t, sender, packed) != dns.RcodeSuccess || s.published.has("n1") {
		t.Fatal("not applied")
	}
	rcode := s.sendUpdate(t, "tcp", srvTo+"n1.calc.example.")
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
	s = mustStart(t, files)
	s.guard = dnszone.NewReplayGuard(100, time.Now().UnixNano()) // as Start creates it
	if exchangePacked(t, dialServer(t, s, "udp"), packed) != dns.RcodeNotAuth || !s.published.has("n1") {
		t.Error("a replay was not refused after a restart")
	}
}

// TestServer_LimitsUpdateRate sends more updates than are allowed. No more than allowed are applied, and all
// are answered.
func TestServer_LimitsUpdateRate(t *testing.T) {
	files := newFiles(t, zoneFileText(7, 3))
	files.MaxUpdatesPerSecond = 5
	s := mustStart(t, files)
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

func (w *restartableServer) restart(t *testing.T) {
	t.Helper()
	w.Close()
	w.testServer = mustStart(t, w.files)
}

func (w *restartableServer) apply(t *testing.T, records ...string) {
	t.Helper()
	if rcode := w.sendUpdate(t, "udp", records...); rcode != dns.RcodeSuccess {
		t.Fatal(dns.RcodeToString[rcode])
	}
}

func (w *restartableServer) reload(t *testing.T, zoneFile string) {
	t.Helper()
	writeFile(t, w.files.ZoneFile, zoneFile)
	w.Reload()
}

func (w *restartableServer) expect(t *testing.T, after string, serial uint32, size int) {
	t.Helper()
	if w.Serial() != serial || w.published.size() != size {
		t.Fatalf("%s: serial %d with %d backends, not %d with %d",
			after, w.Serial(), w.published.size(), serial, size)
	}
}

// TestServer_PrefersNewerSerial checks that of the zone file and the updates the one with the newer serial
// wins, also over restarts and where serials wrap around.
func TestServer_PrefersNewerSerial(t *testing.T) {
	w := &restartableServer{mustStart(t, newFiles(t, zoneFileText(4294967290, 3)))}
	w.apply(t, "-"+srvTo+"n1.calc.example.")
	w.apply(t, "-"+srvTo+"n2.calc.example.")
	w.expect(t, "two updates", 4294967292, 1)
	w.reload(t, zoneFileText(4294967291, 3))
	w.expect(t, "a file that contradicts, with a lower serial", 4294967292, 1)
	w.reload(t, zoneFileText(4294967295, 3)+"x MX 1 ns\n")
	w.expect(t, "a faulty file", 4294967292, 1)
	w.restart(t)
	w.expect(t, "a restart with a faulty file", 4294967292, 1)
	for i := range 4 {
		w.apply(t, fmt.Sprintf("x%d.calc.example. A 127.9.9.%d", i, i+1))
	}
	w.expect(t, "the serial's wrap-around, which skips 0", 1, 1)
	w.reload(t, zoneFileText(4294967295, 3))
	w.expect(t, "a file from before the wrap", 1, 1)
	w.reload(t, zoneFileText(2, 3))
	w.expect(t, "a newer file", 2, 3)
	returned, _ := w.published.backend("n1")
	stayed, _ := w.published.backend("n3")
	if returned.StartNanos() == 0 || stayed.StartNanos() != 0 {
		t.Errorf("a backend that the file added again is not new, or one that stayed listed is: %+v", w.published.list)
	}
	w.restart(t)
	w.expect(t, "a restart", 2, 3)
	w.apply(t, "-"+srvTo+"n1.calc.example.", "-"+srvTo+"n2.calc.example.", "-"+srvTo+"n3.calc.example.")
	w.expect(t, "the last is removed", 3, 0)
	w.restart(t)
	w.expect(t, "a restart without any", 3, 0)
}
