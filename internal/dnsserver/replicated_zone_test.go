package dnsserver

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/store/kv"
	"fawnplank/internal/testutil"
)

// fakeStore is a replicated store: a log of commands, which each fakeReplica applies asynchronously.
type fakeStore struct {
	mu         sync.Mutex
	log        [][]byte
	leaderless bool
}

func (f *fakeStore) setLeaderless(leaderless bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaderless = leaderless
}

// fakeReplica is a Replica on a fakeStore.
type fakeReplica struct {
	store        *fakeStore
	mu           sync.Mutex
	state        *kv.State
	appliedCount int
	onApplied    func()
}

func newFakeReplica(store *fakeStore) *fakeReplica {
	return &fakeReplica{store: store, state: kv.New()}
}

func (r *fakeReplica) ReadLocal(key string) (kv.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Get(key)
}

func (r *fakeReplica) Edit(edits []kv.Edit) error {
	command, err := kv.EncodeCommand(edits)
	if err != nil {
		return err
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.store.leaderless {
		return errors.New("no leader")
	}
	leaderState := kv.New()
	for n, logged := range append(r.store.log, command) {
		_, err = leaderState.Apply(kv.Index(n+1), logged)
	}
	r.store.log = append(r.store.log, command)
	return err
}

// setOnApplied sets a function that catchUp calls after it has applied commands.
func (r *fakeReplica) setOnApplied(onApplied func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onApplied = onApplied
}

// catchUp applies the commands of the log that this replica has not applied yet.
func (r *fakeReplica) catchUp() {
	r.store.mu.Lock()
	log := r.store.log
	r.store.mu.Unlock()
	r.mu.Lock()
	isBehind := r.appliedCount < len(log)
	for ; r.appliedCount < len(log); r.appliedCount++ {
		// Edit has already returned a conflict error to the caller that sent the command.
		_, _ = r.state.Apply(kv.Index(r.appliedCount+1), log[r.appliedCount])
	}
	onApplied := r.onApplied
	r.mu.Unlock()
	if isBehind && onApplied != nil {
		onApplied()
	}
}

// run starts a goroutine that calls catchUp every two milliseconds until the test ends.
func (r *fakeReplica) run(t *testing.T) {
	t.Helper()
	var applyLoop sync.WaitGroup
	applyLoop.Go(func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case <-time.After(2 * time.Millisecond):
				r.catchUp()
			}
		}
	})
	t.Cleanup(applyLoop.Wait)
}

// startReplicas starts three servers, each with its own replica of a store.
func startReplicas(t *testing.T, store *fakeStore) []*testServer {
	t.Helper()
	var servers []*testServer
	for range 3 {
		replica := newFakeReplica(store)
		replica.run(t)
		options := newOptions(t, zoneFileText(7, 2))
		options.ReplicatedStore = &ReplicatedZone{replica}
		s := mustStart(t, options)
		// HandleStoreChange waits for the server's lock, which an update holds while it waits for this replica.
		replica.setOnApplied(func() { go s.HandleStoreChange() })
		servers = append(servers, s)
	}
	for _, s := range servers {
		isReady := func() bool { return s.Address() != "" && s.published.size() == 2 }
		testutil.Eventually(t, "the first published list", isReady)
	}
	return servers
}

// allHave reports whether all servers have the given serial and number of backends.
func allHave(servers []*testServer, serial uint32, size int) bool {
	for _, s := range servers {
		if s.Serial() != serial || s.published.size() != size {
			return false
		}
	}
	return true
}

func eventuallyAllHave(t *testing.T, condition string, servers []*testServer, serial uint32, size int) {
	t.Helper()
	testutil.Eventually(t, condition, func() bool { return allHave(servers, serial, size) })
}

// TestStart_WaitsForStoreWithoutLeader starts a server whose store accepts no writes. The server publishes no list, and
// its serial is 0.
func TestStart_WaitsForStoreWithoutLeader(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 2))
	options.ReplicatedStore = &ReplicatedZone{newFakeReplica(&fakeStore{leaderless: true})}
	if s := mustStart(t, options); s.Serial() != 0 || s.published.size() != 0 {
		t.Error("zone loaded although the store has no leader: ", s.published.backends)
	}
}

// TestZoneFile_IsStoredOnceLeaderReturns guards against a newer zone file that never takes effect, so that a backend
// which it withdraws goes on getting requests. A file that was read while the store had no leader, at the start or by
// Reload, was not tried again.
func TestZoneFile_IsStoredOnceLeaderReturns(t *testing.T) {
	store := &fakeStore{}
	servers := startReplicas(t, store)
	store.setLeaderless(true)
	replica := newFakeReplica(store)
	replica.run(t)
	testutil.Eventually(t, "the stored zone at the replica", func() bool {
		_, found := replica.ReadLocal(headKey)
		return found
	})
	options := newOptions(t, zoneFileText(90, 1))
	options.ReplicatedStore = &ReplicatedZone{replica}
	started := mustStart(t, options)
	replica.setOnApplied(func() { go started.HandleStoreChange() })
	if serial := started.Serial(); serial != 7 {
		t.Errorf("serial %d without a leader, want 7", serial)
	}
	store.setLeaderless(false)
	servers = append(servers, started)
	eventuallyAllHave(t, "the file of the start at all servers", servers, 90, 1)

	store.setLeaderless(true)
	writeFile(t, servers[1].startOptions.ZoneFile, zoneFileText(91, 3))
	servers[1].Reload()
	store.setLeaderless(false)
	eventuallyAllHave(t, "the reloaded file at all servers", servers, 91, 3)
}

// TestServer_ReplicatesUpdates sends concurrent updates to three replicas. All replicas apply each update once. Without
// a leader, an update is answered with SERVFAIL and no replica applies it.
func TestServer_ReplicatesUpdates(t *testing.T) {
	store := &fakeStore{}
	servers := startReplicas(t, store)
	var senders sync.WaitGroup
	for n, s := range servers {
		senders.Go(func() {
			for i := range 15 {
				name := fmt.Sprintf("m%d-%d.calc.example.", n, i)
				rcode := s.sendUpdate(t, "tcp", srvPrefix+name, fmt.Sprintf("%s A 127.1.%d.%d", name, n, i+1))
				if rcode != dns.RcodeSuccess {
					t.Errorf("%s: %s", name, dns.RcodeToString[rcode])
				}
			}
		})
	}
	senders.Wait()
	eventuallyAllHave(t, "45 updates at all three servers", servers, 52, 47)
	store.setLeaderless(true)
	rcode := servers[0].sendUpdate(t, "tcp", "-"+srvPrefix+"n1.calc.example.")
	if rcode != dns.RcodeServerFailure {
		t.Error("RCODE of an update without a leader is not SERVFAIL: ", rcode)
	}
	store.setLeaderless(false)
	if !allHave(servers, 52, 47) {
		t.Error("an update without a leader was applied")
	}
}

// TestServer_ReplicatesZoneFileAndCompactedChanges reloads a newer zone file at one server, and sends so many updates
// that the changes are compacted into a snapshot. Every server has the zone of the file with all changes.
func TestServer_ReplicatesZoneFileAndCompactedChanges(t *testing.T) {
	servers := startReplicas(t, &fakeStore{})
	writeFile(t, servers[1].startOptions.ZoneFile, zoneFileText(90, 4))
	servers[1].Reload()
	eventuallyAllHave(t, "the zone file at all three servers", servers, 90, 4)
	for n := range maxStoredChanges + 20 {
		rcode := servers[n%3].sendUpdate(t, "tcp", fmt.Sprintf("x%d.calc.example. A 127.7.7.7", n))
		if rcode != dns.RcodeSuccess {
			t.Fatal(n, dns.RcodeToString[rcode])
		}
	}
	eventuallyAllHave(t, "all updates at all three servers", servers, 90+maxStoredChanges+20, 4)
	head, _, err := servers[0].options.ReplicatedStore.readHead()
	if err != nil {
		t.Error(err)
	}
	if head.Changes > maxStoredChanges || head.SnapshotSerial == 90 {
		t.Errorf("%+v: the changes were never compacted", head)
	}
	stored, err := servers[2].options.ReplicatedStore.load(testSettings)
	if err != nil || stored.zone.Serial() != 90+maxStoredChanges+20 {
		t.Error(err)
	}
}

// startReplica starts one server with the only replica of a store that has a name server.
func startReplica(t *testing.T) (*testServer, *fakeReplica) {
	t.Helper()
	replica := newFakeReplica(&fakeStore{})
	replica.run(t)
	options := newOptions(t, zoneFileText(7, 2))
	options.ReplicatedStore = &ReplicatedZone{replica}
	s := mustStart(t, options)
	replica.setOnApplied(func() { go s.HandleStoreChange() })
	testutil.Eventually(t, "the first published list", func() bool { return s.Address() != "" && s.published.size() == 2 })
	return s, replica
}

// sendUpdates sends updates of one name each.
func (s *testServer) sendUpdates(t *testing.T, count int) {
	t.Helper()
	for n := range count {
		rcode := s.sendUpdate(t, "tcp", fmt.Sprintf("x%d.calc.example. A 127.7.7.7", n))
		if rcode != dns.RcodeSuccess {
			t.Fatal(n, dns.RcodeToString[rcode])
		}
	}
}

// Guards against a zone file that is never adopted, so that a backend which it withdraws goes on getting requests:
// where one gateway has the zone and its replica does not lead, the stored changes were never compacted.
func TestServer_CompactsChangesWithOneNameServer(t *testing.T) {
	s, replica := startReplica(t)
	s.sendUpdates(t, maxStoredChanges+20)
	testutil.Eventually(t, "the changes are compacted", func() bool {
		head, _, err := (&ReplicatedZone{replica}).readHead()
		return err == nil && head.SnapshotSerial > 7 && head.Changes <= 20
	})
}

// parseZone parses the zone file text of a serial with a number of backends.
func parseZone(t *testing.T, serial uint32, count int) *dnszone.Zone {
	t.Helper()
	zone, err := dnszone.Parse("zone", []byte(zoneFileText(serial, count)), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	return zone
}

// Guards against a zone file that is never adopted: changes that are more than one command can delete could not be
// replaced any more.
func TestReplicatedZone_ReplacesMoreChangesThanOneCommandDeletes(t *testing.T) {
	const (
		first   = 7
		last    = first + 2*kv.MaxEdits + 100
		newFile = 9000
	)
	replica := newFakeReplica(&fakeStore{})
	stored := &ReplicatedZone{replica}
	if err := stored.initialize(parseZone(t, first, 2), "sum"); err != nil {
		t.Fatal(err)
	}
	// The head and the changes, as the updates that led to the last serial have left them.
	replica.catchUp()
	head, index, err := stored.readHead()
	if err != nil {
		t.Fatal(err)
	}
	var edits []kv.Edit
	for serial := uint32(first); serial < last; serial++ {
		value := fmt.Sprintf(`{"from":%d,"to":%d}`, serial, serial+1)
		edits = append(edits, kv.Edit{Key: changeKey(serial), Value: []byte(value)})
	}
	for batch := range slices.Chunk(edits, kv.MaxEdits) {
		if err := replica.Edit(batch); err != nil {
			t.Fatal(err)
		}
	}
	head.Serial, head.Changes = last, last-first
	if err := stored.write(head, index, nil); err != nil {
		t.Fatal(err)
	}
	replica.catchUp()

	if err := stored.replace(parseZone(t, last, 2), parseZone(t, newFile, 1), "new sum"); err != nil {
		t.Fatalf("a newer zone file is not stored: %v", err)
	}
	replica.catchUp()
	if head, _, err := stored.readHead(); err != nil || head.Serial != newFile || head.Changes != 0 {
		t.Errorf("head %+v, %v", head, err)
	}
	if loaded, err := stored.load(testSettings); err != nil || loaded.zone.Serial() != newFile {
		t.Errorf("the stored zone cannot be read: %v", err)
	}
	if left := replica.state.Keys(changeKeyPrefix); len(left) > 0 {
		t.Errorf("%d old changes are left", len(left))
	}
}
