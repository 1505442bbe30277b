package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["export"] = playExport }

// playExport: the receiver of exported use moves: for a while its old path answers with a redirect to the new one.
func playExport(w *world) bool {
	replicas := w.newReplicas("a", "b", "c")
	nodes := []*node{w.startNode("n1"), w.startNode("n2")}
	billing := w.startReceiver()
	listen, mgmt := w.freeAddress(), w.freeAddress()
	operator := w.writeFile("operator.toml", fmt.Sprintf(
		"[billing]\non = true\nwindow = \"5s\"\nlate = \"1s\"\nexport_url = \"http://%s%s\"\n", billing.address, oldPath))
	configuration := w.configFile("a", listen, mgmt, usualShape().settings(0, 1, 0, 0), nodes...)
	w.startReplica(replicas[1], replicas)
	w.startReplica(replicas[2], replicas)
	w.startGateway("a", configuration, operator, w.storeFlags(replicas[0], replicas))
	w.await("the gateway is ready", 20*time.Second, func() bool { return healthy(mgmt) })

	served := 0
	serveFor := func(span time.Duration) {
		c, err := dialClient(listen)
		if err != nil {
			panic(errNotRun{err.Error()})
		}
		defer c.conn.Close()
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			id := fmt.Sprintf("q%06d-%d", served, time.Now().UnixNano()%1e6)
			if reply, err := w.query(c, id, customer, 2*time.Second); err == nil && reply == "["+"value-of-"+id+" null null]" || reply == "value-of-"+id {
				served++
			}
		}
	}
	serveFor(10 * time.Second)
	if w.trouble {
		billing.setMoved(true)
	}
	serveFor(15 * time.Second)
	if w.trouble {
		billing.setMoved(false)
	}
	serveFor(5 * time.Second)
	w.note("served: %d requests of one unit", served)
	// All use is exported a window and 1 s after its window began, and a report and a round of the export later; after a
	// failed round the export is tried again within 30 s.
	complete := w.holdsWithin(50*time.Second, func() bool { return billing.units(customer) >= float64(served) })
	_, stats, _ := httpGet("http://" + mgmt + "/admin/stats")
	for _, line := range strings.Split(stats, "\n") {
		if strings.HasPrefix(line, "gw_billing") {
			w.note("gateway: %s", line)
		}
	}
	w.note("units served %d, units that the receiver has counted %g", served, billing.units(customer))
	return !complete || billing.units(customer) > float64(served)
}
