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

// testTimeoutUnit is short, so that elections are quick, and far above the delay of a loopback.
const testTimeoutUnit = 50 * time.Millisecond

// cluster runs three replicas in one process, each with its own folder and addresses.
type cluster struct {
	t        testing.TB
	dir      string
	peers    []Peer
	running  map[string]*Store // by ID
	validate func(string, json.RawMessage) error
}

// freeAddress returns an address with a free port on a random loopback host. A port of 127.0.0.1, as
// testutil.FreeAddress returns it, may be taken by any connection before the replica listens there.
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

func newCluster(tb testing.TB, validate func(string, json.RawMessage) error) *cluster {
	tb.Helper()
	c := &cluster{t: tb, dir: tb.TempDir(), running: map[string]*Store{}, validate: validate}
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
		Validate:    c.validate,
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

// anyRunning returns the ID of a running replica. Which one is left to chance.
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

// eventually waits for a condition and fails the test, with the status of each replica, after ten seconds.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			for id, replica := range c.running {
				c.t.Logf("%s: %+v", id, replica.Status())
			}
			c.t.Fatal("not within ten seconds: " + what)
		}
	}
}

// leader waits until a replica knows that it is the leader, and returns its ID.
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

// converge waits until all running replicas have the same state at the same index.
func (c *cluster) converge() {
	c.t.Helper()
	c.eventually("the same state everywhere", func() bool {
		var states []string
		for _, replica := range c.running {
			status := replica.Status()
			states = append(states, fmt.Sprint(status.AppliedIndex, status.Fingerprint))
		}
		slices.Sort(states)
		return len(slices.Compact(states)) == 1
	})
}

// call makes a call to a replica's API, and returns the status and the answer. The status is 0 if there is no
// answer.
func (c *cluster) call(id, method, path, body string) (int, string) {
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

// write repeats a write until it is committed, because an election may be under way.
func (c *cluster) write(id, key, value string) {
	c.t.Helper()
	c.eventually("a write of "+key, func() bool {
		status, _ := c.call(id, http.MethodPut, "/v1/kv/"+key, value)
		return status == http.StatusOK
	})
}
