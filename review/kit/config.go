package kit

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Row is a row of the settings' lists, or another object of them.
type Row = map[string]any

// Door is a front door's configuration, in the platform's form.
type Door struct {
	Name, Listen, Discovery, Counter, Mgmt string
	Index, Count                           int
	Classes, Plans                         []Row
	Invariants, Permissions                Row // added to those below
}

// JSON returns the configuration file.
func (d Door) JSON() string {
	permissions := Row{
		"cancelling": true, "max-retry-after-ms": 1000, "probes": false, "retry-after": true, "second-copies": false,
		"send-cap": 3, "connect-timeout-ms": 250, "conn-idle-ms": 15000, "max-streams": 32,
	}
	for key, value := range d.Permissions {
		permissions[key] = value
	}
	invariants := Row{
		"cold-share": 0.2, "fall-ms": 2000, "tip-multiple": 4, "warm-up-ms": 9000, "grace-to-answer-ms": 500,
		"stop-sending-within-ms": 1000,
	}
	for key, value := range d.Invariants {
		invariants[key] = value
	}
	config := Row{
		"name": d.Name, "listen": d.Listen, "discovery": d.Discovery, "counter": d.Counter,
		"seed":   fmt.Sprintf("%016x", 256+d.Index),
		"limits": Row{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": Row{
			"discovery": "pushed", "family-info": Row{"counter-timeout-ms": 80, "may-count": true, "max-units": 8},
			"invariants": invariants, "permissions": permissions,
			"lanes": d.Classes, "tariffs": d.Plans,
			"me": d.Index, "replicas-of-me": max(d.Count, 1), "my-zone": 0, "zones": []string{"z0"},
		},
	}
	if d.Mgmt != "" {
		config["mgmt"] = d.Mgmt
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		panic(err)
	}
	return string(text) + "\n"
}

// Plan returns a plan with a quota and without a ceiling.
func Plan(name string, rate, burst float64) Row {
	return Row{
		"name": name, "quota-rate": rate, "peak-units": burst, "parallel": 0, "cap-rate": 0.0, "ceiling-burst": 0.0,
		"tolerance": 0.0, "beyond-costs": 1.0, "beyond-earns": 0.0, "value-factor": 1.0,
	}
}

// Replica is a replica of the store.
type Replica struct{ ID, Raft, API string }

// String returns the replica in the form of --me and --peers.
func (r Replica) String() string { return r.ID + "@" + r.Raft + "@" + r.API }

// Replicas returns replicas at free addresses, and the value of --peers.
func (c *Case) Replicas(ids ...string) ([]Replica, string) {
	var replicas []Replica
	var texts []string
	for _, id := range ids {
		r := Replica{ID: id, Raft: c.FreeAddress(), API: c.FreeAddress()}
		replicas = append(replicas, r)
		texts = append(texts, r.String())
	}
	return replicas, strings.Join(texts, ",")
}

// StoreStatus is what a replica says of itself.
type StoreStatus struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Leader  string `json:"leader"`
	Applied uint64 `json:"at"`
}

// Status asks a replica for its status.
func (c *Case) Status(r Replica) (StoreStatus, bool) {
	output, err := c.Command(5*time.Second, "store", "status", "--at", r.API)
	var status StoreStatus
	return status, err == nil && json.Unmarshal([]byte(output), &status) == nil
}

// WaitForLeader waits until the replicas agree on a leader, and returns its index among them.
func (c *Case) WaitForLeader(limit time.Duration, replicas []Replica) int {
	leader := -1
	c.WaitFor(limit, "the replicas agree on a leader", func() bool {
		leader = -1
		name := ""
		for i, r := range replicas {
			s, ok := c.Status(r)
			if !ok || s.Leader == "" || name != "" && s.Leader != name {
				return false
			}
			name = s.Leader
			if r.ID == name {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}
