package emulator

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnsserver"
	"fawnplank/internal/lab/invariants"
	"fawnplank/policy"
)

// Zone is what the front doors' operators keep the backends in where a scenario lists them by DNS.
var Zone = struct{ Origin, Service string }{"lab.", "_calc._tcp.lab."}

// updater is a stand-in for what tells the front doors of backends by dynamic updates: to each door in order, and
// again until the door has answered.
type updater struct {
	e     *Emu
	queue []chan line
}

// mostQueued is how many changes wait for a door that is down.
const mostQueued = 1 << 16

func newUpdater(e *Emu) *updater {
	u := &updater{e: e}
	for range e.s.Instances.Count {
		u.queue = append(u.queue, make(chan line, mostQueued))
	}
	return u
}

// tell takes a backend's change.
func (u *updater) tell(l line) {
	for _, q := range u.queue {
		select {
		case q <- l:
		default:
		}
	}
}

// Names is the zone file of the scenario's backends at the start.
func (e *Emu) Names() string {
	var b strings.Builder
	fmt.Fprintf(&b, "$ORIGIN %s\n$TTL 30\n@ IN SOA ns admin 1 3600 600 86400 30\n@ IN NS ns\nns IN A 127.0.0.1\n", Zone.Origin)
	for _, l := range e.discovery.whole(-1).Endpoints {
		for _, rr := range l.records() {
			fmt.Fprintln(&b, rr)
		}
	}
	return b.String()
}

// Update tells front door n, at its name server's address, of changes from now on.
func (e *Emu) Update(n int, at string, key dnsserver.Key) {
	go func() {
		for {
			select {
			case <-e.closed:
				return
			case l := <-e.discovery.names.queue[n]:
				e.send(n, l, at, key)
			}
		}
	}()
}

// send sends one change until it is answered. The door counts as told from the first try on: it may have done it.
func (e *Emu) send(n int, l line, at string, key dnsserver.Key) {
	e.log.Observe(invariants.Event{Kind: invariants.EndpointDelivered, Instance: n, Backend: l.n, State: l.stage, StartedNanos: l.since})
	for {
		select {
		case <-e.closed:
			return
		default:
		}
		m := new(dns.Msg).SetUpdate(Zone.Origin)
		records := l.records()
		m.RemoveName(records[1:2])
		if l.stage == policy.EndpointGone {
			m.Remove(records[:1])
		} else {
			m.Insert(records)
		}
		if dnsserver.SendUpdate(m, at, key, time.Second) == nil {
			e.log.CountDNSUpdate()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// records are a backend's: SRV first, then those at its name.
func (l line) records() (rrs []dns.RR) {
	host, port, _ := net.SplitHostPort(l.Address)
	target := l.Name + "." + Zone.Origin
	text := fmt.Sprintf(`"fawnplank" "zone=%s" "group=%d" "size=%g"`, l.Zone, l.Group, l.Weight)
	if l.stage == policy.EndpointDraining {
		text += ` "status=draining"`
	}
	if l.SinceMs > 0 {
		text += fmt.Sprintf(` "since=%.0f"`, l.SinceMs)
	}
	for _, x := range []string{fmt.Sprintf("%s SRV 0 100 %s %s", Zone.Service, port, target), target + " A " + host, target + " TXT " + text} {
		rr, err := dns.NewRR(x)
		if err != nil {
			panic(err) // of this function's own making
		}
		rr.Header().Ttl = 30
		rrs = append(rrs, rr)
	}
	return rrs
}
