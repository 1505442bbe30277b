package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["epoch"] = playEpoch
	helpers["holder"] = runHolder
}

const (
	reservationID = "nightly"
	reservedUnits = "30"
)

// runHolder is the process of a holder: it reserves, works for a second, and commits. It prints each command with its
// answer.
func runHolder(args []string) {
	address, leaseMillis := args[0], args[1]
	c, err := dialLimits(address)
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	reply, err := c.call(15*time.Second, "RESERVE.NEW", customer, reservationID, "host-1", "despacho", reservedUnits, leaseMillis)
	fmt.Println("RESERVE.NEW", reply, err)
	if err != nil {
		os.Exit(2)
	}
	epoch := epochOf(reply)
	time.Sleep(time.Second)
	c, err = dialLimits(address)
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	reply, err = c.call(15*time.Second, "RESERVE.COMMIT", customer, reservationID, epoch, reservedUnits)
	fmt.Println("RESERVE.COMMIT", epoch, reply, err)
}

// playEpoch: a holder stands still over the end of its lease. The units return, and later another holder reserves under
// the same id. The first holder wakes and commits with its old epoch.
func playEpoch(w *world) bool {
	replicas := w.newReplicas("a", "b", "c")
	limits, mgmt := w.freeAddress(), w.freeAddress()
	operator := w.writeFile("operator.toml", w.limitsSection(limits)+
		"\n[billing]\non = true\nwindow = \"1m\"\nlease = \"10s\"\n")
	configuration := w.configFile("a", w.freeAddress(), mgmt, usualShape().settings(0, 1, 20, 40))
	w.startReplica(replicas[1], replicas)
	w.startReplica(replicas[2], replicas)
	w.startGateway("a", configuration, operator, w.storeFlags(replicas[0], replicas))
	w.await("the gateway is ready", 20*time.Second, func() bool { return healthy(mgmt) })
	w.await("reservations can be made", 10*time.Second, func() bool {
		return strings.HasPrefix(w.command("probe", limits, "RESERVE.ROOM", customer, "despacho"), "1")
	})

	program, err := os.Executable()
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	holder := w.start("host-1", "exec "+program+" holder "+limits+" 4000")
	w.await("host-1 has its reservation", 10*time.Second, func() bool { return strings.Contains(holder.log(), "RESERVE.NEW") })
	if w.trouble {
		holder.signal(syscall.SIGSTOP)
	} else {
		w.await("host-1 has committed", 10*time.Second, func() bool { return strings.Contains(holder.log(), "RESERVE.COMMIT") })
	}
	firstReservation := time.Now()
	w.await("the reservation of host-1 is over", 20*time.Second, func() bool {
		time.Sleep(time.Second)
		return w.command("probe", limits, "RESERVE.LIST", customer) == "[]"
	})
	// Ids are remembered for two leases after their end, which was at most 6 s after the reservation.
	time.Sleep(time.Until(firstReservation.Add(6*time.Second + 2*10*time.Second + 3*time.Second)))
	before := w.command("probe", limits, "RESERVE.ROOM", customer, "despacho")

	second := w.command("host-2", limits, "RESERVE.NEW", customer, reservationID, "host-2", "despacho", reservedUnits, "8000")
	epoch := epochOf(second)
	lateCommit := ""
	if w.trouble {
		holder.signal(syscall.SIGCONT)
		w.await("host-1 has committed", 10*time.Second, func() bool { return strings.Contains(holder.log(), "RESERVE.COMMIT") })
		lateCommit = holder.log()
		lateCommit = lateCommit[strings.Index(lateCommit, "RESERVE.COMMIT"):]
	}
	w.note("host-1: %s", strings.ReplaceAll(strings.TrimSpace(holder.log()), "\n", "; "))
	own := w.command("host-2", limits, "RESERVE.COMMIT", customer, reservationID, epoch, reservedUnits)
	w.note("room before the second reservation %s, late commit %q, commit of host-2 %q", before, strings.TrimSpace(lateCommit), own)
	accepted := lateCommit != "" && !strings.Contains(lateCommit, "-ERR")
	return accepted || strings.HasPrefix(own, "-ERR")
}
