// Case 1: see claim.txt.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/kit"
)

const (
	tenant = "0000000000000a01"
	// clients is how many client connections send at a time.
	clients = 12
	// workTime is how long a backend works on a request.
	workTime = 20 * time.Millisecond
	// downTime is how long the killed front door is away, as the pages have it for a front door: 1.2 to 7.9 s.
	downTime = 2 * time.Second
)

func main() { kit.Run(run) }

func run(c *kit.Case) (bool, string) {
	// Six backends, which run every request. One of them, in both runs, quickly fails a part of its requests: it answers
	// "-ERR failed", after which the request may have run, and here it has.
	serve := func(a kit.Attempt) kit.Answer {
		return kit.Answer{After: workTime, Text: kit.OK("done " + a.ID)}
	}
	var failing atomic.Int64
	fail := func(a kit.Attempt) kit.Answer {
		if failing.Add(1)%5 < 3 {
			return kit.Answer{After: 5 * time.Millisecond, Text: "-ERR failed\r\n"}
		}
		return serve(a)
	}
	backends := []*kit.Backend{c.NewBackend("n1", fail)}
	for n := 2; n <= 6; n++ {
		backends = append(backends, c.NewBackend(fmt.Sprintf("n%d", n), serve))
	}
	discovery, counter := c.NewDiscovery(backends...), c.NewCounter()

	// Three front doors, each with a replica of the store.
	ids := []string{"a", "b", "c"}
	replicas, peers := c.Replicas(ids...)
	var starts []func() *kit.Proc
	var listen []string
	for i, id := range ids {
		door := kit.Door{
			Name: "d" + id, Listen: c.FreeAddress(), Discovery: discovery.Address, Counter: counter, Index: i, Count: len(ids),
			Classes: []kit.Row{{"name": "draft", "effect": "read_like", "goal-time-ms": 750, "deadline-ms": 2500, "late-worth": 0}},
			Plans:   []kit.Row{kit.Plan("team", 1000, 2000)},
		}
		config := c.WriteFile("d"+id+".json", door.JSON(), 0o600)
		listen = append(listen, door.Listen)
		starts = append(starts, func() *kit.Proc {
			return c.Start("door-"+id, fmt.Sprintf("exec bin/fawnplank serve --store %s/%s --me %s --peers %s",
				c.Dir, id, replicas[i], peers), "GW_CONFIG="+config)
		})
	}
	var doors []*kit.Proc
	for _, start := range starts {
		doors = append(doors, start())
	}
	for _, address := range listen {
		kit.WaitForPong(c, address)
	}
	// The front door that will be killed does not lead, so that the replicas keep their leader.
	killed := (c.WaitForLeader(20*time.Second, replicas) + 1) % len(ids)

	// In service, the operator states that the class is unsafe to repeat. The files stay as they are.
	row := `{"name":"draft","effect":"non_idempotent","goal-time-ms":750,"deadline-ms":2500,"late-worth":0}`
	output, err := c.Command(15*time.Second, "store", "set", "--at", replicas[killed].API, "classes/draft", row)
	c.Must(err, "store set: "+output)
	c.Log("store set classes/draft %s: %s", row, output)
	for _, d := range doors {
		c.WaitFor(10*time.Second, "the front door applies the row", func() bool { return len(d.LogLines("configuration reloaded")) > 0 })
	}
	time.Sleep(500 * time.Millisecond)

	send(c, listen[killed], "0a", 20)
	before := repeated(backends)
	c.Log("before: %d requests of the class came to backends more than once", len(before))
	if len(before) > 0 {
		return true, "the class was repeated before any disruption"
	}
	if c.Trouble {
		doors[killed].Signal(syscall.SIGKILL)
		<-doors[killed].Done()
		time.Sleep(downTime)
		starts[killed]()
		kit.WaitForPong(c, listen[killed])
		c.Log("the front door answers PING with PONG; clients send")
	}
	send(c, listen[killed], "0b", 40)
	time.Sleep(time.Second)
	send(c, listen[killed], "0c", 20)
	twice := repeated(backends)
	for id, names := range twice {
		c.Log("request %s of an at-most-once class ran at %s", id, strings.Join(names, ", "))
	}
	return len(twice) > 0, fmt.Sprintf("%d requests of a non_idempotent class were run more than once", len(twice))
}

// send sends requests on several connections, one after another on each.
func send(c *kit.Case, address, prefix string, each int) {
	var group sync.WaitGroup
	var number atomic.Int64
	for range clients {
		group.Go(func() {
			client, err := c.Dial(address)
			if err != nil {
				c.Log("client: %v", err)
				return
			}
			defer client.Close()
			for range each {
				id := fmt.Sprintf("%s%014x", prefix, number.Add(1))
				answer, err := client.Do(4*time.Second, "SVC.SUBMIT", tenant, id, "c=draft,t=team,d=2500,units=1,spread=3,first=0")
				c.Log("client: %s answered %q %v", id, answer, err)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// repeated returns the requests that came to backends more than once, with the backends.
func repeated(backends []*kit.Backend) map[string][]string {
	seen := map[string][]string{}
	for _, b := range backends {
		for _, a := range b.Attempts() {
			seen[a.ID] = append(seen[a.ID], fmt.Sprintf("%s at %.3f s", b.Name, a.At.Seconds()))
		}
	}
	for id, names := range seen {
		if len(names) < 2 {
			delete(seen, id)
		}
	}
	return seen
}
