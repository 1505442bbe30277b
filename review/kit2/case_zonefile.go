package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["zonefile"] = playZoneFile }

const (
	// updatesPerSecond is below the 100 a second that the operators' page allows by default.
	updatesPerSecond = 70
	manyUpdates      = 2100
	fewUpdates       = 20
	// toldAfter is when what discovery has counts as told after SIGHUP.
	toldAfter = 4 * time.Second
	// cutoff is the brief's second after which nothing new goes to a withdrawn node, with the slack of the sockets.
	cutoff = time.Second + 50*time.Millisecond
)

// playZoneFile: a gateway takes many updates to its zone. Then a newer zone file withdraws a calc node.
func playZoneFile(w *world) bool {
	replicas := w.newReplicas("a", "b", "c")
	nodes := []*node{w.startNode("n1"), w.startNode("n2"), w.startNode("n3")}
	listen, mgmt, dns := w.freeAddress(), w.freeAddress(), w.freeAddress()
	zoneFile := w.writeFile("calc.zone", zoneText(1000, nodes...))
	operator := w.writeFile("operator.toml", w.dnsSection(zoneFile, dns, ""))
	configuration := w.configFile("a", listen, mgmt, usualShape().settings(0, 1, 0, 0))
	w.startReplica(replicas[1], replicas)
	w.startReplica(replicas[2], replicas)
	w.await("the replicas without a gateway have a leader", 15*time.Second, func() bool { return leader(replicas[1:]) != "" })
	gateway := w.startGateway("a", configuration, operator, w.storeFlags(replicas[0], replicas))
	w.await("the gateway is ready", 20*time.Second, func() bool { return healthy(mgmt) })
	w.await("the name server has three nodes", 10*time.Second, func() bool { return targets(dns) == 3 })

	stop := make(chan struct{})
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		w.sendSteadily(listen, stop)
	}()
	time.Sleep(1100 * time.Millisecond) // updates signed in the second of the start are refused

	count := fewUpdates
	if w.trouble {
		count = manyUpdates
	}
	u := &updater{address: dns}
	applied := 0
	for n := range count {
		class := uint16(classIN)
		if n%2 == 1 {
			class = classNone
		}
		if u.update(txtRecord(class, "note."+zoneOrigin, fmt.Sprintf("rollout %d", n/2))) == rcodeNoError {
			applied++
		}
		time.Sleep(time.Second / updatesPerSecond)
	}
	w.note("updates sent: %d, answered NOERROR: %d; the leader is %s", count, applied, leader(replicas))
	if applied < count*9/10 {
		panic(errNotRun{"the updates were not applied"})
	}

	if err := os.WriteFile(zoneFile, []byte(zoneText(100000, nodes[0], nodes[1])), 0o600); err != nil {
		panic(errNotRun{err.Error()})
	}
	hup := time.Now()
	gateway.signal(syscall.SIGHUP)
	w.note("the zone file has serial 100000 now, without n3")
	time.Sleep(toldAfter + cutoff + 12*time.Second)
	close(stop)
	<-clientDone
	late := nodes[2].since(hup.Add(toldAfter + cutoff))
	w.note("nodes in the zone: %d; requests that n3 began later than %v after SIGHUP: %d", targets(dns), toldAfter+cutoff, len(late))
	for _, line := range strings.Split(gateway.log(), "\n") {
		if strings.Contains(line, "zone file") {
			w.note("log of the gateway: %s", strings.ReplaceAll(line, w.dir, "DIR"))
		}
	}
	return len(late) > 0
}

// sendSteadily sends a request every 25 ms until stop is closed.
func (w *world) sendSteadily(listen string, stop chan struct{}) {
	c, err := dialClient(listen)
	if err != nil {
		w.note("client: %v", err)
		return
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if _, err := w.query(c, fmt.Sprintf("q%06d", n), customer, 2*time.Second); err != nil {
			if c, err = dialClient(listen); err != nil {
				return
			}
		}
	}
}
