package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

func init() { cases["resume"] = playResume }

// tool runs a command of the program, as an operator does, and records it with what it prints.
func (w *world) tool(words ...string) {
	command := exec.Command("bin/fawnplank", words...)
	command.Dir = w.root
	output, err := command.CombinedOutput()
	w.note("operator: fawnplank %s -> %s %v", strings.ReplaceAll(strings.Join(words, " "), w.dir, "DIR"),
		strings.TrimSpace(string(output)), err)
	if err != nil {
		panic(errNotRun{"a command of the operator failed"})
	}
}

// serveUnits sends requests of one unit for a while, one after another, and returns how many were served.
func (w *world) serveUnits(listen, name string, span time.Duration) int {
	c, err := dialClient(listen)
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	defer c.conn.Close()
	served := 0
	end := time.Now().Add(span)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%04d", name, n)
		reply, err := w.query(c, id, customer, 2*time.Second)
		if err != nil {
			break
		}
		if reply == "value-of-"+id {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return served
}

// playResume: a backup of the store is made while the gateway is being restarted. Later the store is restored from it,
// by the steps of the operators' page.
func playResume(w *world) bool {
	replicas := w.newReplicas("a", "b", "c")
	nodes := []*node{w.startNode("n1"), w.startNode("n2")}
	billing := w.startReceiver()
	listen, mgmt := w.freeAddress(), w.freeAddress()
	operator := w.writeFile("operator.toml", fmt.Sprintf(
		"[billing]\non = true\nwindow = \"5s\"\nlate = \"1s\"\nexport_url = \"http://%s%s\"\n", billing.address, usePath))
	configuration := w.configFile("a", listen, mgmt, usualShape().settings(0, 1, 0, 0), nodes...)
	w.startReplica(replicas[1], replicas)
	w.startReplica(replicas[2], replicas)
	startGateway := func() *proc {
		gateway := w.startGateway("a", configuration, operator, w.storeFlags(replicas[0], replicas))
		w.await("the gateway is ready", 20*time.Second, func() bool { return healthy(mgmt) })
		return gateway
	}
	stop := func(p *proc) {
		p.signal(syscall.SIGTERM)
		if !p.awaitEnd(15 * time.Second) {
			panic(errNotRun{"a process did not end"})
		}
	}
	backup := w.path("backup")

	gateway := startGateway()
	first := make(chan int)
	go func() { first <- w.serveUnits(listen, "first", 5*time.Second) }()
	time.Sleep(3 * time.Second)
	stop(gateway) // the client uses its connection until the gateway ends it
	served := <-first
	w.await("one of the other replicas leads", 10*time.Second, func() bool { return leader(replicas[1:]) != "" })
	w.tool("store", "backup", backup, "--at", replicas[1].api)
	gateway = startGateway()
	served += w.serveUnits(listen, "second", 3*time.Second)
	w.await(fmt.Sprintf("all %d units served are billed", served), 25*time.Second, func() bool {
		return billing.units(customer) >= float64(served)
	})
	if billing.units(customer) > float64(served) {
		w.note("billed %g units of %d served", billing.units(customer), served)
		return true
	}

	stop(gateway)
	if w.trouble {
		w.restore(replicas, backup, billing.lastSequence())
	}
	startGateway()
	served += w.serveUnits(listen, "third", 2*time.Second)
	time.Sleep(20 * time.Second) // a window, the time until its export, and some rounds more
	w.note("served %d units, billed %g", served, billing.units(customer))
	return billing.units(customer) > float64(served)
}

// restore follows the steps of "After a restore of the store": the gateway is stopped, its replica runs without it.
func (w *world) restore(replicas []replica, backup string, last uint64) {
	process := w.startReplica(replicas[0], replicas)
	w.await("the replica runs without its gateway", 10*time.Second, func() bool {
		s, ok := replicas[0].status()
		return ok && s.Leader != ""
	})
	w.tool("store", "restore", backup, "--at", replicas[0].api)
	w.tool("billing", "resume", "--store", replicas[0].api, "--after", fmt.Sprint(last),
		"--drop-before", time.Now().UTC().Format(time.RFC3339))
	process.signal(syscall.SIGTERM)
	if !process.awaitEnd(10 * time.Second) {
		panic(errNotRun{"the replica did not end"})
	}
}
