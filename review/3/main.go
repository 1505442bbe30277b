// Case 3: see claim.txt.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/kit"
)

const (
	tenant = "0000000000000a01"
	// The plan's ceiling: cap-rate, ceiling-burst and tolerance of the settings.
	capRate      = 40.0
	ceilingBurst = 20.0
	tolerance    = 4.0
	// yesWithin is the time in which the new process has to say yes.
	yesWithin = 6 * time.Second
	// killAfter is the time from SIGTERM to SIGKILL: the longest deadline and 0.7 s.
	killAfter = 2500*time.Millisecond + 700*time.Millisecond
	// clients is how many clients send to each front door at a time, each a request every requestGap.
	clients    = 6
	requestGap = 70 * time.Millisecond
	// requestsPerConnection is after how many requests a client opens a new connection.
	requestsPerConnection = 6
)

func main() { kit.Run(run) }

func run(c *kit.Case) (bool, string) {
	serve := func(a kit.Attempt) kit.Answer {
		return kit.Answer{After: 20 * time.Millisecond, Text: kit.OK("done " + a.ID)}
	}
	var backends []*kit.Backend
	for n := 1; n <= 6; n++ {
		backends = append(backends, c.NewBackend(fmt.Sprintf("n%d", n), serve))
	}
	discovery, counter := c.NewDiscovery(backends...), c.NewCounter()
	plan := kit.Plan("team", 1000, 2000)
	plan["cap-rate"], plan["ceiling-burst"], plan["tolerance"] = capRate, ceilingBurst, tolerance

	// Two front doors; each tenant's requests come in through both.
	var listen []string
	var starts []func(version, mgmt string) *kit.Proc
	for i, id := range []string{"a", "b"} {
		door := kit.Door{
			Name: "d" + id, Listen: c.FreeAddress(), Discovery: discovery.Address, Counter: counter, Index: i, Count: 2,
			Classes: []kit.Row{{"name": "draft", "effect": "read_like", "goal-time-ms": 750, "deadline-ms": 2500, "late-worth": 0}},
			Plans:   []kit.Row{plan},
		}
		config := c.WriteFile("d"+id+".json", door.JSON(), 0o600)
		listen = append(listen, door.Listen)
		starts = append(starts, func(version, mgmt string) *kit.Proc {
			return c.Start("door-"+id+"-"+version, "exec bin/fawnplank serve", "GW_CONFIG="+config, "GW_MGMT="+mgmt)
		})
	}
	oldMgmt := []string{c.FreeAddress(), c.FreeAddress()}
	old := []*kit.Proc{starts[0]("old", oldMgmt[0]), starts[1]("old", oldMgmt[1])}
	for i := range listen {
		c.WaitFor(10*time.Second, "yes from a front door", func() bool { return saysYes(oldMgmt[i]) })
		kit.WaitForPong(c, listen[i])
	}
	time.Sleep(time.Second) // nobody sends: the ceiling's store is full

	stop := send(c, listen)
	time.Sleep(4 * time.Second)
	if c.Trouble {
		// A new version is started, of one front door after the other, beside the old process.
		for i := range starts {
			newMgmt := c.FreeAddress()
			starts[i]("new", newMgmt)
			c.WaitFor(yesWithin, "yes from the new process", func() bool { return saysYes(newMgmt) })
			c.Log("the new process of front door %d says yes", i)
			old[i].Signal(syscall.SIGTERM)
			select {
			case <-old[i].Done():
			case <-time.After(killAfter):
				old[i].Signal(syscall.SIGKILL)
			}
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	time.Sleep(2 * time.Second)
	stop()

	lowest, at := lowestLevel(c, backends)
	return lowest < -tolerance, fmt.Sprintf("the ceiling's store fell to %.1f units at %.3f s; it may fall to -%g", lowest, at.Seconds(), tolerance)
}

func saysYes(mgmt string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + mgmt + "/admin/health")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// send sends more than the ceiling allows to both front doors until the returned function is called.
func send(c *kit.Case, listen []string) (stop func()) {
	var group sync.WaitGroup
	var number atomic.Int64
	done := make(chan struct{})
	for i := range clients * len(listen) {
		group.Go(func() {
			var client *kit.Client
			for uses := 0; ; uses++ {
				select {
				case <-done:
					return
				case <-time.After(requestGap):
				}
				if client != nil && uses >= requestsPerConnection {
					client.Close()
					client = nil
				}
				if client == nil {
					var err error
					if client, err = c.Dial(listen[i%len(listen)]); err != nil {
						c.Log("client: %v", err)
						client = nil
						continue
					}
					uses = 0
				}
				id := fmt.Sprintf("%016x", 0xc000+number.Add(1))
				answer, err := client.Do(4*time.Second, "SVC.QUERY", tenant, id, "c=draft,t=team,d=2500,units=1,spread=2,first=0")
				c.Log("client: %s answered %q %v", id, answer, err)
				if err != nil { // the front door closed the connection between requests
					client.Close()
					client = nil
				}
			}
		})
	}
	return func() { close(done); group.Wait() }
}

// lowestLevel replays the ceiling's store: full at the start, refilled at its rate, and lowered by a unit when the first
// attempt of a request has come whole to a backend. It returns the lowest level and its time.
func lowestLevel(c *kit.Case, backends []*kit.Backend) (lowest float64, at time.Duration) {
	first := map[string]time.Duration{}
	for _, b := range backends {
		for _, a := range b.Attempts() {
			if t, ok := first[a.ID]; !ok || a.At < t {
				first[a.ID] = a.At
			}
		}
	}
	var moments []time.Duration
	for _, t := range first {
		moments = append(moments, t)
	}
	slices.Sort(moments)
	level, last := ceilingBurst, time.Duration(0)
	lowest = level
	for _, t := range moments {
		level = min(level+(t-last).Seconds()*capRate, ceilingBurst) - 1
		last = t
		c.Log("at %.3f s a request of the customer was first sent on; the ceiling's store holds %.2f", t.Seconds(), level)
		if level < lowest {
			lowest, at = level, t
		}
	}
	return lowest, at
}
