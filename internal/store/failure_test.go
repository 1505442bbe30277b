package store

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestEdits_SurviveLeaderFailure stops the leader of three replicas while plans are edited. It checks that each edit of
// two keys is committed completely or not at all, and that every edit that was answered as committed is kept.
func TestEdits_SurviveLeaderFailure(t *testing.T) {
	c := newCluster(t, nil)
	committed := 0
	for n := 1; n <= 60; n++ {
		if n%20 == 5 {
			leader := c.leader()
			go c.running[leader].Close() // while the next edits are written
			delete(c.running, leader)
		}
		edits := fmt.Sprintf(`[{"key":"plans/x","value":%d},{"key":"classes/x","value":%d}]`, n, n)
		if status, _ := c.callAPI(c.anyRunning(), "POST", "/v1/edits", edits); status == 200 {
			committed = n
		} else { // an election is under way
			time.Sleep(100 * time.Millisecond)
		}
		if n%20 == 15 {
			startStopped(c)
		}
	}
	c.leader()
	c.awaitConvergence()
	if committed < 55 {
		t.Errorf("the last committed edit is %d of 60, want at least 55", committed)
	}
	for id, replica := range c.running {
		plan, _ := replica.ReadLocalValue("plans/x")
		class, _ := replica.ReadLocalValue("classes/x")
		if string(plan) != string(class) || len(plan) == 0 {
			t.Errorf("%s has an incomplete edit: plan %s, class %s", id, plan, class)
		}
		var n int
		if err := json.Unmarshal(plan, &n); err != nil || n < committed {
			t.Errorf("%s has edit %d (%v), but edit %d was answered as committed", id, n, err, committed)
		}
	}
}

// startStopped starts the replicas that are not running, once the locks of their directories are released.
func startStopped(c *cluster) {
	c.t.Helper()
	for _, peer := range c.peers {
		if c.running[peer.ID] != nil {
			continue
		}
		c.eventually("the directory of "+peer.ID+" to be unlocked", func() bool {
			replica, err := c.open(peer.ID)
			if err == nil {
				c.running[peer.ID] = replica
			}
			return err == nil
		})
	}
}

func replaceDir(tb testing.TB, from, to string) {
	tb.Helper()
	if err := os.RemoveAll(to); err != nil {
		tb.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		tb.Fatal(err)
	}
}

// TestRejoin_OldDirCopyDoesNotOverwriteNewerState starts a replica from an old copy of its directory, together with a
// replica that lacks the newest state. Without rejoin, one of the two could be elected, and committed entries would be
// lost.
func TestRejoin_OldDirCopyDoesNotOverwriteNewerState(t *testing.T) {
	c := newCluster(t, nil)
	for n := range 20 {
		c.writeUntilCommitted("a", "k", fmt.Sprint(n))
	}
	c.awaitConvergence()
	// One follower is later restored from an old copy. The other is stopped, and lacks the entries written meanwhile.
	leader := c.leader()
	followers := c.followers(leader)
	restored, lagging := followers[0], followers[1]
	c.stop(restored)
	oldCopy := filepath.Join(c.dir, "old")
	replaceDir(t, filepath.Join(c.dir, restored), oldCopy)
	c.start(restored)
	c.eventually("the restarted replica to reach the leader's commit index", func() bool {
		return c.running[restored].Status().LastIndex >= c.running[leader].Status().CommitIndex
	})
	c.stop(lagging)
	leader = c.leader()
	for n := range 50 { // committed on the leader and on restored alone
		c.writeUntilCommitted(leader, "k", fmt.Sprint(100+n))
	}
	c.stop(restored)
	replaceDir(t, oldCopy, filepath.Join(c.dir, restored))
	restoredReplica := c.start(restored) // detects from the leader's position that it is behind
	c.start(lagging)
	if restoredReplica.restriction.targetIndex == 0 {
		t.Error("the old copy was not detected")
	}
	// The leader stops once the old copy has caught up. The other two must not elect a replica that lacks its entries.
	c.leader()
	c.eventually("the old copy to have caught up", func() bool { return restoredReplica.Status().CanVote })
	c.stop(leader)
	c.leader()
	status, text := c.callAPI(restored, "GET", "/v1/kv/k", "")
	if status != 200 || !strings.Contains(text, `"value":149`) {
		t.Errorf("newer state was overwritten: status %d, body %s", status, text)
	}
	c.start(leader)
	c.awaitConvergence()
}

// TestVoteRestriction_WithholdsVotesWhileCatchingUp checks that a replica that has not caught up neither votes nor wins
// an election.
func TestVoteRestriction_WithholdsVotesWhileCatchingUp(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "k", "1")
	c.awaitConvergence()
	leader := c.leader()
	followers := c.followers(leader)
	restricted := c.running[followers[0]]
	restricted.restriction.targetIndex = 1 << 60 // never reached
	restricted.restriction.lifted.Store(false)
	c.stop(leader)
	time.Sleep(time.Second)
	for _, id := range followers {
		if status := c.running[id].Status(); status.State == "Leader" {
			t.Errorf("%s became the leader with the vote of a replica that is catching up", id)
		}
	}
	if status, text := c.callAPI(followers[1], "PUT", "/v1/kv/k", "2"); status != 503 {
		t.Errorf("write without a majority: status %d, body %s; want status 503", status, text)
	}
	restricted.restriction.lifted.Store(true)
	c.leader()
	c.writeUntilCommitted(followers[1], "k", "3")
}

// TestSnapshot_StoppedReplicaCatchesUp checks that a replica catches up after it was stopped while the others
// wrote entries and the leader took a snapshot.
func TestSnapshot_StoppedReplicaCatchesUp(t *testing.T) {
	c := newCluster(t, nil)
	stopped := "c"
	if c.leader() == stopped {
		stopped = "b"
	}
	c.stop(stopped)
	leader := c.running[c.leader()]
	for n := range 50 {
		edits := []byte("[")
		for k := range 20 {
			edits = fmt.Appendf(edits, `{"key":"k%d","value":%d},`, k, n)
		}
		body := string(edits[:len(edits)-1]) + "]"
		if status, text := c.callAPI(leader.options.Self.ID, "POST", "/v1/edits", body); status != 200 {
			t.Fatal(status, text)
		}
	}
	if err := leader.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	c.start(stopped)
	c.awaitConvergence()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var position logPosition
	err := leader.getJSON(ctx, c.peer(stopped).API, "/v1/witness", &position)
	if err != nil || position.LastIndex < 50 {
		t.Error(position, err)
	}
}

// TestRejoin_EmptyDirJoinsRunningCluster guards against lost writes. A replica whose directory was emptied bootstrapped
// a cluster of its own, and could vote for a replica that lacks entries that it had helped to commit.
func TestRejoin_EmptyDirJoinsRunningCluster(t *testing.T) {
	c := newCluster(t, nil)
	c.writeUntilCommitted("a", "k", "1")
	c.awaitConvergence()
	leader := c.leader()
	followers := c.followers(leader)
	emptied, lagging := followers[0], followers[1]
	c.stop(lagging)
	for n := range 50 { // committed on the leader and on emptied alone
		c.writeUntilCommitted(leader, "k", fmt.Sprint(100+n))
	}
	c.stop(emptied)
	if err := os.RemoveAll(filepath.Join(c.dir, emptied)); err != nil {
		t.Fatal(err)
	}
	emptiedReplica := c.start(emptied)
	c.start(lagging)
	if emptiedReplica.restriction.targetIndex == 0 {
		t.Error("the emptied directory was not detected")
	}
	c.leader()
	c.eventually("the emptied replica to have caught up", func() bool { return emptiedReplica.Status().CanVote })
	c.stop(leader)
	c.leader()
	status, text := c.callAPI(emptied, "GET", "/v1/kv/k", "")
	if status != 200 || !strings.Contains(text, `"value":149`) {
		t.Errorf("newer state was overwritten: status %d, body %s", status, text)
	}
	c.start(leader)
	c.awaitConvergence()
}
