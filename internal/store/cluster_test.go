package store

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// testTimeoutUnit is short, so that elections are quick, and much longer than the delay of a loopback interface.
const testTimeoutUnit = 50 * time.Millisecond

// cluster runs three replicas in one process, each with its own directory and addresses.
type cluster struct {
	t             testing.TB
	dir           string
	peers         []Peer
	running       map[string]*Store // by ID
	validateValue func(string, json.RawMessage) error
}

// freeAddress returns an address with a free port on a random loopback host. A port of 127.0.0.1, which
// testutil.FreeAddress returns, may be assigned to another connection before the replica listens on it.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	var config net.ListenConfig
	listener, err := config.Listen(tb.Context(), "tcp4", host)
	if err != nil {
		tb.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		tb.Fatal(err)
	}
	return address
}

func newPeer(tb testing.TB, id string) Peer {
	tb.Helper()
	return Peer{ID: id, Raft: freeAddress(tb), API: freeAddress(tb)}
}

func newCluster(tb testing.TB, validateValue func(string, json.RawMessage) error) *cluster {
	tb.Helper()
	c := &cluster{t: tb, dir: tb.TempDir(), running: map[string]*Store{}, validateValue: validateValue}
	for _, id := range []string{"a", "b", "c"} {
		c.peers = append(c.peers, newPeer(tb, id))
	}
	for _, peer := range c.peers {
		c.start(peer.ID)
	}
	tb.Cleanup(func() {
		for _, replica := range c.running {
			replica.Close()
		}
	})
	c.leader()
	return c
}

func (c *cluster) peer(id string) Peer {
	return c.peers[slices.IndexFunc(c.peers, func(peer Peer) bool { return peer.ID == id })]
}

func (c *cluster) open(id string) (*Store, error) {
	return Open(Options{
		Dir:         filepath.Join(c.dir, id),
		Self:        c.peer(id),
		Peers:       c.peers,
		Validate:    c.validateValue,
		TimeoutUnit: testTimeoutUnit,
	})
}

func (c *cluster) start(id string) *Store {
	c.t.Helper()
	replica, err := c.open(id)
	if err != nil {
		c.t.Fatal(err)
	}
	c.running[id] = replica
	return replica
}

func (c *cluster) stop(id string) {
	c.running[id].Close()
	delete(c.running, id)
}

// anyRunning returns the ID of an arbitrary running replica.
func (c *cluster) anyRunning() string {
	for id := range c.running {
		return id
	}
	return "a"
}

// followers returns the IDs of the replicas other than the leader, in order.
func (c *cluster) followers(leader string) []string {
	var ids []string
	for _, peer := range c.peers {
		if peer.ID != leader {
			ids = append(ids, peer.ID)
		}
	}
	return ids
}

// eventually waits until a condition holds. After ten seconds it logs the status of each replica and fails the test.
func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			for id, replica := range c.running {
				c.t.Logf("%s: %+v", id, replica.Status())
			}
			c.t.Fatal("condition did not hold within ten seconds: " + description)
		}
	}
}

// leader waits until a replica reports itself as the leader, and returns its ID.
func (c *cluster) leader() string {
	c.t.Helper()
	leader := ""
	c.eventually("a leader", func() bool {
		for id, replica := range c.running {
			if status := replica.Status(); status.State == "Leader" && status.Leader == id {
				leader = id
			}
		}
		return leader != ""
	})
	return leader
}

// awaitConvergence waits until all running replicas have the same state at the same index.
func (c *cluster) awaitConvergence() {
	c.t.Helper()
	c.eventually("the same state on all running replicas", func() bool {
		var states []string
		for _, replica := range c.running {
			status := replica.Status()
			states = append(states, fmt.Sprint(status.AppliedIndex, status.Fingerprint))
		}
		slices.Sort(states)
		return len(slices.Compact(states)) == 1
	})
}

// callAPI sends a request to a replica's API, and returns the status and the body of the answer. If there is no answer,
// the status is 0 and the body is the text of the error.
func (c *cluster) callAPI(id, method, path, body string) (int, string) {
	c.t.Helper()
	url := "http://" + c.peer(id).API + path
	request, err := http.NewRequestWithContext(c.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer closeBody(response)
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// writeUntilCommitted repeats a write until it is committed, because writes fail during an election.
func (c *cluster) writeUntilCommitted(id, key, value string) {
	c.t.Helper()
	c.eventually("a write of "+key, func() bool {
		status, _ := c.callAPI(id, http.MethodPut, "/v1/kv/"+key, value)
		return status == http.StatusOK
	})
}
