package store

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"fawnplank/internal/store/kv"
)

// stoppedTime is how long a replica is stopped in these tests. The leader fails to reach it meanwhile, and then waits
// for about as long before it sends the log again.
const stoppedTime = 700 * time.Millisecond

func (c *cluster) awaitConfirmation(replica *Store) {
	c.t.Helper()
	select {
	case <-replica.Confirmed():
	case <-time.After(5 * time.Second):
		c.t.Fatal("the state is not confirmed after five seconds")
	}
}

// expectValues checks that the replica's state has the values of the keys, and lacks those whose value is empty.
func expectValues(t *testing.T, replica *Store, want map[string]string) {
	t.Helper()
	for key, value := range want {
		if got, _ := replica.ReadLocalValue(key); string(got) != value {
			t.Errorf("%s is %q, want %q", key, got, value)
		}
	}
}

// TestConfirmed_StateIncludesEditsMadeWhileStopped guards against a replica whose owner reads an old state after a
// restart. Until the leader had sent the log again, reads saw the last snapshot, or nothing.
func TestConfirmed_StateIncludesEditsMadeWhileStopped(t *testing.T) {
	for _, test := range []struct {
		name       string
		beforeStop func(replica *Store) error // may be nil
		whileDown  func(dir string) error     // may be nil
	}{
		{name: "log"},
		{name: "snapshot", beforeStop: func(replica *Store) error { return replica.raft.Snapshot().Error() }},
		{name: "emptied directory", whileDown: os.RemoveAll},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, nil)
			leader := c.leader()
			stopped := c.followers(leader)[0]
			for _, key := range []string{"unchanged", "changed", "deleted"} {
				c.writeUntilCommitted(leader, key, "1")
			}
			c.awaitConvergence()
			if test.beforeStop != nil {
				failOnError(t, test.beforeStop(c.running[stopped]))
			}
			c.stop(stopped)
			if test.whileDown != nil {
				failOnError(t, test.whileDown(filepath.Join(c.dir, stopped)))
			}
			c.writeUntilCommitted(leader, "changed", "2")
			failOnError(t, c.running[leader].Edit([]kv.Edit{{Key: "deleted"}}))
			time.Sleep(stoppedTime)
			replica := c.start(stopped)
			c.awaitConfirmation(replica)
			expectValues(t, replica, map[string]string{"unchanged": "1", "changed": "2", "deleted": ""})
			c.awaitConvergence()
			c.eventually("the fetched state to be dropped", func() bool {
				replica.mu.RLock()
				defer replica.mu.RUnlock()
				return replica.leaderState == nil
			})
		})
	}
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestConfirmed_WaitsForQuorum guards against a state that counts as confirmed although no leader has confirmed it.
func TestConfirmed_WaitsForQuorum(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "k", "1")
	for _, peer := range c.peers {
		c.stop(peer.ID)
	}
	replica := c.start("a")
	select {
	case <-replica.Confirmed():
		t.Error("confirmed without a quorum")
	case <-time.After(time.Second):
	}
	c.start("b")
	c.awaitConfirmation(replica)
	expectValues(t, replica, map[string]string{"k": "1"})
}

// TestConfirmed_ReportsKeysAsChanged guards against an owner that keeps what it has read before the confirmation.
func TestConfirmed_ReportsKeysAsChanged(t *testing.T) {
	c := newCluster(t, nil)
	leader := c.leader()
	stopped := c.followers(leader)[0]
	c.writeUntilCommitted(leader, "k", "1")
	c.stop(stopped)
	c.writeUntilCommitted(leader, "k", "2")
	var mu sync.Mutex
	var reported []string
	replica, err := Open(Options{
		Dir:         filepath.Join(c.dir, stopped),
		Self:        c.peer(stopped),
		Peers:       c.peers,
		TimeoutUnit: testTimeoutUnit,
		OnChange: func(keys []string) {
			mu.Lock()
			defer mu.Unlock()
			reported = append(reported, keys...)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	c.running[stopped] = replica
	c.awaitConfirmation(replica)
	mu.Lock()
	defer mu.Unlock()
	if !slices.Contains(reported, "k") {
		t.Errorf("keys reported as changed: %v", reported)
	}
}

// TestConfirmed_AddedReplicaWaitsForCluster guards against a replica without peers that takes its empty state for the
// cluster's before it is added.
func TestConfirmed_AddedReplicaWaitsForCluster(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "k", "1")
	added := newPeer(t, "d")
	replica, err := Open(Options{Dir: filepath.Join(c.dir, "d"), Self: added, TimeoutUnit: testTimeoutUnit})
	failOnError(t, err)
	c.running["d"] = replica
	select {
	case <-replica.Confirmed():
		t.Error("confirmed before the replica was added")
	case <-time.After(300 * time.Millisecond):
	}
	body, err := json.Marshal(added)
	failOnError(t, err)
	c.eventually("the replica to be added", func() bool {
		status, _ := c.callAPI(c.leader(), "POST", "/v1/peers", string(body))
		return status == http.StatusOK
	})
	c.awaitConfirmation(replica)
	expectValues(t, replica, map[string]string{"k": "1"})
}

// TestConfirmed_LaterEditsArriveBeforeLog guards against a replica that is late with edits made after its start. A
// leader that has failed to reach a replica for some seconds waits for as long before it sends the log again.
func TestConfirmed_LaterEditsArriveBeforeLog(t *testing.T) {
	const (
		absence  = 2700 * time.Millisecond // the leader's next attempt comes some five seconds after the stop
		maxDelay = 1500 * time.Millisecond
	)
	c := newCluster(t, nil)
	leader := c.leader()
	stopped := c.followers(leader)[0]
	c.writeUntilCommitted(leader, "k", "1")
	c.stop(stopped)
	time.Sleep(absence)
	replica := c.start(stopped)
	c.awaitConfirmation(replica)
	c.writeUntilCommitted(leader, "k", "2")
	edited := time.Now()
	c.eventually("the edit at the replica", func() bool {
		value, _ := replica.ReadLocalValue("k")
		return string(value) == "2"
	})
	if delay := time.Since(edited); delay > maxDelay {
		t.Errorf("the edit arrived after %v", delay)
	}
	c.awaitConvergence()
}

// TestConfirmed_CloseDoesNotWaitForQuorum guards against a Close that never returns. Raft never completes a barrier
// that is in its queue when it shuts down, and Close waited for the confirmation that had asked for it.
func TestConfirmed_CloseDoesNotWaitForQuorum(t *testing.T) {
	const closeTimeout = 5 * time.Second
	for n := range 100 {
		peer := newPeer(t, "a")
		replica, err := Open(Options{Dir: t.TempDir(), Self: peer, Peers: []Peer{peer}, TimeoutUnit: 10 * time.Millisecond})
		failOnError(t, err)
		time.Sleep(time.Duration(20+n%40) * time.Millisecond) // around the election, when the confirmation asks the quorum
		closed := make(chan struct{})
		go func() {
			replica.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(closeTimeout):
			t.Fatalf("Close did not return within %v", closeTimeout)
		}
	}
}
