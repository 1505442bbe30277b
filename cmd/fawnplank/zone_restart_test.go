package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"fawnplank/internal/testutil"
)

// zoneFleet consists of two gateways that keep a zone with two backends in the store, and a third replica without a
// gateway.
type zoneFleet struct {
	replicas        []*replicaProcess
	files           []zoneFiles // of the gateways
	clientAddresses []string    // of the gateways
	backends        [2]countingBackend
}

// countingBackend is a stub backend that answers every request.
type countingBackend struct {
	port     string
	requests atomic.Int64
}

func (b *countingBackend) serve(t *testing.T) {
	t.Helper()
	address := testutil.ServeCommands(t, func(conn net.Conn) {
		b.requests.Add(1)
		send(conn, successResponse)
	})
	_, b.port, _ = net.SplitHostPort(address.String())
}

// serviceRecord returns the record that names a backend in the zone.
func (f *zoneFleet) serviceRecord(backend int) string {
	return fmt.Sprintf("_calc._tcp.calc.example. SRV 0 100 %s n%d.calc.example.", f.backends[backend].port, backend)
}

// zoneText returns a zone file with the serial and the first backends.
func (f *zoneFleet) zoneText(serial, backends int) string {
	text := fmt.Sprintf("$ORIGIN calc.example.\n$TTL 30\n@ IN SOA ns admin %d 3600 600 86400 30\n"+
		"@ IN NS ns\nns IN A 127.0.0.1\n", serial)
	for n := range backends {
		text += f.serviceRecord(n) + fmt.Sprintf("\nn%d IN A 127.0.0.1\n", n)
	}
	return text
}

func newZoneFleet(t *testing.T) *zoneFleet {
	t.Helper()
	fleet := &zoneFleet{replicas: newReplicas(t, "a", "b", "c")}
	for n := range fleet.backends {
		fleet.backends[n].serve(t)
	}
	for _, r := range fleet.replicas[:2] {
		z := newZoneFiles(t, false)
		address := freeAddress(t)
		writeFile(t, z.settings, fmt.Sprintf(configuration, address, "127.0.0.1:2", "127.0.0.1:3"))
		writeFile(t, z.path("zone"), fleet.zoneText(1, len(fleet.backends)))
		fleet.files = append(fleet.files, z)
		fleet.clientAddresses = append(fleet.clientAddresses, address)
		r.args = []string{"serve", "-c", z.settings, "--operator", z.operator}
	}
	startReplicas(t, fleet.replicas)
	for n := range fleet.files {
		testutil.Eventually(t, "a first response", func() bool { return fleet.requestSucceeds(t, n) })
	}
	return fleet
}

// requestSucceeds sends a request to a gateway and reports whether a backend's response arrives.
func (f *zoneFleet) requestSucceeds(t *testing.T, gateway int) bool {
	t.Helper()
	conn, err := tryDial(t, f.clientAddresses[gateway])
	if err != nil {
		return false
	}
	defer closeIgnoringError(conn)
	setDeadline(conn, connectionTimeout)
	send(conn, request("1", requestFields))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "$")
}

// writeRaftSnapshot writes the state of another replica into the directory of a stopped one, as Raft does after 1,024
// entries.
func (f *zoneFleet) writeRaftSnapshot(t *testing.T, from, to *replicaProcess) {
	t.Helper()
	var content string
	testutil.Eventually(t, "a leader", func() bool {
		var err error
		content, err = from.call(t, http.MethodGet, "/v1/backup", "")
		return err == nil
	})
	text, err := from.call(t, http.MethodGet, "/v1/status", "")
	if err != nil {
		t.Fatal(err)
	}
	var status struct{ At, Term uint64 }
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		t.Fatal(err)
	}
	var members raft.Configuration
	for _, r := range f.replicas {
		members.Servers = append(members.Servers,
			raft.Server{ID: raft.ServerID(r.id), Address: raft.ServerAddress(r.raftAddress)})
	}
	snapshots, err := raft.NewFileSnapshotStore(to.folder, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	_, transport := raft.NewInmemTransport("") // only encodes the members' addresses
	sink, err := snapshots.Create(raft.SnapshotVersionMax, status.At, status.Term, members, 1, transport)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(sink, content); err != nil {
		t.Fatal(err)
	}
	if err := sink.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestZone_WithdrawnBackendGetsNothingAfterRestart guards against requests to a withdrawn backend. A restarted gateway
// sent requests by the zone in its last snapshot until the store's leader had sent it the log again.
func TestZone_WithdrawnBackendGetsNothingAfterRestart(t *testing.T) {
	t.Parallel()
	fleet := newZoneFleet(t)
	const restarted, withdrawn = 1, 1
	replica := fleet.replicas[restarted]
	replica.kill()
	fleet.writeRaftSnapshot(t, fleet.replicas[0], replica)
	testutil.Eventually(t, "the withdrawal", func() bool {
		return fleet.files[0].update("-"+fleet.serviceRecord(withdrawn)) == nil
	})
	time.Sleep(restartDownTime)
	before := fleet.backends[withdrawn].requests.Load()
	replica.start(t, fleet.replicas)
	testutil.Eventually(t, "a response after the restart", func() bool { return fleet.requestSucceeds(t, restarted) })
	for range 20 {
		fleet.requestSucceeds(t, restarted)
	}
	if requests := fleet.backends[withdrawn].requests.Load() - before; requests > 0 {
		t.Errorf("the withdrawn backend got %d requests", requests)
	}
}
